#!/usr/bin/env bash
# Measures what control costs each router of an idle fleet: processor time,
# resident memory, and bytes exchanged with control (payload, from ss).
# Usage: scripts/idle-cost.sh [ROUTERS [SECONDS]]
set -euo pipefail
routers=${1:-8}
seconds=${2:-20}
top=$(cd "$(dirname "$0")/.." && pwd)
bin=$top/bin/endivespring
dir=$(mktemp -d)
cd "$dir"
echo token > token
chmod 600 token
mkdir control-1 control-2 control-3
port() { echo "127.0.0.1:$((21000 + $1))"; }
peers='' control='' operators=''
for i in 1 2 3; do
  peers+="${peers:+,}{\"name\":\"control-$i\",\"peer\":\"$(port $i)\",\"operator\":\"$(port $((10 + i)))\"}"
  control+="${control:+,}\"$(port $i)\""
  operators+="${operators:+,}\"$(port $((10 + i)))\""
done
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
  rm -rf "$dir"
}
trap stop EXIT
start() { "$bin" "${@:2}" > "$1.log" 2>&1 & pids+=($!); }
echo "{\"name\":\"idle\",\"control\":[$operators],\"tokenFile\":\"token\"}" > operator.json
for i in 1 2 3; do
  echo "{\"fleet\":\"idle\",\"name\":\"control-$i\",\"dataCentre\":\"a\",\"dataFolder\":\"control-$i\",\"tokenFile\":\"token\",\"peers\":[$peers]}" > "control-$i.json"
  start "control-$i" control --settings "control-$i.json"
done
router_pids=()
for r in $(seq "$routers"); do
  b=$((100 + 4 * r))
  echo "{\"fleet\":\"idle\",\"name\":\"router-$r\",\"dataCentre\":\"a\",\"caller\":\"$(port $b)\",\"announce\":\"$(port $((b + 1)))\",\"peer\":\"$(port $((b + 2)))\",\"control\":[$control]}" > "router-$r.json"
  start "router-$r" router --settings "router-$r.json"
  router_pids+=($!)
  start "u$r" standin --name "u$r" --service s --address "$(port $((b + 3)))" --announce "$(port $((b + 1)))"
done
echo '{"name":"ordinary","services":[{"name":"s","keyed":true,"shards":1024,"operations":[{"name":"lookup","idempotent":true}]}]}' > ordinary.json
for _ in $(seq 100); do "$bin" preset apply ordinary.json > /dev/null 2>&1 && break; sleep 0.2; done
for _ in $(seq 200); do "$bin" status --output json | grep -q "\"free\": 0" && break; sleep 0.2; done
sleep 3
ticks() { for p in "$@"; do awk '{print $14 + $15}' "/proc/$p/stat"; done | awk '{s += $1} END {print s}'; }
bytes() {
  for p in "${router_pids[@]}"; do
    ss -tinpH state established dst "$(port 1)" or dst "$(port 2)" or dst "$(port 3)" | paste - - | grep "pid=$p," |
      grep -oE 'bytes_(sent|received):[0-9]+' | cut -d: -f2
  done | awk '{s += $1} END {print s + 0}'
}
t0=$(ticks "${router_pids[@]}") c0=$(ticks "${pids[@]:0:3}") b0=$(bytes)
sleep "$seconds"
t1=$(ticks "${router_pids[@]}") c1=$(ticks "${pids[@]:0:3}") b1=$(bytes)
rss=$(for p in "${router_pids[@]}"; do awk '/VmRSS/ {print $2}' "/proc/$p/status"; done | awk '{s += $1} END {print s}')
awk -v n="$routers" -v s="$seconds" -v t=$((t1 - t0)) -v c=$((c1 - c0)) -v b=$((b1 - b0)) -v r="$rss" 'BEGIN {
  printf "%d idle routers, %d s: router %.2f%% of a core, %.1f MB resident, %.0f B/s with control; three control processes %.2f%% of a core\n",
    n, s, t / s / n, r / n / 1024, b / s / n, c / s }'
