#!/usr/bin/env bash
# Runs the tests with real processes under faults again and again, and prints what happened.
# usage: soak.sh BUILD_DIR MINUTES
set -euo pipefail
build_dir=${1:?usage: soak.sh BUILD_DIR MINUTES}
minutes=${2:?usage: soak.sh BUILD_DIR MINUTES}
deadline=$((SECONDS + minutes * 60))
ledger=$(mktemp)
trap 'rm -f "$ledger"' EXIT
rounds=0
failed=0
while [ "$SECONDS" -lt "$deadline" ]; do
  rounds=$((rounds + 1))
  "$build_dir/tests/process_test" >"$ledger.round" 2>&1 || failed=$((failed + 1))
  grep -o '[a-z-]*: streams whole=.*' "$ledger.round" | tee -a "$ledger" || true
  rm -f "$ledger.round"
done
awk -v rounds="$rounds" -v failed="$failed" '
  { for (i = 2; i <= NF; ++i) { split($i, pair, "="); if (pair[2] != "") sum[pair[1]] += pair[2] } }
  END {
    printf "soak: rounds=%d failed_rounds=%d streams_whole=%d streams_failed=%d streams_broken=%d ", rounds, failed, sum["whole"], sum["failed"], sum["broken"]
    printf "streams_refused=%d bookings_done=%d not_run=%d unknown=%d violations=%d\n", sum["refused"], sum["done"], sum["not_run"], sum["unknown"], sum["violations"]
  }' "$ledger"
[ "$failed" -eq 0 ]
