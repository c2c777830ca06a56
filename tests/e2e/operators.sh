#!/bin/bash
# The operators' program and the daemon's settings: each call has its documented
# exit code and message, and no change of two concurrent operators is lost.
# Usage: operators.sh BIN_DIR
set -u
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
. scripts/fleet.sh
trap fleet_cleanup EXIT
failed=0
passed=0

# expect CODE TEXT COMMAND...: checks the exit code and a part of the output.
expect() {
	local code=$1 text=$2 got
	shift 2
	"$@" >"$work/out" 2>&1
	got=$?
	if [ "$got" = "$code" ] && grep -qF -- "$text" "$work/out"; then
		passed=$((passed + 1))
		return
	fi
	failed=$((failed + 1))
	echo "FAILED: $* : exit $got, expected $code and '$text'; output:"
	sed 's/^/    /' "$work/out"
}

ctl=$bin/almondctl
daemon=$bin/almondthreadd
start_standin platform platform
export ALMONDTHREAD_PLATFORM=127.0.0.1:$port

echo '{"models":[{"name":"m","memory_mb":0}]}' >"$work/bad.json"
echo '{"models":' >"$work/cut.json"
echo '{"workspaces":[{"name":"w","rate_tokens_s":5,"burst_tokens":50}],"models":[{"name":"m","memory_mb":5}],"data_centres":["d"],"engines":[{"name":"e","data_centre":"d","memory_mb":10}]}' >"$work/good.json"
echo '{}' >"$work/empty.json"

# Calls with invalid arguments.
expect 0 'usage: almondctl' "$ctl" --help
expect 2 'see --help' "$ctl"
expect 2 "no command 'fly'" "$ctl" fly
expect 2 'usage: almondctl validate FILE' "$ctl" validate
expect 2 'usage: almondctl key' "$ctl" key give w
expect 2 'expected FIELD=VALUE' "$ctl" model set m2 memory_mb
# Files.
expect 3 'bad.json: models[0].memory_mb: expected a number from 1' "$ctl" validate "$work/bad.json"
expect 3 'cut.json: line' "$ctl" validate "$work/cut.json"
expect 3 'none.json: line -1' "$ctl" validate "$work/none.json"
expect 3 'bad.json: models[0]' "$ctl" apply "$work/bad.json"
expect 0 'Generation 1 is accepted' "$ctl" apply "$work/good.json"
# A file that is not based on the generation in force.
expect 4 'continues generation 0 but 1 is in force' "$ctl" apply "$work/good.json"
expect 0 '- models m' "$ctl" diff "$work/empty.json"
expect 0 '"generation": 1' "$ctl" get
# Single entries.
expect 0 'Generation 2' "$ctl" model set m2 memory_mb=7
expect 3 'models[2].memory_mb: expected' "$ctl" model set m3 memory_mb=none
expect 0 '"name":"m2"' "$ctl" model list
expect 6 "no model is named 'm9'" "$ctl" model delete m9
expect 0 'Generation 3' "$ctl" model delete m2
expect 0 '"rate_tokens_s": 5' "$ctl" --json workspace list
# Exceptions require a reason.
expect 3 'an exception requires a reason' "$ctl" exception set min_replicas m value=2
expect 0 'Generation 4' "$ctl" exception set min_replicas m value=2 --reason=guests
expect 3 'exceptions[1].kind: expected one of' "$ctl" exception set fly m value=2 --reason=x
expect 0 'guests' "$ctl" exception list
expect 0 'Generation 5' "$ctl" exception delete min_replicas m
# Keys.
expect 6 "no workspace is named 'x'" "$ctl" key give x k
expect 0 'Key, shown only now: k.' "$ctl" key give w k
expect 3 "key 'k' exists" "$ctl" key give w k
expect 0 'Generation 7' "$ctl" key withdraw w k
expect 6 "has no key 'k'" "$ctl" key withdraw w k
# The platform or the daemon cannot be reached.
expect 5 '127.0.0.1:9' "$ctl" --platform=127.0.0.1:9 get
expect 5 '127.0.0.1:9' "$ctl" --daemon=127.0.0.1:9 status

# Two operators edit single entries concurrently: both changes are kept.
"$ctl" model set race-a memory_mb=1 >"$work/a.out" 2>&1 &
a=$!
"$ctl" model set race-b memory_mb=1 >"$work/b.out" 2>&1 &
b=$!
wait $a; exit_a=$?
wait $b; exit_b=$?
expect 0 'race-a' "$ctl" model list
expect 0 'race-b' "$ctl" model list
[ "$exit_a$exit_b" = 00 ] || { failed=$((failed + 1)); echo "FAILED: concurrent edits: exit codes $exit_a and $exit_b"; }
# Two operators apply a file concurrently: one succeeds, the other has a conflict.
"$ctl" get >"$work/now.json"
"$ctl" apply "$work/now.json" >"$work/a.out" 2>&1 &
a=$!
"$ctl" apply "$work/now.json" >"$work/b.out" 2>&1 &
b=$!
wait $a; exit_a=$?
wait $b; exit_b=$?
case $exit_a$exit_b in
04|40) passed=$((passed + 1)) ;;
*) failed=$((failed + 1)); echo "FAILED: concurrent files: exit codes $exit_a and $exit_b" ;;
esac
# The platform's response is lost after the write took effect.
curl -s -d '{"lose_replies":1}' "http://$ALMONDTHREAD_PLATFORM/control/faults" >/dev/null
expect 0 'is accepted' "$ctl" model set after-loss memory_mb=1
expect 0 'after-loss' "$ctl" model list
# The platform does not serve requests.
curl -s -d '{"outage":1}' "http://$ALMONDTHREAD_PLATFORM/control/faults" >/dev/null
expect 5 'the platform returned HTTP 503' "$ctl" get
curl -s -d '{"outage":0}' "http://$ALMONDTHREAD_PLATFORM/control/faults" >/dev/null

# The daemon's settings: an invalid one is named, and the exit code is 2.
required="--name=n --data-centre=d"
expect 0 'ALMONDTHREAD_LISTEN' "$daemon" --help
expect 2 '--name or ALMONDTHREAD_NAME is missing' "$daemon"
expect 2 "--listen: expected IP:PORT, not 'localhost:80'" "$daemon" $required --listen=localhost:80
expect 2 "--listen: expected IP:PORT, not '127.0.0.1:99999'" "$daemon" $required --listen=127.0.0.1:99999
expect 2 "--drain-ms: expected a number from 0 to 600000, not '-1'" "$daemon" $required --drain-ms=-1
expect 2 "--drain-ms: expected a number" env ALMONDTHREAD_DRAIN_MS=soon "$daemon" $required
expect 2 '--secret: expected 64 hexadecimal digits' "$daemon" $required --secret=abc
expect 2 '--log-level: expected error' "$daemon" $required --log-level=loud
expect 2 'fly' "$daemon" $required --fly
expect 1 'listen on' "$daemon" $required --listen="$ALMONDTHREAD_PLATFORM" --operators=127.0.0.1:0

# The reason of a refusal and the state of a model can be requested.
start_entry n d
await 12 is_in_force "$entry_operators" "$("$ctl" get | sed -n 's/.*"generation": \([0-9]*\).*/\1/p')" ||
    { failed=$((failed + 1)); echo "FAILED: the daemon has no configuration after 12 s"; }
id=$(curl -s -D - -o /dev/null http://$entry_address/nowhere | tr -d '\r' | sed -n 's/^X-Request-Id: //p')
expect 0 'reason   unknown_route' "$ctl" --daemon="$entry_operators" explain request "$id"
expect 6 'no refusal of this request' "$ctl" --daemon="$entry_operators" explain request none
expect 0 'model  m' "$ctl" --daemon="$entry_operators" explain model m
expect 6 'no such model' "$ctl" --daemon="$entry_operators" explain model zzz
expect 0 'generation' "$ctl" --daemon="$entry_operators" status
expect 0 '"generation"' "$ctl" --daemon="$entry_operators" --json status

echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
