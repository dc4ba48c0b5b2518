#!/usr/bin/env bash
# Starts a complete fleet on loopback, serves requests, changes a role under load, and stops
# cleanly.
# usage: demo.sh BUILD_DIR [portavia|hinokuni]
# Exits with 0 only if every step succeeded. On failure, the logs are kept in a folder of their own.
set -euo pipefail
cd "$(dirname "$0")/.."

build_dir=${1:?usage: demo.sh BUILD_DIR [portavia|hinokuni]}
deployment=${2:-portavia}
bin=$build_dir/bin
platform=127.0.0.2:8000
nodes_per_zone=3

case $deployment in
  portavia)
    region=dobrogea
    zones=(constanta navodari medgidia mangalia)
    engines_per_zone=3
    model=dispatch-lm
    adapter=customs-status
    long_service=container-summary
    short_service="status-classification"
    http_service=portal
    once_path=/customs-status
    tenant_key=portavia-dispatchers
    ;;
  hinokuni)
    region=kyushu
    zones=(fukuoka kumamoto kagoshima)
    engines_per_zone=6
    model=donor-chat-lm
    adapter=opening-hours
    long_service=eligibility-reply
    short_service=opening-hours
    http_service=booking
    once_path=/bookings
    tenant_key=hinokuni-donors
    ;;
  *)
    echo "demo: unknown deployment $deployment (portavia or hinokuni)" >&2
    exit 2
    ;;
esac

logs=$(mktemp -d)
standin_pids=()
daemon_pids=()
load_pid=

stop_all() {
  local status=$?
  trap - EXIT INT TERM
  for pid in $load_pid "${daemon_pids[@]}" "${standin_pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ "$status" -eq 0 ]; then
    rm -rf "$logs"
  else
    echo "demo: failed with status $status; logs are in $logs" >&2
  fi
  exit "$status"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

say() { printf '\n== %s\n' "$*"; }
fail() {
  echo "demo: $*" >&2
  exit 1
}

# HTTP calls to the demo's own processes, with retries until they are up.
fetch() {
  curl --silent --show-error --fail --max-time 10 --retry 60 --retry-delay 1 --retry-max-time 60 \
    --retry-all-errors "$@" 2>>"$logs/fetch.log"
}

# start NAME PROGRAM ARGUMENTS...: runs a program in the background; $! is its process id.
start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
}

add_machine() {
  fetch -X POST "http://$platform/admin/machines" \
    -d "{\"name\":\"$1\",\"zone\":\"$2\",\"addresses\":[\"$3\"],\"at_once\":true}"
}

# join_by_comma WORD...
join_by_comma() {
  local IFS=,
  echo "$*"
}

say "Starting the platform, the engines and the service of $deployment"
start platform "$bin/cypresswall-platform-standin" --address "$platform"
standin_pids+=($!)
backends=()
all_engines=()
for index in "${!zones[@]}"; do
  zone=${zones[$index]}
  net=127.0.$((index + 1))
  engines=()
  for number in $(seq "$engines_per_zone"); do
    engines+=("$net.$((100 + number)):8001")
    add_machine "$zone-accelerator-$number" "$zone" "$net.$((100 + number))"
  done
  start "engines-$zone" "$bin/cypresswall-engine-standin" --platform "$platform" \
    --addresses "$(join_by_comma "${engines[@]}")" --model "$model" --adapters "$adapter"
  standin_pids+=($!)
  all_engines+=("${engines[@]}")
  backends+=("$net.201:8100")
  add_machine "$zone-web-1" "$zone" "$net.201"
done
start service "$bin/cypresswall-service-standin" --name "$http_service" \
  --addresses "$(join_by_comma "${backends[@]}")"
standin_pids+=($!)

say "Starting $nodes_per_zone daemons in each of ${#zones[@]} zones"
gateways=()
seeds=()
for index in "${!zones[@]}"; do
  seeds+=("${zones[$index]}/$region@127.0.$((index + 1)).11:7000")
done
for index in "${!zones[@]}"; do
  zone=${zones[$index]}
  net=127.0.$((index + 1))
  own_seeds=()
  for number in $(seq "$nodes_per_zone"); do
    own_seeds+=("$net.$((10 + number)):7000")
  done
  for number in $(seq "$nodes_per_zone"); do
    address=$net.$((10 + number))
    add_machine "$zone-node-$number" "$zone" "$address"
    other_seeds=("${seeds[@]}")
    unset "other_seeds[$index]"
    start "$zone-node-$number" "$bin/cypresswalld" --node_zone "$zone" --node_region "$region" \
      --node_machine "$zone-node-$number" --node_peer_address "$address:7000" \
      --node_gateway_address "$address:8080" \
      --seeds "$(join_by_comma "${own_seeds[@]}" "${other_seeds[@]}")" \
      --platform_object_api "$platform" --platform_machine_list "$platform"
    daemon_pids+=($!)
    gateways+=("$address:8080")
  done
done
for gateway in "${gateways[@]}"; do
  fetch "http://$gateway/readyz" >/dev/null || fail "$gateway does not become ready"
done
for pid in "${standin_pids[@]}" "${daemon_pids[@]}"; do
  kill -0 "$pid" 2>/dev/null || fail "a process ended at once: $(grep -h error "$logs"/*.log | head -1)"
done
echo "${#gateways[@]} daemons are ready"

control() { "$bin/cypressctl" --server "$(join_by_comma "${gateways[@]}")" "$@"; }

say "Applying examples/$deployment.yaml"
# Zones refuse a change until they have discovered each other, which takes seconds.
applied=
for _ in $(seq 30); do
  if control apply -f "examples/$deployment.yaml" --wait; then
    applied=yes
    break
  fi
  sleep 1
done
[ -n "$applied" ] || fail "the example was not accepted"

# stream SERVICE MAXIMUM_TOKENS PROMPT_FILE: streams one answer to the terminal.
stream() {
  printf '{"model":"%s","max_tokens":%s,"stream":true,"messages":[{"role":"user","content":"%s"}]}' \
    "$1" "$2" "$(cat "$3")" >"$logs/request.json"
  curl --silent --show-error --no-buffer --max-time 60 --retry 20 --retry-delay 1 --fail \
    -H "Authorization: Bearer $tenant_key" -H 'Content-Type: application/json' \
    "http://${gateways[0]}/v1/chat/completions" --data-binary "@$logs/request.json" |
    tee "$logs/answer.txt" | sed -un 's/.*"content":"\([^"]*\)".*/\1/p' | tr -d '\n'
  echo
  grep -q '^data: \[DONE\]' "$logs/answer.txt" || fail "the answer of $1 has no end"
}

say "A long prompt and a short answer ($long_service)"
for line in $(seq 400); do
  printf 'event %s: container %s passed gate %s, seal intact, weight as declared; ' \
    "$line" "$((line * 7919 % 10007))" "$((line % 9 + 1))"
done >"$logs/long-prompt.txt"
stream "$long_service" 60 "$logs/long-prompt.txt"

say "A short prompt and a short answer ($short_service)"
printf 'Status line 42: released after inspection' >"$logs/short-prompt.txt"
stream "$short_service" 12 "$logs/short-prompt.txt"

say "show engines"
control show engines

changed=${zones[0]}-runner-1
changed_address=127.0.1.101:8001
say "Changing the role of $changed to decode, under load"
"$bin/cypresswall-bench" load --gateway "$(join_by_comma "${gateways[@]}")" --model "$model" \
  --api_key "$tenant_key" --rate 20 --duration 15 --drain 30 \
  --mix "long:0.2:3000:60:$long_service" --require_whole \
  --json "$logs/load.json" >"$logs/load.log" 2>&1 &
load_pid=$!
control pin engine "$changed" role decode --wait
for _ in $(seq 60); do
  role=$(fetch "http://$changed_address/v1/load" | sed -n 's/.*"role":"\([a-z]*\)".*/\1/p')
  [ "$role" = decode ] && break
  sleep 0.5
done
[ "$role" = decode ] || fail "$changed is still in the role $role"
echo "$changed is in the role decode"
wait "$load_pid" || { cat "$logs/load.log" >&2; fail "an answer of the load was not whole"; }
load_pid=
head -1 "$logs/load.log"
grep '^gateway' "$logs/load.log"
for engine in "${all_engines[@]}"; do
  fetch "http://$engine/admin/ledger" >"$logs/ledger.json"
  grep -q '"streams_cut_by_order":0' "$logs/ledger.json" || fail "$engine cut a stream"
done
echo "no engine cut a stream"
control unpin engine "$changed" --wait

say "An operation that may not be repeated ($http_service$once_path)"
# Sent once, without curl's retries.
curl --silent --show-error --max-time 10 -D "$logs/headers.txt" -X POST \
  "http://${gateways[1]}/services/$http_service$once_path" \
  -H "Authorization: Bearer $tenant_key" -H 'Content-Type: application/json' -d '{"demo": 1}'
echo
grep -i '^x-cypresswall-outcome: done' "$logs/headers.txt" || fail "the outcome is not done"
runs=$(fetch "http://${backends[0]}/admin/ledger" |
  grep -o "\"count\":[0-9]*,\"key\":\"[0-9a-f]*\",\"method\":\"POST\",\"path\":\"$once_path\"" |
  cut -d, -f1)
[ "$runs" = '"count":1' ] || fail "the operation ran otherwise than once: $runs"
echo "it ran once"

# stop_processes NAME PID...: SIGTERM to all, then waits for exit code 0 of each.
stop_processes() {
  local name=$1
  shift
  kill -TERM "$@"
  for pid in "$@"; do
    wait "$pid" || fail "a $name ended with status $?"
  done
}

say "Stopping everything"
stop_processes daemon "${daemon_pids[@]}"
daemon_pids=()
stop_processes stand-in "${standin_pids[@]}"
standin_pids=()
echo "all processes ended with exit code 0"
