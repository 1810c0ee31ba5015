# Functions that run a fleet on loopback for a measurement. Sourced by the *-cost.sh
# scripts and unavailable-time.sh; needs bash and awk, and ss for idle-cost.sh.
set -euo pipefail
bin=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/bin/endivespring
base_port=${BASE_PORT:-21000}
declare -A pid=()

# port N prints the address of the N-th port above base_port.
port() { echo "127.0.0.1:$((base_port + $1))"; }

# launch NAME ARGUMENT... starts a process in the background.
launch() {
  local name=$1
  shift
  "$bin" "$@" >> "$name.log" 2>&1 &
  pid[$name]=$!
}

# kill_process NAME kills a process (SIGKILL).
kill_process() {
  kill -9 "${pid[$1]}" 2> /dev/null || true
  wait "${pid[$1]}" 2> /dev/null || true
}

fleet_stop() {
  local name
  for name in "${!pid[@]}"; do kill_process "$name"; done
  cd /
  rm -rf "$fleet_dir"
}

# fleet_start ROUTERS SERVICE SHARDS DEADLINE [FLAG...] starts three control processes
# and ROUTERS routers, each beside a stand-in, and applies a preset with one keyed
# service. The flags go to each stand-in. The fleet stops when the script exits.
fleet_start() {
  routers=$1
  local service=$2 shards=$3 deadline=$4 i r b
  shift 4
  standin_flags=("$@")
  fleet_dir=$(mktemp -d)
  trap fleet_stop EXIT
  cd "$fleet_dir"
  echo token > token
  chmod 600 token
  mkdir control-1 control-2 control-3
  local peers='' control='' operators=''
  for i in 1 2 3; do
    peers+="${peers:+,}{\"name\":\"control-$i\",\"peer\":\"$(port "$i")\",\"operator\":\"$(port $((10 + i)))\"}"
    control+="${control:+,}\"$(port "$i")\""
    operators+="${operators:+,}\"$(port $((10 + i)))\""
  done
  echo "{\"name\":\"measure\",\"control\":[$operators],\"tokenFile\":\"token\"}" > operator.json
  for i in 1 2 3; do
    echo "{\"fleet\":\"measure\",\"name\":\"control-$i\",\"dataCentre\":\"a\",\"dataFolder\":\"control-$i\",\"tokenFile\":\"token\",\"peers\":[$peers]}" > "control-$i.json"
    start_control "$i"
  done
  for r in $(seq "$routers"); do
    b=$((100 + 4 * r))
    echo "{\"fleet\":\"measure\",\"name\":\"router-$r\",\"dataCentre\":\"a\",\"caller\":\"$(port $b)\",\"announce\":\"$(port $((b + 1)))\",\"peer\":\"$(port $((b + 2)))\",\"control\":[$control]}" > "router-$r.json"
    start_router "$r"
    launch "u$r" standin --name "u$r" --service "$service" --address "$(port $((b + 3)))" --announce "$(port $((b + 1)))" "${standin_flags[@]}"
  done
  echo "{\"name\":\"ordinary\",\"services\":[{\"name\":\"$service\",\"keyed\":true,\"shards\":$shards,\"operations\":[{\"name\":\"lookup\",\"idempotent\":true,\"deadline\":\"$deadline\"}]}]}" > ordinary.json
  until_true "$bin" preset apply ordinary.json
  until_true settled
}

start_control() { launch "control-$1" control --settings "control-$1.json"; }
start_router() { launch "router-$1" router --settings "router-$1.json"; }

# caller N prints the caller address of router N.
caller() { port $((100 + 4 * $1)); }

# settled succeeds once every router is up to date and every shard is granted.
settled() {
  local status
  status=$("$bin" status --output json) || return 1
  grep -q "\"routersUpToDate\": $routers," <<< "$status" && ! grep -Eq '"(free|revoking)": [1-9]' <<< "$status"
}

# leader prints the name of the leader of control.
leader() { "$bin" status --output json | grep -o '"leader": "[^"]*"' | cut -d'"' -f4; }

# until_true COMMAND... repeats a command until it succeeds, for at most 30 s plus the
# command's own time.
until_true() {
  local i
  for i in $(seq 300); do
    if "$@" > /dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "gave up waiting for: $*" >&2
  return 1
}
