#!/usr/bin/env bash
# Restarts 1 of 5 warm upstreams under load. For each run it prints the least headroom
# of the restarted upstream (capacity minus concurrent runs), the number of requests
# beyond its capacity, and its runs per second, which show when it has its full share.
set -euo pipefail
cd "$(dirname "$0")/.."
EXAMPLE=pasaz
runs=${RUNS:-3} rate=${RATE:-600}
. scripts/measure-lib.sh
export ONLY=reservations QUIET=1 STANDIN="--latency 20ms"
trap 'scripts/fleet.sh stop pasaz' EXIT
for i in $(seq "$runs"); do
  scripts/fleet.sh start pasaz
  $bin load --callers "$(callers)" --mix reservations/lookup --rate "$rate" --duration 3s > /dev/null
  $bin load --callers "$(callers)" --mix reservations/lookup --rate "$rate" --duration 12s --seed "$i" --output json > "$run/load.json" &
  load=$!
  sleep 2
  kill -9 "$(pid_of reservations-2)"
  sleep 2
  mv "$run/reservations-2.ledger" "$run/before.reservations-2"
  address=$(awk '$1 == "reservations-2" {print $5}' "$run/addresses")
  announce=$(jq -r .announce "$run/router-reservations-2.json")
  $bin standin --name reservations-2 --service reservations --address "$address" --announce "$announce" --latency 20ms \
    --slots 10 --ledger "$run/reservations-2.ledger" > /dev/null 2>&1 &
  echo $! >> "$run/pids"
  wait "$load"
  echo "run $i, rate $rate/s: $(jq -c '{sent, verdicts, reasons, p50Ms, p99Ms, maxMs, lateSends}' "$run/load.json")"
  jq -s -c 'map(select(.event == "started")) as $started | ($started[0].at) as $first |
    ([$started[] | ((.at - $first) / 1e9 | floor)] | group_by(.) | map(length)) as $seconds |
    {over: (map(select(.event == "overloaded")) | length), closest: ([$started[] | .bears - .running] | min), runsBySecond: $seconds}' "$run/reservations-2.ledger"
  rm -f "$run/load.json"
  scripts/fleet.sh stop pasaz
done
