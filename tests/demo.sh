#!/bin/bash
# Runs three hosts and the stand-ins on ephemeral loopback ports: writes and
# reads through them, changes the configuration and crashes the primary.
# Usage: demo.sh [BUILD_DIRECTORY]
# Exits with status 0 only if every step succeeds.  Stops all processes that it
# started.
set -u
build=${1:-build}
savoryway=$build/savoryway
work=$(mktemp -d)
pids=()
failed=0

say() { printf '%s\n' "$*"; }

pass() { say "   ok: $*"; }

fail() {
  say "   FAILED: $*"
  failed=1
}

finish() {
  local pid
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null
  done
  if [ "$failed" -ne 0 ]; then
    for log in "$work"/h?.log; do
      say "== last lines of $(basename "$log")"
      tail -n 15 "$log"
    done
  fi
  rm -rf "$work"
}
trap finish EXIT

# http METHOD PORT PATH [BODY]: prints the response with its headers.
http() {
  local body=${4:-}
  exec 9<>"/dev/tcp/127.0.0.1/$2" || return 1
  printf '%s %s HTTP/1.1\r\nHost: demo\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "$3" "${#body}" "$body" >&9
  cat <&9
  exec 9>&- 9<&-
}

# eventually SECONDS COMMAND...: repeats the command until it succeeds.
eventually() {
  local until=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$until" ] || return 1
    sleep 0.1
  done
}

# Stand-ins end when their standard input closes, so also when this script ends.
mkfifo "$work/stdin"
exec 8<>"$work/stdin"

start_standin() { # NAME PROGRAM ARGUMENT...
  local name=$1
  shift
  "$@" <&8 >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  eventually 5 test -s "$work/$name.out" || { fail "$name did not start"; exit 1; }
}

# field NAME KEY: prints the number after KEY in the ready line of a stand-in.
field() { sed -n "1s/.*$2\([0-9]*\).*/\1/p" "$work/$1.out"; }

listening() { # HOST INTERFACE: prints the port
  sed -n "s/.*event=listening interface=$2 .*port=\([0-9]*\).*/\1/p" "$work/$1.log" | head -n 1
}

start_host() { # HOST DOMAIN INCARNATION
  SAVORYWAY_TOKEN_KEY_FILE=$work/token.key SAVORYWAY_RPC_SECRET_FILE=$work/rpc.key \
    "$savoryway" run --host="$1" --domain="$2" --incarnation="$3" --caller-port=0 \
    --operator-port=0 --rpc-port=0 --platform-port="$platform_port" \
    --log-level=info 2>"$work/$1.log" &
  pids+=($!)
  host_pids+=($!)
  eventually 5 grep -q interface=operators "$work/$1.log" || { fail "$1 did not start"; exit 1; }
  # A real platform registers its hosts; the stand-in needs a call for it.
  http PUT "$platform_port" /v1/agent/service/register "{\"ID\": \"$1\", \"Name\": \"savoryway\",
    \"Address\": \"127.0.0.1\", \"Port\": $(listening "$1" hosts),
    \"Meta\": {\"domain\": \"$2\", \"incarnation\": \"$3\"}}" | grep -q ' 200 ' ||
    fail "the platform did not register $1"
}

ready() { http GET "$(listening "$1" operators)" /readyz | grep -q ' 200 '; }

query() { # HOST FLAG... SERVICE STATEMENT PARAMETER...
  local host=$1
  shift
  "$savoryway" query --caller-port="$(listening "$host" callers)" --user=captain \
    --secret-file="$work/captain" --session-file="$work/session" "$@" 2>"$work/answer"
}

config() { # HOST ARGUMENT...
  local host=$1
  shift
  SAVORYWAY_OPERATOR_PORT=$(listening "$host" operators) "$savoryway" config "$@"
}

# Prints the first configuration of the team, which an administrator applies.
team_subtree() {
  local hash
  hash=$("$savoryway" hash <"$work/captain")
  sed "s/HASH/$hash/; s/PORT_A/$(field db 'instance=a port=')/; s/PORT_B/$(field db 'instance=b port=')/
    s/PORT_C/$(field db 'instance=c port=')/" <<'END'
{"operators": {"clerk": {"secret_hash": "HASH"}},
 "services": {"depot-ledger": {
  "callers": {"captain": {"secret_hash": "HASH"}},
  "kinds": {
   "release": {"freshness": "strong", "repeatable": false, "write": true, "ack": "majority", "deadline_ms": 12000},
   "read": {"freshness": "session", "repeatable": true, "write": false, "deadline_ms": 5000},
   "count": {"freshness": "max_age", "max_age_ms": 2000, "repeatable": true, "write": false, "deadline_ms": 5000}},
  "databases": {"ledger-1": {"slots": 5, "connections": 70, "connect_cost_ms": 10, "instances": {
   "a": {"address": "127.0.0.1", "port": PORT_A, "domain": "pampanga"},
   "b": {"address": "127.0.0.1", "port": PORT_B, "domain": "bulacan"},
   "c": {"address": "127.0.0.1", "port": PORT_C, "domain": "rizal"}}}}}}}
END
}

say "1. Starting three hosts, a database group of three instances and a platform."
for key in token rpc; do
  od -An -N32 -tx1 /dev/urandom | tr -d ' \n' >"$work/$key.key"
done
for person in captain admin; do
  od -An -N16 -tx1 /dev/urandom | tr -d ' \n' >"$work/$person"
done
start_standin platform "$build/platform_standin"
start_standin db "$build/pg_standin" --lag-ms=300
platform_port=$(field platform 'port=')
SAVORYWAY_ADMIN_SECRET_HASH=$("$savoryway" hash <"$work/admin")
export SAVORYWAY_ADMIN_SECRET_HASH
host_pids=()
start_host h1 pampanga 101
start_host h2 bulacan 102
start_host h3 rizal 103
team_subtree >"$work/team.json"
if ! config h1 --user=admin --secret-file="$work/admin" apply dagohoy "$work/team.json" >"$work/config.log" 2>&1; then
  fail "$(cat "$work/config.log")"
  exit 1
fi
for host in h1 h2 h3; do
  eventually 10 ready "$host" || { fail "$host is not ready"; exit 1; }
done
pass "h1, h2 and h3 are ready"

release() { # HOST ID KEY VALUE
  query "$1" --kind=release --request-id="$2" dagohoy/depot-ledger \
    'INSERT INTO kv (k, v) VALUES ($1, $2)' "$3" "$4"
}

read_key() { # HOST KEY
  query "$1" --kind=read dagohoy/depot-ledger 'SELECT v FROM kv WHERE k = $1' "$2"
}

say "2. A caller writes a release of 40 sandbags through h1."
if release h1 r-17 release-17 40; then
  pass "$(cat "$work/answer")"
else
  fail "$(cat "$work/answer")"
fi

say "3. The same session reads it through h2; the replicas lag by 300 ms."
value=$(read_key h2 release-17)
if [ "$value" = 40 ]; then
  pass "40 bags, $(cat "$work/answer")"
else
  fail "read \"$value\": $(cat "$work/answer")"
fi

say "4. The same write is sent again through h3, with the same request id."
release h3 r-17 release-17 40
count=$(query h3 --kind=read dagohoy/depot-ledger 'SELECT count(*) FROM kv')
if [ "$count" = 1 ]; then
  pass "the write ran once: one row"
else
  fail "expected one row, found $count"
fi

say "5. An operator sets the maximum age of counts to 5 s, through h1; every host applies it."
in_force() { # HOST REVISION: succeeds if the revision is in force
  SAVORYWAY_OPERATOR_PORT=$(listening "$1" operators) "$savoryway" status --json |
    grep -q "\"config_revision\": $2,"
}
if config h1 --user=clerk --secret-file="$work/captain" set dagohoy \
  services/depot-ledger/kinds/count/max_age_ms 5000 >"$work/config.log" 2>&1; then
  revision=$(sed -n 's/.*revision=\([0-9]*\).*/\1/p' "$work/config.log" | head -n 1)
  for host in h1 h2 h3; do
    if [ -n "$revision" ] && eventually 7 in_force "$host" "$revision"; then
      pass "revision $revision is in force on $host"
    else
      fail "revision $revision is not in force on $host after 7 s"
    fi
  done
else
  fail "$(cat "$work/config.log")"
fi

say "6. The primary crashes; the caller writes a release of 60 more through h3."
http POST "$(field db 'control=')" /fault '{"instance": "a", "kind": "die"}' | grep -q ' 200 ' ||
  fail "the stand-in did not accept the fault"
before=$(date +%s%N)
if release h3 r-18 release-18 60; then
  pass "$(cat "$work/answer"), after $((($(date +%s%N) - before) / 1000000)) ms"
else
  fail "$(cat "$work/answer")"
fi
for key in release-17:40 release-18:60; do
  value=$(read_key h2 "${key%:*}")
  if [ "$value" = "${key#*:}" ]; then
    pass "${key%:*} is still ${key#*:}"
  else
    fail "${key%:*} reads \"$value\": $(cat "$work/answer")"
  fi
done

say "7. Stopping the hosts with SIGTERM."
for pid in "${host_pids[@]}"; do
  kill -TERM "$pid"
done
for pid in "${host_pids[@]}"; do
  wait "$pid" || fail "a host exited with status $?"
done
[ "$failed" -eq 0 ] && pass "all hosts shut down gracefully" && say "All steps succeeded."
exit "$failed"
