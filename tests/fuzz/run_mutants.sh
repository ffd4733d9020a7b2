#!/bin/sh
# Runs PROGRAM with each mutant of LIST, a deliberate fault in the source, over
# seeds 1 to 6000.  Succeeds only if every mutant is caught.
# Usage: run_mutants.sh PROGRAM LIST
program=$1
list=$2
output=$(mktemp)
sed 's/#.*//;/^ *$/d' "$list" | awk '{ print $1 }' |
  xargs -P "$(nproc)" -I{} "$program" --mutant {} --seeds 1-6000 >"$output" 2>/dev/null
sort "$output"
caught=$(grep -c ' caught ' "$output")
missed=$(grep -c ' missed ' "$output")
expected=$(sed 's/#.*//;/^ *$/d' "$list" | wc -l)
rm -f "$output"
echo "mutants=$expected caught=$caught missed=$missed"
[ "$caught" -eq "$expected" ]
