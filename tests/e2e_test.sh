#!/bin/bash
# A short end-to-end run: two data centres of balancers under traffic, through
# the changes of the demo.  Each wait is for a condition, and its limit is only
# there to end a run that hangs; nothing is judged by time.
set -u
cd "$(dirname "$0")/.."
. demo/lib.sh
. demo/fleet.sh
seed=20417
list_lag=0.2

report () # CASE LINE PASSED TEXT
{
  if [ "$3" = 0 ]; then
    echo "tests/e2e_test.sh:$2:P:end-to-end:$1:0: Passed"
  else
    echo "tests/e2e_test.sh:$2:F:end-to-end:$1:0: $4"
  fi
}

planned () # CASE LINE COMMAND...
{
  local case=$1 line=$2
  shift 2
  "$@"
  report "$case" "$line" $? "the change did not go as planned"
}

expect_zero () # CASE LINE NAME
{
  local n
  n=$(count_of " $3" " $counts")
  [ "$n" = 0 ]
  report "$1" "$2" $? "$3=$n; $(grep "^$3:" "$dir/findings" | head -3 | tr '\n' ' ')"
}

# Traffic between the changes.
more_answers () # NUMBER
{
  local before
  before=$(count_events answer)
  await 300 answered $((before + $1))
}

answered () # NUMBER
{
  [ "$(count_events answer)" -ge "$1" ]
}

# Guards against a fleet that does not start, or a change that gets stuck.
planned fleet_starts $LINENO start_fleet 3 3 2
start_callers 60 10
planned flows_established $LINENO await 300 established 140
planned drain_in_force $LINENO drain_server orders-2
more_answers 300
planned graceful_replacement $LINENO replace_balancer north 1 4
more_answers 300
kill_balancer south-1
planned service_after_a_crash $LINENO more_answers 500
planned new_server_in_force $LINENO publish_server orders 4
planned older_version_ignored $LINENO serve_older
planned join_without_platform $LINENO join_without_platform south 4
planned service_without_platform $LINENO more_answers 300
planned callers_finish $LINENO stop_callers
planned balancers_stop $LINENO stop_balancers

counts=$(check_histories --drain-bound-ms=-1)
# Guards against a run that counts nothing.
[[ $counts =~ " reports="[1-9] ]]
report events_reported $LINENO $? "$counts"
# Guard against each kind of harm that callers and servers can see.
expect_zero no_flow_broken $LINENO broken
expect_zero no_flow_broken_by_one_crash $LINENO broken_by_kill
expect_zero no_packet_misrouted $LINENO misrouted
expect_zero no_request_run_twice $LINENO duplicated
expect_zero no_answer_missing $LINENO lost
expect_zero no_answer_wrong $LINENO wrong
expect_zero no_refused_request_run $LINENO refused_run
expect_zero no_version_reverted $LINENO config_reverts
expect_zero all_histories_read $LINENO unreadable
