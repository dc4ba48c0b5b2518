#!/usr/bin/env bash
# Fails if a folder of src/cypresswall includes headers of a folder that isn't in a lower layer,
# unless the pair is listed as a known exception. Also fails for a listed pair that no longer
# exists, so that the list only shrinks, and for a folder without a layer. Prints the remaining
# exceptions.
# usage: check-layers.sh [FOLDER]      (default: src/cypresswall)
set -euo pipefail
cd "$(dirname "$0")/.."
sources=${1:-src/cypresswall}

# From top to bottom; folders on one line don't include each other. CONTRIBUTING.md describes the
# order. Only folders that emulate external systems are above the node.
layers=(
  "simulation"
  "emulation"
  "settings"
  "node"
  "surroundings"
  "gateway operators request_trace"
  "forwarding"
  "execution orders autoscaling"
  "admission"
  "routing"
  "planning"
  "engine_speed reachability"
  "configuration"
  "duties"
  "lease fleet_limits quarantine answer_builds availability checkpoint"
  "zone_object"
  "membership"
  "idempotency"
  "object_store engines services store_relay"
  "http runtime"
  "api"
  "common"
)

# Existing upward includes. Never add one: declare an interface in the lower layer instead.
known=(
  "idempotency configuration"
  "idempotency lease"
  "idempotency membership"
  "store_relay membership"
  "surroundings node"
  "surroundings settings"
)

# Prints "FOLDER INCLUDED_FOLDER" for each pair.
importedPairs() {
  grep -rhoE --include='*.h' --include='*.cpp' --with-filename \
      '^ *# *include "cypresswall/[a-z_]+/' "$sources" |
    sed -E "s#^$sources/([^/]+)/.*\"cypresswall/([a-z_]+)/#\\1 \\2#" |
    awk '$1 != $2' | sort -u
}

# Prints "FOLDER LAYER", with layers numbered from the top.
numberedLayers() {
  printf '%s\n' "${layers[@]}" | awk '{ for (i = 1; i <= NF; ++i) print $i, NR }'
}

pairs=$(importedPairs)
if [ -z "$pairs" ]; then
  echo "layers: no imports found below $sources" >&2
  exit 1
fi
folders=$(find "$sources" -mindepth 1 -maxdepth 1 -type d -printf '%f\n' | sort)
unplaced=$(comm -23 <(echo "$folders") <(numberedLayers | cut -d ' ' -f 1 | sort))
upward=$(awk 'NR == FNR { number[$1] = $2; next } number[$1] >= number[$2]' \
  <(numberedLayers) <(echo "$pairs"))
listed=$(printf '%s\n' "${known[@]}" | sort)
added=$(comm -13 <(echo "$listed") <(echo "$upward" | sort))
gone=$(comm -23 <(echo "$listed") <(echo "$upward" | sort))

status=0
complain() { # what is wrong, lines
  if [ -n "$2" ]; then
    printf '%s\n' "$2" | sed "s/^/layers: $1: /" >&2
    status=1
  fi
}
complain "folder without a layer" "$unplaced"
complain "imports upwards or sideways" "${added// / -> }"
complain "known, but gone; take it off the list" "${gone// / -> }"
printf '%s\n' "${listed// / -> }" | sed 's/^/layers: known, goes upwards: /'
if [ "$status" = 0 ]; then
  echo "layers: no other import goes upwards (${#known[@]} known)"
fi
exit "$status"
