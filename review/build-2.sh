#!/bin/bash
# Builds the programs of the cases of the second review into target/review-2, with what the daemon's build has installed.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review-2
for source in review/*/case.cpp; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -pthread "$source" -o "target/review-2/case-$(basename "$(dirname "$source")")" || exit 1
done
