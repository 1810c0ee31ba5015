#!/usr/bin/env bash
# Measures the overhead of the request path: the same lookups are sent directly to the
# stand-ins and through the routers, in turn. Then sends rising rates through one router
# to find its throughput. CPU time is that of all routers, from /proc.
set -euo pipefail
cd "$(dirname "$0")/.."
EXAMPLE=pasaz
runs=${RUNS:-5} rate=${RATE:-500}
. scripts/measure-lib.sh
export ONLY=reservations QUIET=1
trap 'scripts/fleet.sh stop pasaz' EXIT
scripts/fleet.sh start pasaz
ticks=$(getconf CLK_TCK)
cpu() { # prints the CPU time of all routers in seconds
  local sum=0 pid
  for pid in $(awk '/^router-/ {print $2}' "$run/processes"); do
    sum=$((sum + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
  done
  echo "scale=3; $sum / $ticks" | bc
}
rss() { for pid in $(awk '/^router-/ {print $2}' "$run/processes"); do awk '/VmRSS|VmHWM/ {printf "%s %d MB ", $1, $2 / 1024}' "/proc/$pid/status"; echo; done | sort | uniq -c; }
send() { $bin load --mix reservations/lookup --rate "$rate" --duration 5s --output json "$@" | jq -c '[.p50Ms, .p99Ms, .lateSends]'; }
send --callers "$(callers)" > /dev/null
for i in $(seq "$runs"); do
  echo "run $i: direct p50, p99, late $(send --direct --callers "$(standins_of reservations)" --seed "$i")"
  before=$(cpu)
  echo "run $i: routed p50, p99, late $(send --callers "$(callers)" --seed "$i"), CPU of routers a request $(echo "scale=1; ($(cpu) - $before) * 1000000 / ($rate * 5)" | bc) us"
done
for rate in 2000 4000 8000 12000; do
  one=$(awk 'NR == 1 {print $4}' "$run/addresses")
  echo "one entry at $rate/s: $($bin load --callers "$one" --mix reservations/lookup --rate "$rate" --duration 4s --workers 512 --output json | jq -c '{ran: (.verdicts.ran / .seconds | floor), p50Ms, p99Ms, verdicts, lateSends}')"
done
echo "memory of routers:"
rss
