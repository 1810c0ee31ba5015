#!/usr/bin/env bash
# Measures the processor time and memory that idle sessions take at the three control
# processes, for several numbers of sessions, all held by one other process
# (TestHoldSessions of internal/capacity).
# Usage: scripts/session-cost.sh [COUNT...]
source "$(dirname "$0")/fleet-lib.sh"
test_binary=$(mktemp)
(cd "$(dirname "$bin")/.." && go test -c -o "$test_binary" ./internal/capacity)
fleet_start 1 s 64 1s
ticks() { awk '{print $14 + $15}' "/proc/${pid[$1]}/stat"; }
rss() { awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/${pid[$1]}/status"; }
all_open() { [ "$(up_to_date)" = "$(($1 + 1))" ]; }
up_to_date() { "$bin" status --output json | grep -o '"routersUpToDate": [0-9]*' | grep -o '[0-9]*$'; }
leader_peer() { port "${1#control-}"; }
for count in "${@:-100 400 1200 2400}"; do for n in $count; do
  name=$(leader)
  "$test_binary" -test.run TestHoldSessions -sessions "$n" -leader "$(leader_peer "$name")" -hold 60s > hold.log 2>&1 &
  holder=$!
  started=$SECONDS
  until_true all_open "$n" || true
  opened=$((SECONDS - started))
  sleep 3
  held=$(up_to_date)
  t0=0 t1=0 l0=$(ticks "$name")
  for i in 1 2 3; do t0=$((t0 + $(ticks "control-$i"))); done
  sleep 10
  l1=$(ticks "$name")
  for i in 1 2 3; do t1=$((t1 + $(ticks "control-$i"))); done
  echo "$n sessions asked for, $held routers up to date after $opened s: leader $(awk -v a="$l0" -v b="$l1" 'BEGIN {printf "%.1f", (b - a) / 10}')% of a core, $(rss "$name") MB; three control processes $(awk -v a="$t0" -v b="$t1" 'BEGIN {printf "%.1f", (b - a) / 10}')% of a core; same leader: $([ "$(leader)" = "$name" ] && echo yes || echo no)"
  kill "$holder" 2> /dev/null || true
  wait "$holder" 2> /dev/null || true
  sleep 3
done; done
rm -f "$test_binary"
