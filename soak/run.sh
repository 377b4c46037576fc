#!/bin/bash
# Runs seeds, some at a time, and prints the last line of each; a seed that
# breaks a promise is printed whole.
set -u
build=$1 seconds=$2
shift 2
export build seconds
one () # SEED
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
export -f one
printf '%s\n' "$@" | xargs -P "${JOBS:-3}" -I{} bash -c 'one {}'
