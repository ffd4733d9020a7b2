#!/bin/sh
# Runs PROGRAM with seeds 1 to COUNT on all processors and prints the totals.
# Succeeds only if every seed ran and none failed.
# Usage: run_seeds.sh PROGRAM COUNT
program=$1
count=$2
jobs=$(nproc)
chunk=$(((count + jobs - 1) / jobs))
output=$(mktemp)
first=1
while [ "$first" -le "$count" ]; do
  last=$((first + chunk - 1))
  [ "$last" -gt "$count" ] && last=$count
  echo "$first-$last"
  first=$((last + 1))
done | xargs -P "$jobs" -I{} "$program" --seeds {} >"$output" 2>&1
grep -E 'violation|failed seed|rror' "$output" | head -n 40
ran=$(sed -n 's/^schedules=\([0-9]*\) .*/\1/p' "$output" | awk '{ s += $1 } END { print s + 0 }')
failures=$(grep -c '^failed seed' "$output")
rm -f "$output"
# A seed that did not report, for example after a crash, is a failure too.
[ "$ran" -eq "$count" ] || failures=$((failures + 1))
echo "schedules=$ran expected=$count failed=$failures"
[ "$failures" -eq 0 ]
