#!/usr/bin/env bash
# Measures the imbalance (maximum divided by mean) between the upstreams of a service,
# of requests and of concurrent runs (from the ledgers), for uniform and Zipf keys.
set -euo pipefail
cd "$(dirname "$0")/.."
EXAMPLE=pasaz
rate=${RATE:-600}
. scripts/measure-lib.sh
export QUIET=1 STANDIN="--latency 10ms"
trap 'scripts/fleet.sh stop pasaz' EXIT
under_way() { # SERVICE; imbalance of each upstream's mean concurrency at the start of a run
  for upstream in $(awk -v s="$1" '$2 == s {print $1}' "$run/addresses"); do
    tail -n 4000 "$run/$upstream.ledger" | jq -s 'map(select(.event == "started") | .running) | add / length'
  done | jq -s -c '(max / (add / length) * 100 | round / 100)'
}
for zipf in 0 1.2; do
  for policy in "" round-robin; do
    POLICY=$policy scripts/fleet.sh start pasaz
    for target in timetable reservations; do
      $bin load --callers "$(callers)" --mix "$target/lookup" --keys 10000 --zipf "$zipf" --rate "$rate" --duration 2s > /dev/null
      result=$($bin load --callers "$(callers)" --mix "$target/lookup" --keys 10000 --zipf "$zipf" --rate "$rate" --duration 6s --output json |
        jq -c '{requests: ([.upstreams[]] | max / (add / length) * 100 | round / 100), p99Ms, lateSends, refused: (.sent - .verdicts.ran)}')
      echo "$target, zipf $zipf, policy ${policy:-estimated}: most over mean $result, under way $(under_way "$target")"
    done
    scripts/fleet.sh stop pasaz
  done
done
