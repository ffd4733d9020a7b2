#!/bin/sh
# Runs case N after the build of the deploy file and review/build.sh.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0 leaves the disruption out.
# Usage: run-case.sh N
cd "$(dirname "$0")/.." || exit 2
program=target/review/case-$1
if [ ! -x target/savoryway ] || [ ! -x "$program" ]; then
  echo "not built: run the build of deploy/system.toml, then review/build.sh"
  exit 2
fi
HOST_LOGS=$(mktemp -d) || exit 2
export HOST_LOGS
trap 'rm -rf "$HOST_LOGS"' EXIT
timeout 115 "$program" "review/$1/record.txt"
status=$?
tail -n 2 "review/$1/record.txt"
[ "$status" -le 2 ] || status=2
exit "$status"
