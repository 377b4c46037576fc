#!/bin/bash
# Checks each model and its mutations with Spin; each mutation must violate the
# rule of its model.  Prints one line per run in the form that scripts/check.sh
# counts.
set -u
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

verify () # MODEL [MUTATION]; prints the number of errors or "unknown"
{
  local d=$work/$1-${2:-none}
  mkdir "$d" && cd "$d" || return
  spin -a ${2:+-D"$2"} "$here/$1.pml" >spin.log 2>&1 \
    && gcc -O2 -w -DSAFETY -DNOREDUCE -DVECTORSZ=4096 -DMEMLIM=2048 \
      -o pan pan.c >gcc.log 2>&1 \
    && timeout 120 ./pan -m200000 -w22 >pan.log 2>&1
  if grep -q 'max search depth too small\|reached -DMEMLIM' pan.log \
    || ! grep -q 'errors:' pan.log; then
    echo unknown
    return
  fi
  sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
}

check () # MODEL [MUTATION]
{
  local errors name=$1${2:+-$2} result=F text
  errors=$(verify "$@")
  if [ -z "${2:-}" ] && [ "$errors" = 0 ]; then result=P; fi
  if [ -n "${2:-}" ] && [[ "$errors" =~ ^[1-9] ]]; then result=P; fi
  text=Passed
  [ $result = P ] || text="errors: $errors"
  echo "model/$1.pml:1:$result:model:$name:0: $text"
  [ $result = P ]
}

mutations='impairment ACT_AT_ONCE ACK_ANY CLEAR_EARLY LIVE_ONLY NO_GATE
FIRST_HEARTBEAT
handover NO_CHAIN NO_PASS_ON LEAVE_EARLY JOINING_COUNTS ACTIVE_ONLY
rebalance NO_BARRIER FREE_IN_RESOLVE OLD_BITS RECORD_NON_DEFAULT_ONLY
versions TRUST_PLATFORM NO_CHECK_AT_END MIX_CHUNKS'

status=0
for word in $mutations; do
  case $word in
    [a-z]*) model=$word; check "$model" & ;;
    *) check "$model" "$word" & ;;
  esac
done
for job in $(jobs -p); do wait "$job" || status=1; done
exit $status
