# Common functions of the demo and the end-to-end tests.  A script that sources
# this file gets its own directory in $dir and its own loopback network in $net,
# and kills the processes that it started when it exits.

bin=${BUILD:-build}/bin
dir=$(mktemp -d "${TMPDIR:-/tmp}/bluebellstand.XXXXXX")
declare -gA pids=() chosen_ports=()

cleanup ()
{
  local p
  trap - EXIT
  [ "${#pids[@]}" = 0 ] || kill -KILL "${pids[@]}" 2>/dev/null
  for p in "${pids[@]}"; do
    wait "$p" 2>/dev/null
  done
  [ -n "${keep:-}" ] || rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM HUP

# Sets $net to a prefix 127.A.B that no other script uses and in which no socket
# is bound, and locks the prefix.  The lock is held until this script and all
# processes that it started have ended.  Lock files are never removed; the few
# values of B limit their number.
choose_net ()
{
  local a b
  while :; do
    a=$((RANDOM % 200 + 20)) b=$((RANDOM % 4))
    { exec {net_lock}>>"/tmp/bluebellstand-net-$a.$b.lock"; } 2>/dev/null || continue
    net=127.$a.$b
    flock -n "$net_lock" \
      && ! grep -qi "$(printf ' [0-9A-F][0-9A-F]%02X%02X7F:' $b $a)" \
        /proc/net/udp /proc/net/tcp && return 0
    exec {net_lock}>&-
  done
}

# Sets the variable NAME to a port that was not chosen before and that no socket
# uses at any address, below the range of ephemeral ports.
choose_port () # NAME
{
  local port
  while :; do
    port=$((RANDOM % 20000 + 10000))
    [ -z "${chosen_ports[$port]:-}" ] \
      && ! grep -qi "$(printf ':%04X ' $port)" /proc/net/udp /proc/net/tcp && break
  done
  chosen_ports[$port]=$1
  printf -v "$1" %d $port
}

# Starts COMMAND in the background under NAME, with its output in $dir/NAME.log.
start () # NAME COMMAND...
{
  local name=$1
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  pids[$name]=$!
}

signal () # NAME SIGNAL
{
  kill "-$2" "${pids[$1]}"
}

# Waits for the process NAME to end; returns its exit status.
await_end () # NAME
{
  local status=0
  wait "${pids[$1]}" 2>/dev/null || status=$?
  unset "pids[$1]"
  return $status
}

# Waits until COMMAND succeeds; fails after LIMIT tenths of a second.
await () # LIMIT COMMAND...
{
  local left=$1
  shift
  until "$@" 2>/dev/null; do
    [ $((left--)) -gt 0 ] || return 1
    sleep 0.1
  done
}

# Replaces FILE by the standard input atomically.
replace_file () # FILE
{
  cat >"$1.new" && mv "$1.new" "$1"
}

record_step () # EVENT NAME
{
  echo "{\"event\":\"$1\",\"time_us\":${EPOCHREALTIME/[.,]/},\"name\":\"$2\"}" \
    >>"$dir/steps.history"
}

start_backend () # SERVICE SERVER LAST-OCTET ARGUMENTS...
{
  local service=$1 name=$2 octet=$3
  shift 3
  start "$name" "$bin/standin-backend" --name "$name" --service "$service" \
    --serve "${service_address[$service]}" --gue "$net.$octet:$gue_port" \
    --health "$net.$octet:$health_port" --egress "$net.3:$gue_port" \
    --history "$dir/$name.history" "$@"
}

start_caller () # NAME NUMBER INGRESS LAST-OCTET ARGUMENTS...
{
  local name=$1 number=$2 ingress=$3 octet=$4 service services=()
  shift 4
  for service in "${!service_address[@]}"; do
    services+=(--service "$service=${service_address[$service]}")
  done
  start "$name" "$bin/standin-caller" --number "$number" --ingress "$ingress" \
    --listen "$net.$octet:0" --inner "198.18.$number.0" \
    --history "$dir/$name.history" "${services[@]}" "$@"
}

has_event () # FILE EVENT
{
  grep -q "\"event\":\"$2\"" "$1"
}

declare -gA service_address=(
  [orders]=203.0.113.10:7000
  [catalogue]=203.0.113.20:8000
)
choose_net
choose_port gue_port
choose_port health_port

# Prints the response to GET PATH, without white space.
http_get () # ADDRESS PORT PATH
{
  exec 3<>"/dev/tcp/$1/$2" || return 1
  printf 'GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' "$3" >&3
  tr -d ' \r\n' <&3
  exec 3>&-
}
