#!/bin/bash
# Usage: soak/run.sh BUILD SECONDS SEED...
# Runs the seeds, JOBS (default 3) in parallel, and prints the summary line of
# each, or the whole output of a run that fails.
set -u
build=$1 seconds=$2
shift 2
export build seconds
run_seed () # SEED
{
  local out
  out=$("$build/bin/soak" --seed "$1" --seconds "$seconds" --program "$build/bin/bluebellstand" 2>&1)
  local status=$?
  if [ "$status" = 0 ]; then
    tail -1 <<<"$out"
    rm -rf "$(sed -n 's/.* logs=//p' <<<"$out" | tail -1)"
  else
    echo "$out"
  fi
  return "$status"
}
export -f run_seed
printf '%s\n' "$@" | xargs -P "${JOBS:-3}" -I{} bash -c 'run_seed {}'
