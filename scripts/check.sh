#!/bin/bash
# Builds and runs all tests, plain and with sanitizers, and prints the totals.
# The cases of the C programs run in parallel, the end-to-end tests one after
# the other.  A failing test that KNOWN-RED.txt names is printed but not
# counted.
set -u
jobs=$(nproc)
passed=0 failed=0 red=0
known=KNOWN-RED.txt
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
export ASAN_OPTIONS=detect_leaks=1 logs

# Runs COMMAND and stores its output and exit status in files named after LABEL.
run () # LABEL COMMAND...
{
  local log=$logs/${1//[^A-Za-z0-9_]/-}
  echo "$1" >"$log.label"
  shift
  CK_VERBOSITY=verbose CK_DEFAULT_TIMEOUT=240 timeout 400 "$@" >"$log.out" 2>&1
  echo $? >"$log.status"
}
export -f run

report_failure () # LABEL LINE
{
  local test
  test=$(echo "$2" | cut -d: -f5)
  if [ -f "$known" ] && grep -qE "^test: .*\b$test\b" "$known"; then
    echo "known red: $1 $2"
    red=$((red + 1))
  else
    echo "FAILED $1 $2"
    failed=$((failed + 1))
  fi
}

evaluate_log () # LOG
{
  local label status ok bad line
  label=$(cat "$1.label") status=$(cat "$1.status")
  ok=$(grep -cE '^[^ ]+:[0-9]+:P:' "$1.out")
  bad=$(grep -E '^[^ ]+:[0-9]+:[FE]:' "$1.out")
  passed=$((passed + ok))
  if [ -n "$bad" ]; then
    while read -r line; do report_failure "$label" "$line"; done <<<"$bad"
  elif [ "$status" != 0 ] || [ "$ok" = 0 ]; then
    echo "FAILED $label: exit status $status"
    tail -30 "$1.out"
    failed=$((failed + 1))
  else
    echo "ok $label: $ok"
  fi
}

build () # MAKE ARGUMENTS
{
  make --no-print-directory -s -j"$jobs" "$@" all tests || { echo "0 passed, 1 failed"; exit 1; }
}

# Prints a line "LABEL<tab>CASE<tab>PROGRAM" for each case of the C programs.
list_cases () # BUILD LABEL
{
  local source name
  for source in tests/*_test.c; do
    name=$(basename "$source" .c)
    grep -oP 'tcase_create \("\K[^"]+' "$source" \
      | while read -r case; do printf '%s\t%s\t%s\n' "$2/$name/$case" "$case" "$1/tests/$name"; done
  done
}

run_case () # LINE
{
  local label case program
  IFS=$'\t' read -r label case program <<<"$1"
  CK_RUN_CASE=$case run "$label" "$program"
}
export -f run_case

build BUILD=build
build BUILD=build/sanitize OPTIMISE=-O1 \
  SANITIZE="-fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer"
# The longest cases start first.
{ list_cases build/sanitize sanitize; list_cases build plain; } \
  | awk -F'\t' '{ print ($1 ~ /random|driver|herd/ ? 0 : 1) "\t" $0 }' | sort -s -k1,1 | cut -f2- \
  | tr '\n' '\0' | xargs -0 -P "$jobs" -I{} bash -c 'run_case "$1"' _ {}
for t in tests/*_test.sh; do
  BUILD=build run "plain/$(basename "$t" .sh)" "$t"
  BUILD=build/sanitize run "sanitize/$(basename "$t" .sh)" "$t"
done
run model model/run.sh
for log in "$logs"/*.label; do evaluate_log "${log%.label}"; done
[ "$red" = 0 ] || echo "known red: $red"
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
