#!/bin/bash
# Counts the instructions that a balancer executes for a packet, without system
# calls, for each kind of packet in bench/instructions.c.  Each count is the
# difference of two runs of different length, so that the set-up cancels out.
# The worst kind is compared with the target.
set -eu
cd "$(dirname "$0")/.."
program=${BUILD:-build}/bench/instructions
short=1000 long=3000

count () # KIND PACKETS
{
  valgrind --tool=callgrind --callgrind-out-file=/dev/null \
    "$program" "$1" "$2" 2>&1 | sed -n 's/.*Collected : \([0-9]*\).*/\1/p'
}

measure () # NAME INSTRUCTIONS BOUND
{
  local verdict=fail
  [ "$2" -gt "$3" ] || verdict=pass
  echo "measure $1 $2 instructions target <= $3 $verdict"
  [ $verdict = pass ] || status=1
}

status=0 established=0 new=0
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
"$program" list >"$directory/kinds"
while read -r kind _; do
  count "$kind" $short >"$directory/$kind.short" &
  count "$kind" $long >"$directory/$kind.long" &
done <"$directory/kinds"
wait
while read -r kind flow name; do
  a=$(cat "$directory/$kind.short") b=$(cat "$directory/$kind.long")
  n=$(((b - a) / (long - short)))
  echo "note packet_instructions_${flow}_$name $n instructions"
  if [ "$flow" = new ]; then
    new=$((n > new ? n : new))
  else
    established=$((n > established ? n : established))
  fi
done <"$directory/kinds"
measure packet_instructions_established $established 300
measure packet_instructions_new $new 1000
exit $status
