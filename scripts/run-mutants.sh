#!/usr/bin/env bash
# Mutation testing: applies each patch of tests/mutants/, one at a time, to a scratch copy of the
# sources, rebuilds, and runs the test that the patch names, which must fail. Prints a table; the
# exit code is 0 only if every mutant was killed.
#
# usage: run-mutants.sh [patch...]     (default: tests/mutants/*.patch)
#   MUTANT_JOBS   compile jobs (default 6)
#   MUTANT_LIMIT  seconds that one test may take (default 300)
#
# The first line of a patch is: # invariant: INV-x; test: <ctest name> [suite or suite::test]
set -euo pipefail
cd "$(dirname "$0")/.."
source_dir=$PWD
jobs=${MUTANT_JOBS:-6}
limit=${MUTANT_LIMIT:-300}
if [ "$#" -gt 0 ]; then
  patches=("$@")
else
  patches=("$source_dir"/tests/mutants/*.patch)
fi

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
# Same layout as a working copy, so that the compiler cache hits.
copy=$scratch/copy
build=$copy/build
mkdir -p "$copy"
git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$copy" 2>/dev/null || true
export CCACHE_BASEDIR=$copy CCACHE_NOHASHDIR=1 CYPRESSWALL_NO_SHRINK=1
cmake -S "$copy" -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release >"$scratch/configure.log" 2>&1 ||
  { cat "$scratch/configure.log"; exit 1; }

headerField() { # patch, field name
  sed -n "1s/.*$2: *\([^;]*\).*/\1/p" "$1"
}
buildTest() { ninja -C "$build" -j "$jobs" "$1" >"$scratch/build.log" 2>&1; }
runTest() { # test program, suite
  (cd "$build" && timeout "$limit" "$build/tests/$1" ${2:+"$2"} >"$scratch/test.log" 2>&1)
}

declare -A baseline
checkBaseline() { # test program, suite; fails if the test fails on the unmodified sources
  local key="$1 $2"
  if [ -z "${baseline[$key]:-}" ]; then
    if buildTest "$1" && runTest "$1" "$2"; then
      baseline[$key]=passes
    else
      baseline[$key]=fails
      tail -5 "$scratch/build.log" "$scratch/test.log" >&2 || true
    fi
  fi
  [ "${baseline[$key]}" = passes ]
}

tryMutant() { # patch, test program, suite; sets verdict
  if ! (cd "$copy" && git apply --recount "$1" 2>"$scratch/apply.log"); then
    verdict="DOES NOT APPLY"
    return
  fi
  if ! buildTest "$2"; then
    verdict="DOES NOT BUILD"
    grep -m 3 'error' "$scratch/build.log" >&2 || true
  else
    local code=0
    runTest "$2" "$3" || code=$?
    case $code in
      0) verdict="SURVIVED" ;;
      1) verdict="killed" ;;
      124) verdict="killed (no end in ${limit} s)" ;;
      *) verdict="killed (signal, code $code)" ;;
    esac
  fi
  (cd "$copy" && git apply --recount -R "$1")
}

failed=0
rows=()
for patch in "${patches[@]}"; do
  patch=$(realpath "$patch")
  name=$(basename "$patch" .patch)
  invariant=$(headerField "$patch" invariant)
  read -r test suite <<<"$(headerField "$patch" test)"
  started=$SECONDS
  if [ -z "$invariant" ] || [ -z "$test" ]; then
    verdict="NO HEADER LINE"
  elif ! checkBaseline "$test" "${suite:-}"; then
    verdict="TEST FAILS WITHOUT IT"
  else
    tryMutant "$patch" "$test" "${suite:-}"
  fi
  case $verdict in killed*) ;; *) failed=$((failed + 1)) ;; esac
  rows+=("$invariant|$name|$test ${suite:-}|$verdict|$((SECONDS - started)) s")
  printf '%-8s %-44s %s\n' "$invariant" "$name" "$verdict" >&2
done

{
  echo "invariant|mutant|test|result|time"
  printf '%s\n' "${rows[@]}"
} | column -t -s '|'
echo "${#patches[@]} mutants, $((${#patches[@]} - failed)) killed, $failed not"
[ "$failed" -eq 0 ]
