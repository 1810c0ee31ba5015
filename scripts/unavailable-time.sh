#!/usr/bin/env bash
# Measures how long keys are not served after a crash. Lookups of many keys are sent at
# a fixed rate and wait at the gateway while their shard has no owner. The longest
# latency of a run, counted from when the request was due, is therefore the unavailable
# time. Kills (SIGKILL) a router that owns shards, the leader of control, or both.
# Usage: scripts/unavailable-time.sh holder|leader|both [RUNS]
source "$(dirname "$0")/fleet-lib.sh"
kind=${1:?holder, leader or both}
runs=${2:-10}
# report FILE prints the longest latency in ms, the numbers of requests sent and run,
# and the reasons of the others.
report() {
  awk -F'[:,]' '/^  "maxMs"/ {m = $2} /^    "ran"/ && verdicts {ran = $2} /^  "sent"/ {sent = $2}
    /^  "verdicts"/ {verdicts = 1} /^  "reasons": {$/ {inside = 1}
    inside && /^    "/ {gsub(/[ "]/, "", $1); reasons = reasons " " $1 "=" $2} /^  }/ {inside = 0; verdicts = 0}
    END {printf "%.0f %d %d%s\n", m, sent, ran, reasons}' "$1"
}
# balanced succeeds once each of the 4 routers owns at least 12 of the 64 shards.
balanced() { settled && "$bin" status | awk '/^router-/ {n += ($6 >= 12)} END {exit n != 4}'; }
fleet_start 4 s 64 10s --latency 1ms
for run in $(seq "$runs"); do
  until_true balanced
  victim=$(leader)
  "$bin" load --callers "$(caller 2),$(caller 3),$(caller 4)" --service s --operation lookup --keys 1000 --rate 400 \
    --duration 5s --timeout 10s --workers 2048 --seed "$run" --output json > load.json &
  load=$!
  sleep 1
  [ "$kind" = leader ] || kill_process router-1
  [ "$kind" = holder ] || kill_process "$victim"
  wait "$load"
  [ "$kind" = leader ] || start_router 1
  [ "$kind" = holder ] || start_control "${victim#control-}"
  report load.json
done > results
sort -n results | awk -v kind="$kind" '{m[NR] = $1; sent += $2; ran += $3} END {
  p99 = int(NR * 0.99 + 0.999999)
  printf "%s lost, %d runs: unavailable ms p50 %d, p99 %d, max %d; %d of %d requests not answered\n",
    kind, NR, m[int((NR + 1) / 2)], m[p99], m[NR], sent - ran, sent }'
echo "each run (ms, sent, answered, reasons of the rest):"
sort -n results
