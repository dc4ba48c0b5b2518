#!/usr/bin/env bash
# Measures the cost of control: one real daemon of the first zone, with real engine stand-ins, beside
# hollow nodes of all zones that share one process.
# usage: scale.sh BUILD_DIR ZONES NODES_PER_ZONE RUNNERS_PER_ZONE [cypresswall-bench scale flags...]
#   RATE=R    requests a second that the engines get meanwhile, asked directly (default 0: idle)
#   WRAP=...  command before the daemon's, such as "valgrind --tool=callgrind"
# Last it prints the daemon's counters of bytes and of engine reads, from its start.
set -euo pipefail
bin=${1:?usage: scale.sh BUILD_DIR ZONES NODES_PER_ZONE RUNNERS_PER_ZONE [flags]}/bin
zones=$2
nodes=$3
runners=$4
shift 4
platform=127.3.3.3:8000
node=127.1.0.1
seeds=$node:7700
for ((number = 2; number <= nodes && number <= 3; ++number)); do
  seeds+=,127.1.0.$number:7700
done
for ((zone = 1; zone < zones; ++zone)); do
  seeds+=,zone-$zone/region-$((zone % 2))@127.1.$zone.1:7700
done
engines=
for ((runner = 0; runner < runners; ++runner)); do
  engines+=${engines:+,}127.2.0.$((1 + runner / 200)):$((20000 + runner % 200))
done
logs=$(mktemp -d)
pids=()
stop_all() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$logs"
}
trap stop_all EXIT
"$bin/cypresswall-platform-standin" --address "$platform" >"$logs/platform.log" 2>&1 &
pids+=($!)
"$bin/cypresswall-engine-standin" --addresses "$engines" --model model-0 >"$logs/engines.log" 2>&1 &
pids+=($!)
# shellcheck disable=SC2086  # several words on purpose
${WRAP:-} "$bin/cypresswalld" --node_zone zone-0 --node_region region-0 --node_machine machine-0 \
  --node_peer_address "$node:7700" --node_gateway_address "$node:7780" --seeds "$seeds" \
  --platform_object_api "$platform" --platform_machine_list "$platform" >"$logs/node.log" 2>&1 &
real=$!
pids+=("$real")
if [ "${RATE:-0}" != 0 ]; then
  "$bin/cypresswall-bench" load --direct "$engines" --model model-0 --rate "$RATE" \
    --duration "${LOAD_SECONDS:-60}" --mix chat:1:1500:200 >"$logs/load.log" 2>&1 &
  pids+=($!)
fi
"$bin/cypresswall-bench" scale --platform "$platform" --zones "$zones" --nodes_per_zone "$nodes" \
  --runners_per_zone "$runners" --real_nodes 1 --real_pids "$real" "$@"
curl -s "http://$node:7780/metrics" |
  grep -E '^cypresswall_(transport_(sent|received)_bytes|engine_(cache_)?polls|engine_deltas_sent_bytes)' >&2
