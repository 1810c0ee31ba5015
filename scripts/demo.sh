#!/usr/bin/env bash
# Demonstrates a fleet on loopback: three control processes and four routers, each
# beside a stand-in upstream. Starts it, sends requests, takes a data centre out of
# service and back, applies presets, and stops it. Exits with an error if a step fails
# or takes too long. With KEEP=1 it only starts the fleet and stops it on Enter.
set -euo pipefail
cd "$(dirname "$0")/../examples/demo"
bin=../../bin/endivespring
limit=15 # longest time of one step in seconds
rm -rf run
mkdir -p run/control-1 run/control-2 run/control-3
head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n' > run/token
chmod 600 run/token

standins=() routers=() controls=()

# stop_all PID... terminates processes and waits for them; those that don't exit within
# the limit are killed.
stop_all() {
  local pid failed=0
  for pid in "$@"; do kill "$pid" 2> /dev/null || true; done
  for pid in "$@"; do
    for _ in $(seq $((limit * 10))); do kill -0 "$pid" 2> /dev/null || break; sleep 0.1; done
    if kill -0 "$pid" 2> /dev/null; then
      echo "process $pid did not stop" >&2
      kill -9 "$pid" 2> /dev/null || true
      failed=1
    fi
    wait "$pid" || failed=1
  done
  return $failed
}

# Stand-ins stop first and control last: a router's graceful stop waits for its
# upstream's last answers and releases its keys at control.
stop() {
  trap - EXIT
  local failed=0
  stop_all "${standins[@]}" || failed=1
  stop_all "${routers[@]}" || failed=1
  stop_all "${controls[@]}" || failed=1
  return $failed
}
trap 'stop || true' EXIT

# start NAME ARGUMENT... starts a process in the background; its ID is in $started.
start() {
  local name=$1
  shift
  "$bin" "$@" > "run/$name.log" 2>&1 &
  started=$!
}

for i in 1 2 3; do start "control-$i" control --settings "control-$i.json"; controls+=("$started"); done
for i in 1 2 3 4; do start "router-$i" router --settings "router-$i.json"; routers+=("$started"); done
for i in 1 2 3 4; do
  service=timetable
  [ "$i" -le 2 ] || service=reservations
  start "$service-$i" standin --name "$service-$i" --service "$service" \
    --address "127.0.0.1:1750$i" --announce "127.0.0.1:1730$i" --ledger "run/$service-$i.ledger"
  standins+=("$started")
done

# until_true COMMAND... repeats a command until it succeeds, within the limit.
until_true() {
  local end=$((SECONDS + limit))
  while [ "$SECONDS" -lt "$end" ]; do
    if "$@" > /dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "gave up waiting for: $*" >&2
  "$@" >&2
}
status() { "$bin" status --output json; }
ready() { status | grep -q '"routersUpToDate": 4' && ! status | grep -Eq '"(free|revoking)": [1-9]'; }

until_true "$bin" preset apply ordinary.json
until_true ready
"$bin" status
if [ "${KEEP:-}" = 1 ]; then
  echo
  echo "The fleet runs. In another shell: cd examples/demo && ../../bin/endivespring status"
  read -r -p "Press Enter here to stop it." _
  stop
  exit
fi
echo
echo "A lookup through router 4, then a reservation through router 1:"
curl -sS -f -D - -X POST -H 'Endivespring-Key: pool-17/lane-4' http://127.0.0.1:17204/v1/timetable/lookup
echo
curl -sS -f -D - -X POST -H 'Endivespring-Request-Id: demo-1' -d '{"lane":4}' http://127.0.0.1:17201/v1/reservations/reserve
echo
echo
"$bin" explain timetable pool-17/lane-4
until_true "$bin" explain --request demo-1 --log run/router-*.log
"$bin" explain --request demo-1 --log run/router-*.log
"$bin" load --callers 127.0.0.1:17201,127.0.0.1:17202 --service timetable --operation lookup --keys 100 --rate 200 --duration 3s
"$bin" load --callers 127.0.0.1:17203,127.0.0.1:17204 --service reservations --operation reserve --rate 100 --duration 3s
"$bin" datacentre out lodz --wait 10s
until_true ready
"$bin" status
"$bin" datacentre in lodz --wait 10s
until_true ready
"$bin" preset diff peak.json
"$bin" preset apply peak.json --wait 10s
"$bin" preset apply ordinary.json --wait 10s
curl -sS -f http://127.0.0.1:17601/metrics | grep -E '^endivespring_(requests_total|door_limit)'
stop
echo "stopped in good order"
