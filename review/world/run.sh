#!/bin/sh
# run.sh CASE FOLDER - plays CASE with the program of the deploy file's build
# and writes FOLDER/record.txt.  Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/savoryway ] || [ ! -x build/review/world ]; then
  echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
logs=$(mktemp -d) || exit 2
build/review/world "$1" target/savoryway "$2/record.txt" "$logs"
status=$?
rm -rf "$logs"
[ "$status" -le 1 ] || status=2
exit "$status"
