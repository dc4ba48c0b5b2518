#!/usr/bin/env bash
# Fails if clang-format would change any of the project's sources.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -- '*.h' '*.cpp' | xargs clang-format --dry-run --Werror
echo "format: clean"
