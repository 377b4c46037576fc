# A deployment of two data centres with balancers, backend servers of two
# services, a fabric and a platform (configuration service), and the changes
# that the demo and the end-to-end test make to it.  Source it after lib.sh.
#
# Last octets of the addresses in $net: platform 2, egress 3, ingress of north 4
# and of south 5, callers 6 and 7, balancers of north 9 to 15 and of south 17 to
# 31, backend servers from 101 on.

data_centres=(north south)
declare -A ingress=([north]=4 [south]=5)
declare -A first_balancer=([north]=8 [south]=16)
declare -A octets=()  # last octet of the address, by balancer
declare -A listed=()  # state in the VM list, by balancer
declare -A targets=() # balancers that the fabric sends to
declare -A server_octets=() # last octet of the address, by server
base_version=0 vms_version=0
list_lag=1.5 # seconds until the VM list no longer contains a crashed balancer
drained=     # name of the server with the drain flag
documents=$dir/documents
choose_port control_port
choose_port metrics_port

write_servers () # SERVICE
{
  local name separator=
  for name in $(printf '%s\n' "${!server_octets[@]}" | sort); do
    [ "${name%-*}" = "$1" ] || continue
    printf '%s"%s":{"address":"%s","gue_port":%d,"health_port":%d,"drain":%s}' \
      "$separator" "$name" "$net.${server_octets[$name]}" "$gue_port" \
      "$health_port" "$([ "$name" = "$drained" ] && echo true || echo false)"
    separator=,
  done
}

write_service () # NAME POLICY
{
  local address=${service_address[$1]}
  printf '"%s":{"address":"%s","port":%d,"policy":"%s","ramp_ms":1000,' \
    "$1" "${address%:*}" "${address#*:}" "$2"
  printf '"connection_limit":2000,"slots":2,"servers":{%s}}' "$(write_servers "$1")"
}

# Copies the current documents to older/ for serve_older and publishes the next
# base version.
publish_base ()
{
  mkdir -p "$documents/older"
  cp "$documents"/*.json "$documents/older"
  base_version=$((base_version + 1))
  replace_file "$documents/base.json" <<END
{"version":$base_version,"hash_seed":20417,
 "data_centres":{"north":{"entry_networks":["$net.8/29"]},
                 "south":{"entry_networks":["$net.16/28"]}},
 "services":{$(write_service orders even),
             $(write_service catalogue table)}}
END
}

publish_overlay () # DATA-CENTRE
{
  replace_file "$documents/overlay-$1.json" <<END
{"version":1,"data_centre":"$1","services":{"catalogue":{"flow_idle_limit_s":3600}}}
END
}

publish_vms ()
{
  local name separator=
  vms_version=$((vms_version + 1))
  {
    printf '{"version":%d,"vms":[' "$vms_version"
    for name in "${!listed[@]}"; do
      printf '%s{%s,"state":"%s"}' "$separator" "$(describe_balancer "$name")" \
        "${listed[$name]}"
      separator=,
    done
    printf '],"servers":[]}\n'
  } | replace_file "$documents/vms.json"
}

describe_balancer () # NAME
{
  printf '"name":"%s","data_centre":"%s","address":"%s","data_port":%d,"control_port":%d' \
    "$1" "${1%-*}" "$net.${octets[$1]}" "$gue_port" "$control_port"
}

write_targets () # DATA-CENTRE
{
  local name
  for name in "${!targets[@]}"; do
    [ "${name%-*}" != "$1" ] || echo "$net.${octets[$name]}:$gue_port"
  done | replace_file "$dir/targets-$1"
}

# Starts balancer NUMBER of a data centre with all others as initial peers.
start_balancer () # DATA-CENTRE NUMBER
{
  local name=$1-$2 peer peers=
  octets[$name]=$((first_balancer[$1] + $2))
  for peer in "${!octets[@]}"; do
    [ "$peer" = "$name" ] || peers+="${peers:+,}{$(describe_balancer "$peer")}"
  done
  cat >"$dir/$name.settings" <<END
{$(describe_balancer "$name"),"metrics_port":$metrics_port,
 "platform":{"kind":"http","address":"$net.2","port":$health_port},
 "peers":[$peers],"egress":{"address":"$net.3","port":$gue_port},
 "flow_capacity":65536,"push_bytes":16384,"quiet_ms":500,
 "leave_limit_ms":10000,"probe_interval_ms":500,"log_level":"debug"}
END
  start "$name" "$bin/bluebellstand" --settings "$dir/$name.settings"
}

status_has () # BALANCER PATTERN
{
  [[ $(http_get "$net.${octets[$1]}" "$metrics_port" /status) =~ $2 ]]
}

# Returns whether BALANCER is ready with the newest version of the base
# document.
in_force () # BALANCER
{
  status_has "$1" "\"ready\":true.*\"versions\":\{\"base\":$base_version,"
}

in_force_everywhere ()
{
  local name
  for name in "${!targets[@]}"; do
    in_force "$name" || return 1
  done
}

add_balancer () # DATA-CENTRE NUMBER
{
  local name=$1-$2
  start_balancer "$1" "$2"
  await 100 in_force "$name" || return 1
  listed[$name]=live targets[$name]=1
  write_targets "$1"
}

remove_target () # NAME
{
  unset "targets[$1]"
  write_targets "${1%-*}"
}

start_server () # SERVICE NUMBER
{
  local name=$1-$2 first=100
  [ "$1" = orders ] || first=150
  server_octets[$name]=$((first + $2))
  start_backend "$1" "$name" "${server_octets[$name]}" --work-ms 10
  await 50 has_event "$dir/$name.history" start
}

start_fleet () # BALANCERS ORDERS-SERVERS CATALOGUE-SERVERS
{
  local i d arguments=()
  mkdir -p "$documents"
  for ((i = 1; i <= $2; i++)); do start_server orders $i; done
  for ((i = 1; i <= $3; i++)); do start_server catalogue $i; done
  for d in "${data_centres[@]}"; do
    publish_overlay "$d"
    for ((i = 1; i <= $1; i++)); do
      octets[$d-$i]=$((first_balancer[$d] + i)) listed[$d-$i]=live
      targets[$d-$i]=1
    done
    write_targets "$d"
    arguments+=(--ingress "$net.${ingress[$d]}:$gue_port=$dir/targets-$d")
  done
  publish_base
  publish_vms
  start platform "$bin/standin-platform" --listen "$net.2:$health_port" \
    --directory "$documents"
  start fabric "$bin/standin-fabric" --egress "$net.3:$gue_port" \
    --seed "$seed" "${arguments[@]}"
  for d in "${data_centres[@]}"; do
    for ((i = 1; i <= $1; i++)); do start_balancer "$d" $i; done
  done
  await 100 in_force_everywhere
}

start_callers () # LONG SHORT
{
  local i=0 d
  for d in "${data_centres[@]}"; do
    i=$((i + 1))
    start_caller "callers-$d" $i "$net.${ingress[$d]}:$gue_port" $((5 + i)) \
      --long "$1" --short "$2" --seed $((seed + i))
  done
}

count_events () # EVENT
{
  cat "$dir"/callers-*.history 2>/dev/null | grep -c "\"event\":\"$1\""
}

established () # NUMBER
{
  [ "$(count_events established)" -ge "$1" ]
}

# Changes to the deployment.  Each returns 0 if it completed within its time
# limit.

drain_server () # SERVER
{
  record_step step "drain $1"
  drained=$1
  publish_base
  signal "$1" USR1
  await 100 in_force_everywhere
}

replace_balancer () # DATA-CENTRE OLD NEW
{
  record_step step "replace $1-$2 by $1-$3"
  add_balancer "$1" "$3" || return 1
  listed[$1-$2]=leaving
  publish_vms
  signal "$1-$2" TERM
  sleep 0.5 # the fabric is updated later
  remove_target "$1-$2"
  await_end "$1-$2" || return 1
  unset "listed[$1-$2]"
  publish_vms
}

kill_balancer () # NAME
{
  record_step kill "$1"
  signal "$1" KILL
  await_end "$1"
  sleep 0.5 # the fabric is updated later
  remove_target "$1"
  sleep "$list_lag" # the VM list is updated last
  unset "listed[$1]"
  publish_vms
}

publish_server () # SERVICE NUMBER
{
  record_step step "publish $1-$2"
  start_server "$1" "$2"
  publish_base
  await 100 in_force_everywhere
}

older_refused_everywhere ()
{
  local name
  for name in "${!targets[@]}"; do
    has_event "$dir/$name.log" version_stale || return 1
  done
}

# Makes the platform serve the previous configuration, until all balancers have
# refused it.
serve_older ()
{
  local status
  record_step step "serve an older configuration"
  echo older >"$documents/mode"
  await 100 older_refused_everywhere && in_force_everywhere
  status=$?
  rm "$documents/mode"
  return $status
}

join_without_platform () # DATA-CENTRE NUMBER
{
  record_step step "stop the platform and start $1-$2"
  signal platform TERM
  await_end platform
  add_balancer "$1" "$2"
}

stop_callers ()
{
  local d
  record_step step "stop the callers"
  for d in "${data_centres[@]}"; do signal "callers-$d" TERM; done
  for d in "${data_centres[@]}"; do await_end "callers-$d" || return 1; done
}

# Stops all balancers at the same time, so that no peer remains to take over
# entries.
stop_balancers ()
{
  local name status=0
  for name in "${!targets[@]}"; do signal "$name" TERM; done
  for name in "${!targets[@]}"; do await_end "$name" || status=1; done
  return $status
}

check_histories () # OPTIONS...
{
  "$bin/standin-checker" "$@" "$dir"/*.history "$dir"/north-*.log \
    "$dir"/south-*.log 2>"$dir/findings"
}

count_of () # NAME COUNTS
{
  local rest=${2##*"$1="}
  echo "${rest%% *}"
}
