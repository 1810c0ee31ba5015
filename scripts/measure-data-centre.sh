#!/usr/bin/env bash
# Takes a data centre out of service and back under a mixed load of the whole fleet.
# Prints the verdicts, the lowest share of requests that ran in one second, and the
# number of non-idempotent requests that ran twice. With KILL=1 the data centre's routers
# and upstreams are killed instead, and callers use the other routers only.
set -euo pipefail
cd "$(dirname "$0")/.."
EXAMPLE=${EXAMPLE:-pasaz}
runs=${RUNS:-3} rate=${RATE:-400} centre=${CENTRE:-lodz}
mix=${MIX:-timetable/lookup=50,reservations/lookup=30,reservations/reserve=12,payments/charge=8}
. scripts/measure-lib.sh
export QUIET=1
trap 'scripts/fleet.sh stop "$EXAMPLE"' EXIT
for i in $(seq "$runs"); do
  scripts/fleet.sh start "$EXAMPLE"
  $bin load --callers "$(callers)" --mix "$mix" --keys 1000 --rate "$rate" --duration 3s > /dev/null
  before=$(ledger_count started)
  entries=$(callers)
  [ "${KILL:-}" = 1 ] && entries=$(awk -v c="$centre" '$3 != c {print $4}' "$run/addresses" | paste -sd,)
  $bin load --callers "$entries" --mix "$mix" --keys 1000 --rate "$rate" --duration 14s --seed "$i" --resend-every 100 --output json > "$run/load.json" &
  load=$!
  sleep 4
  if [ "${KILL:-}" = 1 ]; then
    for upstream in $(awk -v c="$centre" '$3 == c {print $1}' "$run/addresses"); do
      kill -9 "$(pid_of "router-$upstream")" "$(pid_of "$upstream")"
    done
  else
    operate datacentre out "$centre" > /dev/null
    sleep 5
    operate datacentre in "$centre" > /dev/null
  fi
  wait "$load"
  echo "run $i, rate $rate/s: $(jq -c '{sent, verdicts, reasons, resendVerdicts, mismatched, p50Ms, p99Ms, p999Ms, maxMs, lateSends, worstSecond: ([.timeline[:14][] | .ran / .sent] | min)}' "$run/load.json")"
  jq -c '.operations[] | {operation, sent, verdicts, p99Ms, p999Ms}' "$run/load.json"
  echo "calls at upstreams: $(($(ledger_count started) - before)), ran twice: $(doubled), over what upstreams bear: $(ledger_count overloaded)"
  rm -f "$run/load.json"
  scripts/fleet.sh stop "$EXAMPLE"
done
