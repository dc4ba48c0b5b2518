#!/usr/bin/env bash
# Runs days with one mechanism switched off at a time, paired with the same day with all mechanisms,
# and prints the contribution of each mechanism.
# usage: ablation.sh COMMAND OUT_DIR DEPLOYMENTS DAYS SEEDS [SWITCH...]
#   COMMAND      runs one day; started by bash with TEMPLATE (the settings template to use),
#                DEPLOYMENT, DAY and SEED in its environment. The last line of its output is the
#                day's worth and nothing else. It must use existing builds.
#   OUT_DIR      receives the templates, and worths.tsv: switch, deployment, day, seed, worth. An
#                interrupted run resumes from there and repeats no day.
#   DEPLOYMENTS, DAYS, SEEDS   separated by commas
#   SWITCH       keys to switch off (default: each switch of docs/settings.md)
# Spread is the standard deviation of the differences over the pairs, not the standard error of
# their mean. The exit code is 1 if a day could not be run; its pairs are left out.
set -euo pipefail
if [ "$#" -lt 5 ]; then
  sed -n '4s/^# //p' "$0" >&2
  exit 2
fi
root=$(cd "$(dirname "$0")/.." && pwd)
template=$root/deploy/settings.template
command=$1
out=$2
IFS=, read -ra deployments <<<"$3"
IFS=, read -ra days <<<"$4"
IFS=, read -ra seeds <<<"$5"
shift 5
switches=("$@")
if [ "$#" -eq 0 ]; then
  # shellcheck disable=SC2016  # backquotes of Markdown
  mapfile -t switches < <(sed -n 's/^| `\([a-z_.]*\)` | switch |.*/\1/p' "$root/docs/settings.md")
fi
mkdir -p "$out"
out=$(cd "$out" && pwd)
worths=$out/worths.tsv
touch "$worths"

templateWithout() { # key
  awk -v section="${1%%.*}:" -v word="${1#*.}:" '
    /^[a-z]/ { current = $1 }
    !(current == section && $1 == word)' "$out/none.template"
  printf '%s:\n  %s: off\n' "${1%%.*}" "${1#*.}"
}

writeTemplates() {
  if ! [ -e "$out/none.template" ]; then
    # An interrupted command may have left its own template in place of this one.
    if grep -Eq '^ +[a-z_]+: off$' "$template"; then
      echo "$template switches something off already" >&2
      exit 2
    fi
    cp "$template" "$out/none.template"
  fi
  for switch in "${switches[@]}"; do
    templateWithout "$switch" >"$out/$switch.template"
  done
}

play() { # switch, deployment, day, seed
  local row worth
  row=$(printf '%s\t%s\t%s\t%s' "$@")
  if cut -f 1-4 "$worths" | grep -Fqx -- "$row"; then
    return 0
  fi
  worth=$(TEMPLATE=$out/$1.template DEPLOYMENT=$2 DAY=$3 SEED=$4 bash -c "$command" </dev/null | tail -n 1) || worth=
  if ! [[ $worth =~ ^-?[0-9]+(\.[0-9]+)?$ ]]; then
    echo "not played: without $1, $2, $3, seed $4" >&2
    return 1
  fi
  printf '%s\t%s\n' "$row" "$worth" >>"$worths"
}

printTable() {
  awk -F '\t' '
    { key = $2 FS $3 FS $4 }
    $1 == "none" { whole[key] = $5; sum["none"] += $5; pairs["none"]++; next }
    { without[$1, key] = $5; keys[key]; if (!seen[$1]++) order[++count] = $1 }
    END {
      print "| without | pairs | mean worth | difference | spread |"
      print "|---|---|---|---|---|"
      if (pairs["none"]) printf "| none | %d | %.3f | | |\n", pairs["none"], sum["none"] / pairs["none"]
      for (i = 1; i <= count; i++) {
        name = order[i]; n = worth = total = squares = 0
        for (key in keys) if (((name, key) in without) && (key in whole)) {
          difference = without[name, key] - whole[key]
          n++; worth += without[name, key]; total += difference; squares += difference ^ 2
        }
        if (!n) continue
        variance = squares / n - (total / n) ^ 2
        printf "| %s | %d | %.3f | %.3f | %.3f |\n", name, n, worth / n, total / n, sqrt(variance > 0 ? variance : 0)
      }
    }' "$worths"
}

writeTemplates
missing=0
for deployment in "${deployments[@]}"; do
  for day in "${days[@]}"; do
    for seed in "${seeds[@]}"; do
      for switch in none "${switches[@]}"; do
        play "$switch" "$deployment" "$day" "$seed" || missing=1
      done
    done
  done
done
printTable
exit "$missing"
