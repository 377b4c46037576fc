#!/bin/bash
# Tests of the stand-ins without balancers: the fabric sends directly to the
# backend servers.  Plants one fault at a time; the checker must detect each, so
# that a run without findings means something.
set -u
cd "$(dirname "$0")/.."

report () # CASE PASSED LINE TEXT
{
  if [ "$2" = 1 ]; then
    echo "tests/standins_test.sh:$3:P:standins:$1:0: Passed"
  else
    echo "tests/standins_test.sh:$3:F:standins:$1:0: $4"
  fi
}

# Runs callers against two services and prints the checker's counts.  The
# options are those of the fabric, the server orders-1, the caller and the
# checker.
run_direct () # FABRIC-OPTIONS SERVER-OPTIONS CALLER-OPTIONS CHECKER-OPTIONS
{
  . demo/lib.sh
  local service octet=100 s faults=${1//NET/$net}
  faults=${faults//PORT/$gue_port}
  for s in orders-1 orders-2 catalogue-1 catalogue-2; do
    service=${s%-*} octet=$((octet + 1))
    start_backend $service $s $octet $([ $s = orders-1 ] && echo "$2")
    echo "$net.$octet:$gue_port ${service_address[$service]}"
  done >"$dir/targets"
  start fabric "$bin/standin-fabric" --egress "$net.3:$gue_port" \
    --ingress "$net.4:$gue_port=$dir/targets" $faults
  for s in orders-1 orders-2 catalogue-1 catalogue-2; do
    await 50 has_event "$dir/$s.history" start
  done
  start_caller caller 1 "$net.4:$gue_port" 5 --long 40 --short 10 \
    --interval-ms 100 $3
  sleep 0.6
  signal orders-1 USR1
  sleep 0.6
  signal caller TERM
  await_end caller || echo "caller failed"
  "$bin/standin-checker" $4 "$dir"/*.history 2>"$dir/findings"
  echo "exit=$?"
}

expect_direct () # CASE LINE PATTERN OPTIONS...
{
  local case=$1 line=$2 pattern=$3 out
  shift 3
  out=$(run_direct "$@" | tr '\n' ' ')
  report "$case" "$([[ $out =~ $pattern ]] && echo 1)" "$line" "$out"
}

# Runs the checker on the history on the standard input.
expect_history () # CASE LINE PATTERN
{
  local out
  out=$("${BUILD:-build}/bin/standin-checker" /dev/stdin 2>/dev/null; echo "exit=$?")
  out=${out//$'\n'/ }
  report "$1" "$([[ $out =~ $3 ]] && echo 1)" "$2" "$out"
}

# A history without a fault: two flows, of which one is refused.
good_history ()
{
  local a='"flow":"198.18.1.1:1>203.0.113.10:7000","service":"orders"'
  local b='"flow":"198.18.1.2:1>203.0.113.10:7000","service":"orders"'
  cat <<END
{"event":"start","time_us":1,"service":"orders","server":"s1"}
{"event":"open","time_us":2,$a,"id":"0000000000000001"}
{"event":"established","time_us":3,$a,"id":"0000000000000001"}
{"event":"new_flow","time_us":3,$a,"server":"s1"}
{"event":"send","time_us":4,$a,"id":"0000000000000001"}
{"event":"run","time_us":5,$a,"server":"s1","id":"0000000000000001"}
{"event":"answer","time_us":6,$a,"id":"0000000000000001","answer_id":"0000000000000001","asked":1,"length":1,"server":"s1","digest":"$digest"}
{"event":"open","time_us":7,$b,"id":"0000000000000002"}
{"event":"refused","time_us":8,$b,"id":"0000000000000002"}
END
}

event_line () # VM VERSIONS EVENT
{
  echo "{\"event\":\"${3:-version}\",\"vm\":\"$1\",\"versions\":[$2],\"time_us\":9,\"seq\":1}"
}

reset_line () # TIME
{
  echo "{\"event\":\"reset\",\"time_us\":$1,\"flow\":\"198.18.1.1:1>203.0.113.10:7000\",\"service\":\"orders\",\"id\":\"0000000000000001\"}"
}

# Digest of the one-byte answer to request 1.
digest=1982e3a7bb241055
none=' broken=0 misrouted=0 duplicated=0 lost=0 config_reverts=0 wrong=0 refused_run=0 late_new=0 unreadable=0 '
relaxed=--drain-bound-ms=-1

direct_cases ()
{
  # Guards against stand-ins that report faults where there are none.
  expect_direct no_fault $LINENO "${none}.*exit=0" "" "" "" $relaxed &
  expect_direct duplicated_packets $LINENO "${none}.*exit=0" \
    "--fault duplicate --every 3" "" "" $relaxed &
  expect_direct lost_packets $LINENO "${none}.*exit=0" \
    "--fault loss --every 9" "" "" $relaxed &
  # Guard against a checker that does not detect a fault.
  expect_direct packet_at_another_service $LINENO " misrouted=[1-9].*exit=1" \
    "--fault misdirect --every 20 --victim NET.103:PORT" "" "" $relaxed &
  expect_direct packet_at_another_server $LINENO " broken=[1-9].*exit=1" \
    "--fault misdirect --every 20 --victim NET.102:PORT" "" "" $relaxed &
  expect_direct request_run_twice $LINENO " duplicated=[1-9].*exit=1" \
    "" "--fault run_twice --every 5" "" $relaxed &
  expect_direct answer_changed $LINENO " wrong=[1-9].*exit=1" \
    "" "--fault wrong --every 5" "" $relaxed &
  expect_direct answers_crossed $LINENO " wrong=[1-9].*exit=1" \
    "" "--fault crossed --every 5" "" $relaxed &
  expect_direct answer_missing $LINENO " lost=[1-9].*exit=1" \
    "" "--fault silent --every 5" "--grace-ms 500" $relaxed &
  expect_direct flow_reset $LINENO " broken=[1-9].*exit=1" \
    "" "--fault reset --every 5" "" $relaxed &
  expect_direct new_flow_at_a_leaving_server $LINENO " late_new=[1-9].*exit=1" \
    "" "" "" "--drain-bound-ms 0" &
  wait
}

history_cases ()
{
  good_history | expect_history good_history $LINENO "flows=1 requests=1 refused=1 .*${none}.*exit=0"
  expect_history nothing_recorded $LINENO 'flows=0 .*exit=2' </dev/null
  { good_history; echo '{"event":'; } \
    | expect_history line_not_readable $LINENO ' unreadable=1 .*exit=1'
  { good_history; printf '{"event":'; } \
    | expect_history last_line_cut_by_a_kill $LINENO ' unreadable=0 .*exit=0'
  good_history | sed 's/"run"\(.*\)0001"}/"run"\10002"}/' \
    | expect_history refused_request_run $LINENO ' refused_run=1 .*exit=1'
  good_history | sed 's/"server":"s1","digest"/"server":"s2","digest"/
    1i {"event":"start","time_us":1,"service":"catalogue","server":"s2"}' \
    | expect_history answer_of_another_service $LINENO ' misrouted=1 .*exit=1'
  good_history | grep -v '"answer"' \
    | expect_history no_answer $LINENO ' lost=1 .*exit=1'
  good_history | grep -v '"run"' \
    | expect_history answered_without_a_run $LINENO ' wrong=1 .*exit=1'
  { good_history; good_history | grep '"answer"'; } \
    | expect_history answered_twice $LINENO ' wrong=1 .*exit=1'
  { good_history; event_line b1 1,1,1; event_line b1 2,1,4; event_line b1 2,2,4; } \
    | expect_history versions_that_rise $LINENO 'reports=3 .* config_reverts=0 .*exit=0'
  { good_history; event_line b1 2,1,1; event_line b1 1,2,1; } \
    | expect_history base_version_reverted $LINENO ' config_reverts=1 .*exit=1'
  { good_history; event_line b1 1,2,1; event_line b1 1,1,1; } \
    | expect_history overlay_version_reverted $LINENO ' config_reverts=1 .*exit=1'
  { good_history; event_line b1 1,1,8; event_line b1 1,1,7; } \
    | expect_history vms_version_reverted $LINENO ' config_reverts=1 .*exit=1'
  { good_history; echo '{"event":"kill","time_us":10}'; reset_line 11; } \
    | expect_history broken_by_a_kill $LINENO ' broken=0 .* broken_by_kill=1 .*exit=0'
  { good_history; echo '{"event":"kill","time_us":10}'
    echo '{"event":"step","time_us":12}'; reset_line 13; } \
    | expect_history broken_after_the_next_step $LINENO ' broken=1 .*exit=1'
}

# Guards against scripts that run in parallel and choose the same network, and
# against services of one script that choose the same port, before either is
# bound.  RANDOM is set so that both draw the same numbers.
address_cases ()
{
  . demo/lib.sh
  local beside one two
  RANDOM=7
  choose_net
  beside=$(RANDOM=7; choose_net; echo "$net")
  report net_of_its_own \
    "$([[ $beside == 127.* && $beside != "$net" ]] && echo 1)" $LINENO \
    "$net beside $beside"
  RANDOM=7
  choose_port one
  RANDOM=7
  choose_port two
  report port_of_its_own "$([ "$one" != "$two" ] && echo 1)" $LINENO "$one and $two"
}

# Prints status line, version header and body of the response to GET PATH.
get () # PATH
{
  local answer
  exec 3<>"/dev/tcp/$net.2/$health_port"
  printf 'GET %s HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n' "$1" >&3
  answer=$(tr -d '\r' <&3 | grep -E '^(HTTP|Config-Version|\{)' | tr '\n' ' ')
  exec 3>&-
  echo "${answer#HTTP/1.1 }"
}

expect_get () # CASE LINE PATH ANSWER
{
  local out
  out=$(get "$3")
  report "$1" "$([ "$out" = "$4 " ] && echo 1)" "$2" "$out"
}

listening ()
{
  (exec 3<>"/dev/tcp/$net.2/$health_port")
}

# Guards against a platform stand-in that does not serve documents, long polls
# and faults as the tests of the balancers need.
platform_cases ()
{
  . demo/lib.sh
  mkdir -p "$dir/documents/older"
  echo '{"version":3}' >"$dir/documents/base.json"
  echo '{"version":7}' >"$dir/documents/overlay-dc1.json"
  echo '{"version":2}' >"$dir/documents/older/base.json"
  start platform "$bin/standin-platform" --listen "$net.2:$health_port" \
    --directory "$dir/documents"
  await 50 listening
  expect_get document_read $LINENO /v1/base '200 OK Config-Version: 3 {"version":3}'
  expect_get overlay_read $LINENO /v1/overlay/dc1 '200 OK Config-Version: 7 {"version":7}'
  expect_get document_missing $LINENO /v1/vms '404 no such document'
  expect_get directory_left $LINENO /v1/overlay/../base '404 no such document'
  expect_get nothing_newer $LINENO '/v1/base?after=3' '304 Not Modified Config-Version: 3'
  (sleep 0.3; echo '{"version":4}' | replace_file "$dir/documents/base.json") &
  expect_get watch_answered_by_a_change $LINENO '/v1/base?after=3&wait_s=60' \
    '200 OK Config-Version: 4 {"version":4}'
  echo older >"$dir/documents/mode"
  expect_get older_version_served $LINENO '/v1/base?after=4&wait_s=60' \
    '200 OK Config-Version: 2 {"version":2}'
  echo refuse >"$dir/documents/mode"
  expect_get all_refused $LINENO /v1/base '503 unavailable'
}

direct_cases
history_cases
(address_cases)
(platform_cases)
