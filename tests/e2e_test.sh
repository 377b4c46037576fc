#!/bin/bash
# Short end-to-end test: two data centres of balancers with traffic, during the
# changes of the demo.  Each wait is for a condition.  Its limit only ends a run
# that hangs; no check depends on time.
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

expect_success () # CASE LINE COMMAND...
{
  local case=$1 line=$2
  shift 2
  "$@"
  report "$case" "$line" $? "the change failed or did not complete within its limit"
}

expect_zero () # CASE LINE NAME
{
  local n
  n=$(count_of " $3" " $counts")
  [ "$n" = 0 ]
  report "$1" "$2" $? "$3=$n; $(grep "^$3:" "$dir/findings" | head -3 | tr '\n' ' ')"
}

# Waits for NUMBER more answers: traffic between two changes.
await_more_answers () # NUMBER
{
  local before
  before=$(count_events answer)
  await 300 answered $((before + $1))
}

answered () # NUMBER
{
  [ "$(count_events answer)" -ge "$1" ]
}

# Guards against a deployment that does not start and changes that do not
# complete.
expect_success fleet_starts $LINENO start_fleet 3 3 2
start_callers 60 10
expect_success flows_established $LINENO await 300 established 140
expect_success drain_in_force $LINENO drain_server orders-2
await_more_answers 300
expect_success graceful_replacement $LINENO replace_balancer north 1 4
await_more_answers 300
kill_balancer south-1
expect_success service_after_a_crash $LINENO await_more_answers 500
expect_success new_server_in_force $LINENO publish_server orders 4
expect_success older_version_ignored $LINENO serve_older
expect_success join_without_platform $LINENO join_without_platform south 4
expect_success service_without_platform $LINENO await_more_answers 300
expect_success callers_finish $LINENO stop_callers
expect_success balancers_stop $LINENO stop_balancers

counts=$(check_histories --drain-bound-ms=-1)
# Guards against a run without version reports of balancers, in which no return
# to an older version would be counted.
[[ $counts =~ " reports="[1-9] ]]
report events_reported $LINENO $? "$counts"
# Guard against each kind of fault that callers and servers can observe.
expect_zero no_flow_broken $LINENO broken
expect_zero no_flow_broken_by_one_crash $LINENO broken_by_kill
expect_zero no_packet_misrouted $LINENO misrouted
expect_zero no_request_run_twice $LINENO duplicated
expect_zero no_answer_missing $LINENO lost
expect_zero no_answer_wrong $LINENO wrong
expect_zero no_refused_request_run $LINENO refused_run
expect_zero no_version_reverted $LINENO config_reverts
expect_zero all_histories_read $LINENO unreadable
