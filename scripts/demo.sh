#!/usr/bin/env bash
# Starts a fleet of separate processes on loopback, sends it requests and stops
# it: three control processes, four routers, each beside a stand-in upstream.
set -euo pipefail
cd "$(dirname "$0")/../examples/demo"
bin=../../bin/endivespring
rm -rf run
mkdir -p run/control-1 run/control-2 run/control-3
head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n' > run/token
chmod 600 run/token

pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
}
trap stop EXIT
start() {
  local name=$1
  shift
  "$bin" "$@" > "run/$name.log" 2>&1 &
  pids+=($!)
}

for i in 1 2 3; do start "control-$i" control --settings "control-$i.json"; done
for i in 1 2 3 4; do start "router-$i" router --settings "router-$i.json"; done
for i in 1 2; do
  start "timetable-$i" standin --name "timetable-$i" --service timetable \
    --address "127.0.0.1:1750$i" --announce "127.0.0.1:1730$i" --ledger "run/timetable-$i.ledger"
done
for i in 3 4; do
  start "reservations-$i" standin --name "reservations-$i" --service reservations \
    --address "127.0.0.1:1750$i" --announce "127.0.0.1:1730$i" --ledger "run/reservations-$i.ledger"
done

# until_true repeats a command until it succeeds, for at most 15 seconds.
until_true() {
  for _ in $(seq 150); do
    if "$@" > /dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "gave up waiting for: $*" >&2
  return 1
}
ready() { "$bin" status --output json | grep -q '"routersUpToDate": 4' && ! "$bin" status --output json | grep -Eq '"free": [1-9]'; }

until_true "$bin" preset apply ordinary.json
until_true ready
"$bin" status
echo
echo "A lookup through router 4, then a reservation through router 1:"
curl -sS -D - -X POST -H 'Endivespring-Key: pool-17/lane-4' http://127.0.0.1:17204/v1/timetable/lookup
echo
curl -sS -D - -X POST -H 'Endivespring-Request-Id: demo-1' -d '{"lane":4}' http://127.0.0.1:17201/v1/reservations/reserve
echo
echo
"$bin" explain timetable pool-17/lane-4
"$bin" load --callers 127.0.0.1:17201,127.0.0.1:17202 --service timetable --operation lookup --keys 100 --rate 200 --duration 3s
"$bin" load --callers 127.0.0.1:17203,127.0.0.1:17204 --service reservations --operation reserve --rate 100 --duration 3s
"$bin" datacentre out lodz
until_true ready
"$bin" status
