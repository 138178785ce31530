#!/bin/sh
# Builds the cases of the second review, with their stand-ins, into build-review-2/. Needs a C++20 compiler and the
# build of the deploy file, whose programs the cases start.
set -e
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for case in review/6 review/7 review/8 review/9 review/10; do
  [ -r "$case/case.cpp" ] || continue
  ${CXX:-c++} -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -pthread -o "build-review-2/case_$(basename "$case")" "$case/case.cpp"
done
