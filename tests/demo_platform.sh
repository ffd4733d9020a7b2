#!/bin/bash
# Runs one host with "savoryway serve" and the stand-in of its platform on
# loopback: a session writes and reads, the primary crashes, and the session
# writes again.
# Usage: demo_platform.sh [BUILD_DIRECTORY]
# Exits with status 0 only if every step succeeds.  Stops all processes that it
# started.
set -u
build=${1:-build}
work=$(mktemp -d)
pids=()

finish() {
  local pid
  exec 8>&- 9>&- 2>/dev/null
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  rm -rf "$work"
}
trap finish EXIT

fail() {
  echo "   FAILED: $*"
  tail -n 15 "$work/host.log"
  exit 1
}

# port KEY FILE: waits until KEY and a port appear in the file, prints the port.
port() {
  for _ in $(seq 100); do
    grep -o "$1[0-9]*" "$2" 2>/dev/null | head -n 1 | grep -o '[0-9]*$' && return
    sleep 0.05
  done
  return 1
}

# run_statement STATEMENT: sends it and prints the answer before its READY.
number=0
run_statement() {
  local line
  number=$((number + 1))
  printf 'QUERY d%d %s\r\n' "$number" "$1" >&9
  while read -r -t 5 line <&9; do
    line=${line%$'\r'}
    case $line in
      READY*) return ;;
      *) printf '%s ' "$line" ;;
    esac
  done
}

# The stand-in ends when its standard input closes, so also when this script ends.
mkfifo "$work/stdin"
"$build/fleet_standin" <"$work/stdin" >"$work/ports" &
pids+=($!)
exec 8>"$work/stdin"
store=$(port store= "$work/ports") || fail "the stand-in did not start"
promote=$(port promote= "$work/ports")
control=$(port control= "$work/ports")
"$build/savoryway" serve --host=demo --domain=zone-1 --caller-endpoint=127.0.0.1:0 \
  --ready-endpoint=127.0.0.1:0 --host-endpoint=127.0.0.1:$((20000 + $$ % 20000)) \
  --store-endpoint="127.0.0.1:$store" --promote-endpoint="127.0.0.1:$promote" \
  --metrics-endpoint=127.0.0.1:0 --shutdown-limit-s=3 >"$work/host.log" &
pids+=($!)
callers=$(port 'interface=callers port=' "$work/host.log") || fail "the host did not start"

echo "-- a session through \"savoryway serve\""
exec 9<>"/dev/tcp/127.0.0.1/$callers"
printf 'STARTUP ledger demo\r\n' >&9
read -r -t 5 line <&9 || fail "no answer to STARTUP"
answer=$(run_statement "WRITE 1 sandbags")
[[ $answer == "COMPLETE i-0."* ]] || fail "write: $answer"
answer=$(run_statement "READ 1")
[[ $answer == "ROW sandbags COMPLETE i-"* ]] || fail "read: $answer"
echo "   ok: wrote on the primary and read the write: $answer"
operators=$(port 'interface=metrics port=' "$work/host.log") ||
  fail "the listener for operators did not start"
at=(--operator-address=127.0.0.1 --operator-port="$operators")
"$build/savoryway" status "${at[@]}" | grep -q 'store_reached *yes' ||
  fail "status does not report the store as reached"
"$build/savoryway" topology "${at[@]}" | grep -q 'i-0 .* primary .*demo' ||
  fail "topology does not report the primary"
"$build/savoryway" explain --database=ledger "${at[@]}" | grep -q '"why"' ||
  fail "explain gives no reason"
echo "   ok: status, topology and explain report it"
body='{"instance":0,"kind":"crash"}'
exec 7<>"/dev/tcp/127.0.0.1/$control"
printf 'POST /fault HTTP/1.1\r\nHost: demo\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
  "${#body}" "$body" >&7
cat <&7 >/dev/null
exec 7>&-
for _ in $(seq 100); do
  answer=$(run_statement "WRITE 1 more")
  [[ $answer == COMPLETE* ]] && break
  sleep 0.05
done
[[ $answer == "COMPLETE i-"* ]] || fail "write after the crash: $answer"
grep -q 'event=promotion_done' "$work/host.log" || sleep 0.3
grep -q 'event=promotion_done' "$work/host.log" || fail "no replica was promoted"
echo "   ok: the primary crashed, a replica was promoted: $answer"
