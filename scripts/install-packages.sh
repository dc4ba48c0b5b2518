#!/usr/bin/env bash
# Installs the missing packages that the build needs with apt; does nothing if there are none.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache make pkg-config curl ca-certificates
  clang-format clang-tidy
  libasio-dev librestinio-dev libhttp-parser-dev libfmt-dev libexpected-dev
  libcurl4-openssl-dev libssl-dev libgflags-dev liblog4cplus-dev libcppunit-dev
  librapidcheck-dev libmsgpack-cxx-dev libyaml-cpp-dev nlohmann-json3-dev libxxhash-dev
  prometheus-cpp-dev zlib1g-dev libbenchmark-dev libreadline-dev
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi

echo "installing: ${missing[*]}"
run_as_root=()
if [ "$(id -u)" -ne 0 ]; then
  run_as_root=(sudo)
fi
export DEBIAN_FRONTEND=noninteractive
"${run_as_root[@]}" apt-get update -q
"${run_as_root[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
