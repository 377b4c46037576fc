#!/bin/bash
# Prints one line for each measured quantity.  SEED and ROUNDS change the
# schedules.  The exit status is 0 even if targets are missed.
BUILD=${BUILD:-build}
here=$(mktemp -d)
trap 'rm -rf "$here"' EXIT
for name in broken control balance; do
  "$BUILD/bench/$name" >"$here/$name" &
done
wait
for name in broken control balance; do cat "$here/$name"; done
# bench/forward measures time, so these run one after the other.
if [ -x "$BUILD/bench/forward" ]; then "$BUILD/bench/forward"; fi
if [ -x bench/instructions.sh ]; then bench/instructions.sh; fi
exit 0
