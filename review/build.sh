#!/usr/bin/env bash
# Builds what the cases of this review start besides the build of the deploy file: for each case one program
# with its stand-ins, of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
for source in review/[0-9]*/case.cpp; do
  case=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -pthread -Wall -Wextra "$source" -o "build-review/case-$case"
done
