#!/usr/bin/env bash
# Runs an example deployment on loopback as separate processes: an emulator of
# the platform, four emulated engines, an emulated service and three nodes.
#
#   scripts/local.sh start [satamavirta|ortaktirnak|users-platform]
#   scripts/local.sh status
#   scripts/local.sh stop
#
# users-platform starts an emulator of the users' platform instead, with the
# roles on it: four stores and two fronts.
#
# The process ids and start times are recorded in run/. The start times ensure
# that stop does not signal another process if the system has reused an id.
# Logs are written to run/ as well.
set -Eeuo pipefail
cd "$(dirname "$0")/.."

node_stop_s=130   # the longest drain_timeout_ms of the examples plus a margin
emulator_stop_s=5

# Prints the start time of a process in clock ticks since boot, or nothing if
# there is no such process.
start_time() {
  sed 's/^.*) //' "/proc/$1/stat" 2>/dev/null | cut -d' ' -f20 || true
}

# Starts a process and records its id and start time: launch NAME ARGUMENT...
launch() {
  local name=$1
  shift
  bin/dogwoodline "$@" >"run/$name.log" 2>&1 </dev/null &
  echo "$! $(start_time $!)" >"run/$name.id"
  echo "$name: process $!"
}

# Prints the id of a process that launch started. Fails if it no longer runs:
# running_pid NAME
running_pid() {
  local pid started
  read -r pid started <"run/$1.id" || return 1
  [ -n "$started" ] && [ "$(start_time "$pid")" = "$started" ] || return 1
  # A zombie process has exited, but its parent has not waited for it yet.
  [ "$(sed 's/^.*) //' "/proc/$pid/stat" | cut -c1)" != Z ] || return 1
  echo "$pid"
}

# Sends SIGTERM to the named processes, waits for them to exit, and kills those
# that run longer: terminate SECONDS NAME...
terminate() {
  local seconds=$1 name pid
  shift
  for name in "$@"; do
    if pid=$(running_pid "$name"); then kill -TERM "$pid" 2>/dev/null || true; fi
  done
  for name in "$@"; do
    for _ in $(seq $((seconds * 10))); do
      running_pid "$name" >/dev/null || break
      sleep 0.1
    done
    if pid=$(running_pid "$name"); then
      echo "$name did not stop in $seconds s, killed" >&2
      kill -KILL "$pid" 2>/dev/null || true
    fi
    rm -f "run/$name.id"
  done
}

# Lists the names of the recorded processes that match: process_names PATTERN
process_names() {
  local file
  for file in run/$1.id; do
    [ ! -e "$file" ] || basename "$file" .id
  done
}

stop() {
  # The nodes and fronts are stopped first, because nodes need the platform to
  # hand over their programs.
  # shellcheck disable=SC2046
  terminate "$node_stop_s" $(process_names 'node-*') $(process_names 'front-*')
  # shellcheck disable=SC2046
  terminate "$emulator_stop_s" $(process_names '*')
}

start() {
  local example=examples/$1 node port=7301
  [ -d "$example" ] || { echo "unknown example: $1" >&2; exit 2; }
  mkdir -p run bin
  [ -z "$(process_names '*')" ] || { echo "already started, see scripts/local.sh status" >&2; exit 1; }
  go build -o bin/dogwoodline ./cmd/dogwoodline
  trap 'stop' ERR
  launch platform emulate platform --listen 127.0.0.1:7001 --admin 127.0.0.1:7002 --hosts "$example/hosts.toml"
  for engine in engine-1 engine-2 engine-3 engine-4; do
    launch "$engine" emulate engine --name "$engine" --listen "127.0.0.1:$port"
    port=$((port + 1))
  done
  launch service emulate service --listen 127.0.0.1:7401 --lookup
  for node in node-a1 node-b1 node-c1; do
    launch "$node" node --settings "$example/$node.toml"
  done
  export DOGWOODLINE_NODES=http://127.0.0.1:7101,http://127.0.0.1:7102,http://127.0.0.1:7103
  export DOGWOODLINE_OPERATOR_KEY=$1-operator-example
  apply_resources "$example/resources.toml"
  trap - ERR
  echo "ready; use: export DOGWOODLINE_NODES=$DOGWOODLINE_NODES DOGWOODLINE_OPERATOR_KEY=$DOGWOODLINE_OPERATOR_KEY"
}

# Starts the emulator of the users' platform and the roles on it.
start_roles() {
  local host
  mkdir -p run bin
  [ -z "$(process_names '*')" ] || { echo "already started, see scripts/local.sh status" >&2; exit 1; }
  go build -o bin/dogwoodline ./cmd/dogwoodline
  trap 'stop' ERR
  launch users-platform emulate users-platform --hosts run/hosts
  for _ in $(seq 100); do
    [ ! -e run/hosts/front-2.toml ] || break
    sleep 0.1
  done
  for host in store-1 store-2 store-3 store-4 front-1 front-2; do
    DOGWOODLINE_BOOT=run/hosts/$host.toml launch "$host" "${host%-*}"
  done
  for _ in $(seq 100); do
    if curl -fs http://127.0.4.1:8141/ready && curl -fs http://127.0.4.2:8141/ready; then break; fi
    sleep 0.1
  done
  trap - ERR
  echo "ready; try a turn and one that continues it at the other front:"
  echo "  curl -N http://127.0.4.1:8149/turns/x -H 'Host: site.example' -H 'X-Request-Id: t1' -H 'X-Token-Count: 10,25' -d one"
  echo "  curl -N http://127.0.4.2:8149/turns/x -H 'Host: site.example' -H 'X-Request-Id: t2' -H 'X-Token-Count: 10,25' -H 'X-Previous-Turn: t1' -d two"
}

# Applies a file of resources as soon as a node answers: apply_resources FILE
apply_resources() {
  local code
  for _ in $(seq 100); do
    code=0
    bin/dogwoodline apply -f "$1" >run/apply.log 2>&1 || code=$?
    [ "$code" = 5 ] || break # exit status 5: no node answers yet
    running_pid node-a1 >/dev/null || break
    sleep 0.1
  done
  cat run/apply.log
  return "$code"
}

status() {
  local name pid
  for name in $(process_names '*'); do
    if pid=$(running_pid "$name"); then echo "$name: process $pid"; else echo "$name: ended"; fi
  done
}

case ${1:-} in
start) if [ "${2:-}" = users-platform ]; then start_roles; else start "${2:-satamavirta}"; fi ;;
stop) stop ;;
status) status ;;
*)
  sed -n '2,15s/^# \{0,1\}//p' "$0"
  exit 2
  ;;
esac
