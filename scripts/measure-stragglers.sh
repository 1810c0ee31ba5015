#!/usr/bin/env bash
# Measures lookups of one unkeyed service while 1 of 5 upstreams is 10 times
# slower for 300 ms every 3 s, under each routing policy, and the same fleet without
# stragglers for comparison. Prints medians over RUNS rounds. A run in which more than
# 1 % of the requests were sent over 5 ms late is left out, since its latencies are
# those of the overloaded machine and not of the fleet.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${RUNS:-3} rate=${RATE:-800} seconds=${SECONDS_EACH:-9}
policies=${POLICIES:-"round-robin two-choices estimated"}
out=examples/pasaz/stragglers.jsonl
export ONLY=reservations QUIET=1 STANDIN="--latency 10ms"
trap 'scripts/fleet.sh stop pasaz' EXIT
mkdir -p "$(dirname "$out")"
: > "$out"
bin=bin/endivespring
started() { cat examples/pasaz/run/*.ledger | grep -c '"event":"started"' || true; }
behave() { curl -sS -X POST -d "$1" "http://$(awk '$1=="reservations-2"{print $5}' examples/pasaz/run/addresses)/behaviour"; }
measure() { # POLICY PHASE SEED [SECONDS]
  local before after callers
  callers=$(awk '{print $4}' examples/pasaz/run/addresses | paste -sd,)
  before=$(started)
  $bin load --callers "$callers" --mix reservations/lookup --rate "$rate" --duration "${4:-$seconds}s" --seed "$3" --output json > examples/pasaz/run/load.json
  after=$(started)
  jq -c --arg policy "$1" --arg phase "$2" --argjson started $((after - before)) \
    '{policy: $policy, phase: $phase, p50: .p50Ms, p99: .p99Ms, p999: .p999Ms, refused: (.sent - (.verdicts.ran // 0)), extra: (100 * ($started - .sent) / .sent), late: (100 * .lateSends / .sent),
      imbalance: ([.upstreams[]] | max / (add / length))}' examples/pasaz/run/load.json >> "$out"
  rm -f examples/pasaz/run/load.json
}
for run in $(seq "$runs"); do
  for policy in $policies; do
    POLICY=$policy; [ "$policy" = estimated ] && POLICY=
    export POLICY
    scripts/fleet.sh start pasaz
    measure warm-up "$policy" 1 3
    measure "$policy" none "$run"
    behave '{"slowFactor":10,"slowForMs":300,"slowEveryMs":3000}'
    measure "$policy" stragglers "$run"
    scripts/fleet.sh stop pasaz
  done
done
echo "rate $rate/s, $seconds s a run, medians of the valid ones of $runs runs; latencies in ms, extra calls in % of requests"
jq -s -r 'def median: sort | .[(length - 1) / 2 | floor];
  map(select(.policy != "warm-up" and .late <= 1)) | group_by([.policy, .phase])[] |
  [.[0].policy, .[0].phase, (map(.p50) | median), (map(.p99) | median), (map(.p999) | median), (map(.refused) | median), (map(.extra) | median * 100 | round / 100), (map(.imbalance) | median * 100 | round / 100), length] | @tsv' "$out" |
  column -t -N policy,phase,p50,p99,p99.9,refused,extra,imbalance,runs
