#!/usr/bin/env bash
# Runs clang-tidy over the project's sources with the compile commands of a build folder.
# usage: check-tidy.sh BUILD_DIR [file...]
#
# A clean file is skipped while no input of clang-tidy has changed: the text of the file and its
# headers with comments and macros, its compile command, the checks and the version of clang-tidy.
# The cache is in CYPRESSWALL_TIDY_CACHE (default: below ~/.cache); an empty folder checks every
# file.
set -euo pipefail
cd "$(dirname "$0")/.."
export build_dir=$1
shift
if [ "$#" -eq 0 ]; then
  mapfile -t files < <(git ls-files -- 'src/*.cpp' 'platform/*.cpp' 'apps/*.cpp' 'standins/*.cpp' 'bench/*.cpp' 'tests/*.cpp')
else
  files=("$@")
fi
export cache_dir=${CYPRESSWALL_TIDY_CACHE:-${HOME:-/tmp}/.cache/cypresswall-tidy}
mkdir -p "$cache_dir"
root=$PWD
export root
tool_version=$(clang-tidy --version)
export tool_version

# Prints the compile command of a source file, without its output option.
command_of() {
  awk -v file="\"file\": \"$root/$1\"" '
    /"command":/ { command = $0 }
    index($0, file) { print command; exit }' "$build_dir/compile_commands.json" |
    sed -e 's/^ *"command": "//' -e 's/",$//' -e 's/\\"/"/g' -e 's/^[^ ]*ccache //' \
        -e 's/ -o [^ ]*//' -e 's/ -MD -MT [^ ]* -MF [^ ]*//' -e 's/ -c / /'
}

check_file() {
  local command key
  command=$(command_of "$1")
  if [ -z "$command" ]; then
    echo "$1: no compile command" >&2
    return 1
  fi
  key=$({ echo "$tool_version"; cat .clang-tidy; echo "$command"; eval "$command -E -C -dD -P"; } |
        sed "s#$root##g" | sha256sum | cut -d ' ' -f 1)
  if [ -e "$cache_dir/$key" ]; then
    return 0
  fi
  clang-tidy --quiet -p "$build_dir" "$1" && touch "$cache_dir/$key"
}
export -f command_of check_file

printf '%s\0' "${files[@]}" |
  xargs -0 -n 1 -P "$(nproc)" bash -c 'set -o pipefail; check_file "$1"' check_file 2> >(grep -v 'warnings generated' >&2)
echo "tidy: clean (${#files[@]} files)"
