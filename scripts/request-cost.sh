#!/usr/bin/env bash
# Measures the processor time that routers take per request at several rates: three
# routers, keyed lookups of 1 ms, all sent to one router's gateway.
# Usage: scripts/request-cost.sh [RATE...] (requests per second)
source "$(dirname "$0")/fleet-lib.sh"
rates=("$@")
[ ${#rates[@]} -gt 0 ] || rates=(500 2000 4000)
fleet_start 3 s 64 1s --latency 1ms --slots 64 --cold-slots 64 --connections 128
ticks() { for r in 1 2 3; do awk '{print $14 + $15}' "/proc/${pid[router-$r]}/stat"; done | awk '{s += $1} END {print s}'; }
for rate in "${rates[@]}"; do
  t0=$(ticks)
  "$bin" load --callers "$(caller 1)" --service s --operation lookup --keys 1000 --rate "$rate" --duration 8s --workers 512 --output json > load.json
  t1=$(ticks)
  awk -F'[:,]' -v rate="$rate" -v t=$((t1 - t0)) '/^  "sent"/ {sent = $2} /^  "p99Ms"/ {p99 = $2} /^    "ran"/ && v {ran = $2} /^  "verdicts"/ {v = 1} /^  }/ {v = 0}
    END {printf "%d/s: %d sent, %d ran, p99 %.2f ms; routers %.0f us of processor time a request\n", rate, sent, ran, p99, t * 10000 / sent}' load.json
done
rss=$(awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/${pid[router-1]}/status")
echo "entry's router afterwards: $rss MB resident"
