#!/bin/bash
# Builds and runs all tests, plain and under sanitizers, and prints the sums.
# A failing test that KNOWN-RED.txt names is printed and does not count.
set -u
jobs=$(nproc)
passed=0 failed=0 red=0
known=KNOWN-RED.txt

run () # LABEL COMMAND...
{
  local label=$1 log
  shift
  log=$(mktemp)
  CK_VERBOSITY=verbose CK_DEFAULT_TIMEOUT=120 timeout 300 "$@" >"$log" 2>&1
  local status=$? ok bad
  ok=$(grep -cE '^[^ ]+:[0-9]+:P:' "$log")
  bad=$(grep -E '^[^ ]+:[0-9]+:[FE]:' "$log")
  passed=$((passed + ok))
  if [ -n "$bad" ]; then
    while read -r line; do
      test=$(echo "$line" | cut -d: -f5)
      if [ -f "$known" ] && grep -qE "^test: .*\b$test\b" "$known"; then
        echo "known red: $label $line"
        red=$((red + 1))
      else
        echo "FAILED $label $line"
        failed=$((failed + 1))
      fi
    done <<<"$bad"
  elif [ "$status" != 0 ] || [ "$ok" = 0 ]; then
    echo "FAILED $label: exit status $status"
    tail -30 "$log"
    failed=$((failed + 1))
  else
    echo "ok $label: $ok"
  fi
  rm -f "$log"
}

build () # MAKE ARGUMENTS
{
  make --no-print-directory -s -j"$jobs" "$@" all tests || { echo "0 passed, 1 failed"; exit 1; }
}

run_all () # BUILD LABEL
{
  local t
  for t in tests/*_test.c; do
    t=$(basename "$t" .c)
    run "$2/$t" "$1/tests/$t"
  done
  for t in tests/*_test.sh; do
    [ -e "$t" ] && BUILD=$1 run "$2/$(basename "$t" .sh)" "$t"
  done
}

build BUILD=build
run_all build plain
build BUILD=build/sanitize OPTIMISE=-O1 \
  SANITIZE="-fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer"
ASAN_OPTIONS=detect_leaks=1 run_all build/sanitize sanitize
if [ -x model/run.sh ]; then run model model/run.sh; fi
[ "$red" = 0 ] || echo "known red: $red"
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
