#!/bin/bash
# Shows two data centres through a drain, a replacement, a crash, a new
# configuration and the loss of the platform.  Takes less than 45 s.  The last
# line has the counts; the exit status is 0 only if all of them are 0 and each
# change went as planned.
set -u
cd "$(dirname "$0")/.."
. demo/lib.sh
. demo/fleet.sh
seed=${SEED:-1}
started=$SECONDS
planned=1

say ()
{
  printf '%3d s  %s\n' $((SECONDS - started)) "$*"
}

# Runs a change and says whether it went as planned.
change () # TEXT COMMAND...
{
  local text=$1 from=${EPOCHREALTIME/[.,]/} ms
  shift
  say "$text"
  if "$@"; then
    ms=$(((${EPOCHREALTIME/[.,]/} - from) / 1000))
    say "  done after $ms ms; $(count_events answer) answers so far, $(count_events reset) resets"
  else
    planned=0
    say "  FAILED"
  fi
}

change "start 2 data centres: 3 balancers in each, 6 servers of orders, 3 of catalogue" \
  start_fleet 3 6 3
change "open 500 long flows and keep 60 short ones coming" eval \
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
change "let the platform serve the configuration before it" serve_older
sleep 1
change "stop the platform and start balancer south-4 without it" \
  join_without_platform south 4
sleep 3
change "stop the callers when their requests are answered" stop_callers
change "stop the balancers (SIGTERM)" stop_balancers

counts=$(check_histories) || planned=0
head -20 "$dir/findings"
say "counted from histories: $counts"
if [ $planned = 0 ] && [ -n "${keep:-}" ]; then say "histories and logs are in $dir"; fi
line=demo:
for name in flows requests broken misrouted duplicated lost config_reverts; do
  line+=" $name=$(count_of " $name" " $counts")"
done
killed=$(count_of " broken_by_kill" " $counts")
[ "$killed" = 0 ] || line+=" broken_by_kill=$killed"
echo "$line"
[ $planned = 1 ]
