#!/bin/bash
# Runs balancers of two builds, of the work tree (new) and of commit OLD (old),
# in one fleet, and looks for messages that one of them rejects:
#
#   scripts/mixed.sh OLD
#
# OLD is built in a temporary directory, unless OLD_BUILD names a finished build
# of it.  Balancers with odd numbers run one build, those with even numbers the
# other, then the reverse, so that each data centre has both: in the demo
# (tracked transport) and in soaks (marked transport; SEEDS="1 2" and
# SECONDS_EACH=30 change them).  The stand-ins are new ones; once more each, old
# ones run with new balancers only.
#
# A rejected message leaves one of these events in a log, or raises one of these
# counters of a metrics page; the pages are read twice a second.  The settings
# of the soak have no metrics page, and a marked balancer logs the first datagram
# that it cannot decode as peer_message.
set -u
cd "$(dirname "$0")/.." || exit 1
[ -n "${1:-}${OLD_BUILD:-}" ] || { echo "usage: scripts/mixed.sh OLD"; exit 1; }
events='peer_message|entry_unusable|entry_refused|document_refused|version_refused|settings_unreadable'
counters='control_undecodable_messages_total|dropped_packets_total[{]reason=.(truncated|not_ipv4|gue_version).[}]'
work=$(mktemp -d "${TMPDIR:-/tmp}/mixed.XXXXXX")
old=$work/old/build new=$work/new
export events counters work old new

# Keeps the newest metrics page of each balancer of a demo as NAME.page.
read_pages () # RUN
{
  local settings name address port
  for settings in "$1"/bluebellstand.*/*.settings; do
    name=$(basename "$settings" .settings)
    read -r address port < <(sed -n \
      '1s/.*"address":"\([^"]*\)".*"metrics_port":\([0-9]*\),.*/\1 \2/p' "$settings" 2>/dev/null)
    { exec 3<>"/dev/tcp/$address/${port:-0}"; } 2>/dev/null || continue
    printf 'GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3
    timeout 2 cat <&3 >"$1/$name.read" 2>/dev/null
    exec 3>&-
    grep -q '^bluebellstand_platform_unreachable_seconds ' "$1/$name.read" \
      && mv "$1/$name.read" "$1/$name.page"
  done
}

# Prints one line for each fault of a run.
find_faults () # RUN KIND ODD EVEN
{
  local name side
  for side in "$3" "$4"; do
    grep -q " $side$" "$1/started" || echo "no balancer of the $side build was started"
  done
  while read -r name; do
    grep -q '"event":"' "$1"/*/"$name.log" || echo "$name has no log"
    grep -HE "\"event\":\"($events)\"" "$1"/*/"$name.log" | head -3
    [ "$2" = demo ] || continue
    grep -qE '^bluebellstand_control_received_messages_total [1-9]' "$1/$name.page" \
      || echo "$name: no metrics page with messages of peers was read"
    grep -HE "^bluebellstand_($counters) [1-9]" "$1/$name.page"
  done < <(cut -d' ' -f1 "$1/started" | sort -u)
}

# Runs the builds ODD and EVEN for balancers of these numbers, and the stand-ins
# of the build STANDINS.
one () # KIND ODD EVEN STANDINS SEED
{
  local run pid status faults label="$1: odd $2, even $3, stand-ins $4, seed $5"
  run=$work/$(tr ' ' - <<<"$*")
  mkdir -p "$run/bin"
  ln -s "${!4}"/bin/s* "$run/bin"
  cat >"$run/bin/bluebellstand" <<END
#!/bin/sh
trap '' HUP # as the program does first of all
name=\${2##*/} name=\${name%.*}
case \$name in *[13579]) side=$2 program=${!2} ;; *) side=$3 program=${!3} ;; esac
echo "\$name \$side" >>"$run/started"
exec "\$program/bin/bluebellstand" "\$@"
END
  chmod +x "$run/bin/bluebellstand"
  case $1 in
    demo) keep=1 BUILD=$run SEED=$5 TMPDIR=$run demo/run.sh ;;
    soak) TMPDIR=$run "$run/bin/soak" --seed "$5" --seconds "${SECONDS_EACH:-20}" \
      --program "$run/bin/bluebellstand" ;;
  esac >"$run/out" 2>&1 &
  pid=$!
  while kill -0 "$pid" 2>/dev/null; do
    [ "$1" = soak ] || read_pages "$run"
    sleep 0.5
  done
  wait "$pid"
  status=$?
  faults=$(find_faults "$run" "$1" "$2" "$3" 2>&1)
  if [ "$status" = 0 ] && [ -z "$faults" ]; then
    echo "ok $label: $(tail -1 "$run/out" | sed 's/ logs=.*//')," \
      "starts: $(awk '{ n[$2]++ } END { for (s in n) printf "%s %d ", s, n[s] }' "$run/started")"
  else
    printf 'FAILED %s: exit status %s, files in %s\n%s\n' "$label" "$status" "$run" "$faults"
    tail -5 "$run/out"
  fi
}
export -f read_pages find_faults one

if [ -n "${OLD_BUILD:-}" ]; then
  old=$(cd "$OLD_BUILD" && pwd) || exit 1
else
  mkdir "$work/old" && git archive "$1" | tar -x -C "$work/old" || exit 1
  make --no-print-directory -s -j2 -C "$work/old" BUILD="$old" ALL_C= all || exit 1
fi
make --no-print-directory -s -j2 BUILD="$new" all || exit 1
echo "looks for events $events and counters $counters"
runs=$(
  printf 'demo %s 1\n' "old new new" "new old new" "new new old"
  for builds in "old new new" "new old new"; do
    for seed in ${SEEDS:-1 4 7 11}; do echo "soak $builds $seed"; done
  done
  echo "soak new new old 2"
)
xargs -P 2 -L 1 bash -c 'one "$@"' _ <<<"$runs" | tee "$work/results"
passed=$(grep -c '^ok ' "$work/results") failed=$(($(wc -l <<<"$runs") - passed))
echo "$passed passed, $failed failed"
[ "$failed" = 0 ] && rm -rf "$work"
