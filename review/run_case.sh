#!/usr/bin/env bash
# Runs one case: review/run_case.sh NUMBER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case couldn't run. With TROUBLE=0 the case leaves its disruption out.
cd "$(dirname "$0")/.." || exit 2
number=$1
program=build-review/case-$number
[ -x "$program" ] && [ -x build-platform/pearchuted ] || {
  echo "missing: the build of the deploy file, or review/build.sh" >&2
  exit 2
}
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# The program ends the manager that it started; the manager also ends with the program.
timeout --kill-after=5 110 "$program" "review/$number" "$folder"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
