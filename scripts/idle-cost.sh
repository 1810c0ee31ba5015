#!/usr/bin/env bash
# Measures an idle fleet: for each router its processor time, resident memory and the
# payload exchanged with control (from ss), and the processor time of control.
# Usage: scripts/idle-cost.sh [ROUTERS [SECONDS]]
source "$(dirname "$0")/fleet-lib.sh"
count=${1:-8}
seconds=${2:-20}
fleet_start "$count" s 1024 1s
sleep 3
router_pids=() control_pids=()
for r in $(seq "$count"); do router_pids+=("${pid[router-$r]}"); done
for i in 1 2 3; do control_pids+=("${pid[control-$i]}"); done
ticks() { for p in "$@"; do awk '{print $14 + $15}' "/proc/$p/stat"; done | awk '{s += $1} END {print s}'; }
bytes() {
  for p in "${router_pids[@]}"; do
    ss -tinpH state established dst "$(port 1)" or dst "$(port 2)" or dst "$(port 3)" | paste - - | grep "pid=$p," |
      grep -oE 'bytes_(sent|received):[0-9]+' | cut -d: -f2
  done | awk '{s += $1} END {print s + 0}'
}
t0=$(ticks "${router_pids[@]}") c0=$(ticks "${control_pids[@]}") b0=$(bytes)
sleep "$seconds"
t1=$(ticks "${router_pids[@]}") c1=$(ticks "${control_pids[@]}") b1=$(bytes)
rss=$(for p in "${router_pids[@]}"; do awk '/VmRSS/ {print $2}' "/proc/$p/status"; done | awk '{s += $1} END {print s}')
awk -v n="$count" -v s="$seconds" -v t=$((t1 - t0)) -v c=$((c1 - c0)) -v b=$((b1 - b0)) -v r="$rss" 'BEGIN {
  printf "%d idle routers, %d s: router %.2f%% of a core, %.1f MB resident, %.0f B/s with control; three control processes %.2f%% of a core\n",
    n, s, t / s / n, r / n / 1024, b / s / n, c / s }'
