#!/usr/bin/env bash
# Starts or stops the fleet of an example on loopback: three control processes and,
# for each line of the example's fleet.txt (upstream, service, data centre, latency), a
# stand-in upstream with its router. Settings, data and logs go to the example's run/.
#
#   scripts/fleet.sh start pasaz
#   scripts/fleet.sh stop pasaz
#
# Environment:
#   BASE     ports are numbered from here (default: depends on the example)
#   POLICY   routing policy of the routers (default: that of the product)
#   ONLY     a service: start only its upstreams (needs jq)
#   STANDIN  additional flags for each stand-in
#   QUIET    1 discards the logs of all processes
set -euo pipefail
cd "$(dirname "$0")/.."
verb=$1 example=$2
bin=$PWD/bin/endivespring
cd "examples/$example"
case $example in pasaz) default=26000 ;; *) default=28000 ;; esac
base=${BASE:-$default}

stop() {
  [ -f run/pids ] || return 0
  while read -r pid; do kill "$pid" 2> /dev/null || true; done < run/pids
  while read -r pid; do
    for _ in $(seq 100); do kill -0 "$pid" 2> /dev/null || break; sleep 0.1; done
    kill -9 "$pid" 2> /dev/null || true
  done < run/pids
  rm -f run/pids
}

address() { echo "127.0.0.1:$((base + $1))"; }

start() { # NAME ARGUMENT...
  local name=$1 out=run/$1.log
  shift
  [ "${QUIET:-}" = 1 ] && out=/dev/null
  "$bin" "$@" > "$out" 2>&1 &
  echo $! >> run/pids
  echo "$name $!" >> run/processes
}

control_peers() {
  for i in 1 2 3; do printf '{"name":"control-%d","peer":"%s","operator":"%s"}\n' $i "$(address $i)" "$(address $((10 + i)))"; done | paste -sd,
}

start_controls() {
  local centre i=0
  for centre in $(awk '{print $3}' fleet.txt | sort -u | head -3); do
    i=$((i + 1))
    mkdir -p "run/control-$i"
    printf '{"fleet":"%s","name":"control-%d","dataCentre":"%s","dataFolder":"run/control-%d","tokenFile":"run/token","peers":[%s]}\n' \
      "$example" $i "$centre" $i "$(control_peers)" > "run/control-$i.json"
    start "control-$i" control --settings "run/control-$i.json"
  done
}

start_upstreams() {
  local upstream service centre latency i=0
  while read -r upstream service centre latency; do
    i=$((i + 1))
    [ -n "${ONLY:-}" ] && [ "$ONLY" != "$service" ] && continue
    printf '{"fleet":"%s","name":"router-%s","dataCentre":"%s","caller":"%s","announce":"%s","peer":"%s","control":["%s","%s","%s"],"routingPolicy":"%s"}\n' \
      "$example" "$upstream" "$centre" "$(address $((100 + i)))" "$(address $((200 + i)))" "$(address $((300 + i)))" \
      "$(address 1)" "$(address 2)" "$(address 3)" "${POLICY:-}" > "run/router-$upstream.json"
    echo "$upstream $service $centre $(address $((100 + i))) $(address $((400 + i)))" >> run/addresses
    start "router-$upstream" router --settings "run/router-$upstream.json"
    # shellcheck disable=SC2086
    start "$upstream" standin --name "$upstream" --service "$service" --address "$(address $((400 + i)))" \
      --announce "$(address $((200 + i)))" --slots 10 --connections "$connections" --latency "$latency" \
      --ledger "run/$upstream.ledger" ${STANDIN:-}
  done < fleet.txt
}

ready() {
  local status
  status=$("$bin" status --settings run/operator.json --output json) || return 1
  echo "$status" | grep -q "\"routersUpToDate\": $(wc -l < run/addresses)" && ! echo "$status" | grep -Eq '"free": [1-9]'
}

until_true() {
  for _ in $(seq 200); do
    if "$@" > /dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "gave up waiting for: $*" >&2
  return 1
}

case $verb in
  start)
    stop
    rm -rf run
    mkdir -p run
    head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n' > run/token
    chmod 600 run/token
    case $example in pasaz) connections=130 ;; *) connections=110 ;; esac
    printf '{"name":"%s","control":["%s","%s","%s"],"tokenFile":"run/token"}\n' \
      "$example" "$(address 11)" "$(address 12)" "$(address 13)" > run/operator.json
    start_controls
    start_upstreams
    preset=ordinary.json
    if [ -n "${ONLY:-}" ]; then
      preset=run/only.json
      jq --arg only "$ONLY" '.services |= map(select(.name == $only))' ordinary.json > "$preset"
    fi
    until_true "$bin" preset --settings run/operator.json apply "$preset"
    until_true ready
    ;;
  stop) stop ;;
  *) echo "usage: scripts/fleet.sh start|stop EXAMPLE" >&2; exit 2 ;;
esac
