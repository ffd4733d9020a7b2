#!/bin/bash
# Runs one host of the users' platform against its stand-in on loopback: a
# session writes and reads, the primary crashes, the session writes again.
# Ends 0 only if each step was right; stops all that it started.
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

wrong() {
  echo "   WRONG: $*"
  tail -n 15 "$work/host.log"
  exit 1
}

# port KEY FILE: waits for KEYPORT in the file and prints the port.
port() {
  for _ in $(seq 100); do
    grep -o "$1[0-9]*" "$2" 2>/dev/null | head -n 1 | grep -o '[0-9]*$' && return
    sleep 0.05
  done
  return 1
}

# ask STATEMENT: prints the answer, up to its READY.
number=0
ask() {
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

mkfifo "$work/hold"
"$build/fleet_standin" <"$work/hold" >"$work/ports" &
pids+=($!)
exec 8>"$work/hold"
store=$(port store= "$work/ports") || wrong "no stand-in"
promote=$(port promote= "$work/ports")
control=$(port control= "$work/ports")
"$build/savoryway" serve --host=demo --domain=zone-1 --caller-endpoint=127.0.0.1:0 \
  --ready-endpoint=127.0.0.1:0 --host-endpoint=127.0.0.1:$((20000 + $$ % 20000)) \
  --store-endpoint="127.0.0.1:$store" --promote-endpoint="127.0.0.1:$promote" \
  --metrics-endpoint=127.0.0.1:0 --shutdown-limit-s=3 >"$work/host.log" &
pids+=($!)
callers=$(port 'interface=callers port=' "$work/host.log") || wrong "no host"

echo "-- a session on the users' platform"
exec 9<>"/dev/tcp/127.0.0.1/$callers"
printf 'STARTUP ledger demo\r\n' >&9
read -r -t 5 line <&9 || wrong "no session"
answer=$(ask "WRITE 1 sandbags")
[[ $answer == "COMPLETE i-0."* ]] || wrong "write: $answer"
answer=$(ask "READ 1")
[[ $answer == "ROW sandbags COMPLETE i-"* ]] || wrong "read: $answer"
echo "   right: wrote on the primary, read its write: $answer"
operators=$(port 'interface=metrics port=' "$work/host.log") || wrong "no operators' listener"
at=(--operator-address=127.0.0.1 --operator-port="$operators")
"$build/savoryway" status "${at[@]}" | grep -q 'store_reached *yes' || wrong "status"
"$build/savoryway" topology "${at[@]}" | grep -q 'i-0 .* primary .*demo' || wrong "topology"
"$build/savoryway" explain --database=ledger "${at[@]}" | grep -q '"why"' || wrong "explain"
echo "   right: status, topology and explain tell of it"
body='{"instance":0,"kind":"crash"}'
exec 7<>"/dev/tcp/127.0.0.1/$control"
printf 'POST /fault HTTP/1.1\r\nHost: demo\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
  "${#body}" "$body" >&7
cat <&7 >/dev/null
exec 7>&-
for _ in $(seq 100); do
  answer=$(ask "WRITE 1 more")
  [[ $answer == COMPLETE* ]] && break
  sleep 0.05
done
[[ $answer == "COMPLETE i-"* ]] || wrong "write after the crash: $answer"
grep -q 'event=promotion_done' "$work/host.log" || sleep 0.3
grep -q 'event=promotion_done' "$work/host.log" || wrong "no promotion"
echo "   right: the primary crashed, another was promoted: $answer"
