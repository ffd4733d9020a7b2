#!/bin/sh
# Runs the schedules of the fleet with each deliberate fault of LIST; every one
# must fail.
# Usage: run_mutants.sh PROGRAM LIST
program=$1
list=$2
output=$(mktemp)
sed 's/#.*//;/^ *$/d' "$list" | awk '{ print $1 }' |
  xargs -P "$(nproc)" -I{} sh -c '
    if FLEET_MUTANT={} FLEET_SEEDS=300 "$0" >/dev/null 2>&1
    then echo "mutant={} missed"; else echo "mutant={} caught"; fi' \
    "$program" >"$output"
sort "$output"
caught=$(grep -c ' caught' "$output")
missed=$(grep -c ' missed' "$output")
expected=$(sed 's/#.*//;/^ *$/d' "$list" | wc -l)
rm -f "$output"
echo "mutants=$expected caught=$caught missed=$missed"
[ "$caught" -eq "$expected" ]
