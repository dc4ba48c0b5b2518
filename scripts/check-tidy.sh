#!/usr/bin/env bash
# Runs clang-tidy over the project's sources with the compile commands of a build folder.
# usage: check-tidy.sh BUILD_DIR [file...]
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=$1
shift
if [ "$#" -eq 0 ]; then
  mapfile -t files < <(git ls-files -- 'src/*.cpp' 'platform/*.cpp' 'apps/*.cpp' 'standins/*.cpp' 'bench/*.cpp' 'tests/*.cpp')
else
  files=("$@")
fi
printf '%s\0' "${files[@]}" |
  xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p "$build_dir" 2> >(grep -v 'warnings generated' >&2)
echo "tidy: clean (${#files[@]} files)"
