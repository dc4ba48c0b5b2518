#!/usr/bin/env bash
# Tests scripts/ablation.sh with a fake day command: the daemon accepts the settings of each
# template, the table shows the days that were run, and an interrupted run resumes.
# usage: ablation_test.sh SOURCE_DIR DAEMON
set -euo pipefail
source_dir=$1
export DAEMON=$2
scratch=$(mktemp -d)
export scratch
trap 'rm -rf "$scratch"' EXIT

fail() {
  printf '%s\n' "$*" >&2
  exit 1
}

# Fake day command: prints a worth of 0.5 for day "a" and 0.7 for day "b", less 0.1 and 0.3 without
# learnt prompt speeds. Day "b" fails while the file "broken" exists.
playMadeUpDay() {
  sed -e 's/{{seeds}}//; s/{{region}}/dobrogea/; s/{{node_name}}/m1/; s/{{limits.link_mbps}}/1000/' \
    -e 's/{{listen_addrs.control}}/127.0.1.1:7000/; s/{{listen_addrs.front}}/127.0.1.1:8080/' \
    -e 's/{{listen_addrs.readiness}}/127.0.1.1:8081/; s/{{platform.address}}/127.0.0.1:9000/' \
    -e '/{{[#\/]limits.memory_mb/d; s/{{limits.memory_mb}}/260/' \
    -e '/{{#cloud_api/,/{{\/cloud_api/d' -e '/{{[#\/]bounds/d; s/{{bounds.budget_ratio}}/0.2/; s/{{bounds.budget_slack}}/54/' \
    -e 's/{{bounds.budget_window_s}}/10/; s/{{#zones}}{{@}}.*{{\/zones}}/hall-a\/dobrogea/; s/{{#zones}}.*{{\/zones}}/dobrogea/' \
    "$TEMPLATE" >"$scratch/settings.yaml"
  "$DAEMON" --settings "$scratch/settings.yaml" --check_settings >"$scratch/check" 2>&1 ||
    { cat "$scratch/check" >&2; return 1; }
  echo "$TEMPLATE $DEPLOYMENT $DAY $SEED" >>"$scratch/played"
  if [ "$DAY" = b ] && [ -e "$scratch/broken" ]; then
    return 1
  fi
  local worth=0.5
  [ "$DAY" = b ] && worth=0.7
  if grep -q '^  learnt_prompt_speeds: off$' "$TEMPLATE"; then
    worth=0.4
  fi
  printf 'some words\n%s\n' "$worth"
}
export -f playMadeUpDay

ablation() { # days, switches...
  local days=$1
  shift
  "$source_dir/scripts/ablation.sh" playMadeUpDay "$scratch/out" one.toml,two.toml "$days" 1,2 "$@"
}
expectRow() {
  grep -Fqx -- "$1" "$scratch/table" || fail "no row $1 in:" "$(cat "$scratch/table")"
}
expectPlayed() {
  local played
  played=$(wc -l <"$scratch/played")
  [ "$played" -eq "$1" ] || fail "$played days were run, $1 expected"
}

# The templates cover every switch of the settings page exactly once.
ablation a >"$scratch/table"
switches=$(grep -c '| switch |' "$source_dir/docs/settings.md")
[ "$switches" -ge 10 ] || fail "only $switches switches on the settings page"
expectPlayed $((4 * (switches + 1)))
expectRow '| none | 4 | 0.500 | | |'
expectRow '| mechanisms.learnt_prompt_speeds | 4 | 0.400 | -0.100 | 0.000 |'
expectRow '| planning.automatic_roles | 4 | 0.500 | 0.000 | 0.000 |'
[ "$(grep -c ': off$' "$scratch/out/planning.automatic_roles.template")" -eq 1 ] || fail "not off once"
grep -q 'automatic_roles: on' "$scratch/out/planning.automatic_roles.template" && fail "on and off"

# Failed days are reported, left out, and run again by the next run, which runs no other day.
: >"$scratch/played"
touch "$scratch/broken"
ablation a,b mechanisms.learnt_prompt_speeds >"$scratch/table" 2>"$scratch/errors" && fail "no failure reported"
expectPlayed 8
grep -Fqx 'not played: without none, one.toml, b, seed 1' "$scratch/errors" || fail "failed day not reported"
expectRow '| mechanisms.learnt_prompt_speeds | 4 | 0.400 | -0.100 | 0.000 |'
rm "$scratch/broken"
ablation a,b mechanisms.learnt_prompt_speeds >"$scratch/table"
expectPlayed 16
expectRow '| none | 8 | 0.600 | | |'
expectRow '| mechanisms.learnt_prompt_speeds | 8 | 0.400 | -0.200 | 0.100 |'
echo OK
