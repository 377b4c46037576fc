#!/bin/bash
# Demo: runs two data centres with traffic through a drain, a replacement, a
# crash, a new configuration and an outage of the platform.  Takes less than
# 45 s.  The last line has the counts from the histories.  The exit status is 0
# only if all counts of faults are 0 and each change completed.
set -u
cd "$(dirname "$0")/.."
. demo/lib.sh
. demo/fleet.sh
seed=${SEED:-1}
started=$SECONDS
complete=1

log ()
{
  printf '%3d s  %s\n' $((SECONDS - started)) "$*"
}

# Runs a change and prints whether and after which time it completed.
change () # TEXT COMMAND...
{
  local text=$1 from=${EPOCHREALTIME/[.,]/} ms
  shift
  log "$text"
  if "$@"; then
    ms=$(((${EPOCHREALTIME/[.,]/} - from) / 1000))
    log "  done after $ms ms; $(count_events answer) answers so far, $(count_events reset) resets"
  else
    complete=0
    log "  FAILED"
  fi
}

change "start 2 data centres: 3 balancers in each, 6 servers of orders, 3 of catalogue" \
  start_fleet 3 6 3
change "open 500 long flows and keep 60 short ones open" eval \
  'start_callers 250 30 && await 100 established 500'
sleep 2
change "drain server orders-2" drain_server orders-2
sleep 4
change "replace balancer north-1 by north-4 (SIGTERM)" replace_balancer north 1 4
sleep 2
change "kill balancer south-1 (SIGKILL)" kill_balancer south-1
sleep 3
change "publish a configuration with a new server orders-7" publish_server orders 7
sleep 2
change "make the platform serve the previous configuration" serve_older
sleep 1
change "stop the platform and start balancer south-4 without it" \
  join_without_platform south 4
sleep 3
change "stop the callers after their requests are answered" stop_callers
change "stop the balancers (SIGTERM)" stop_balancers

counts=$(check_histories) || complete=0
head -20 "$dir/findings"
log "counted from histories: $counts"
if [ $complete = 0 ] && [ -n "${keep:-}" ]; then log "histories and logs are in $dir"; fi
line=demo:
for name in flows requests broken misrouted duplicated lost config_reverts; do
  line+=" $name=$(count_of " $name" " $counts")"
done
killed=$(count_of " broken_by_kill" " $counts")
[ "$killed" = 0 ] || line+=" broken_by_kill=$killed"
echo "$line"
[ $complete = 1 ]
