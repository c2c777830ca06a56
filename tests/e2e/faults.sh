#!/bin/bash
# Faults against real processes, twice each: six entry instances in three
# data centres, engines, a service, and a relay before an engine. What ran is asked from the backend servers, not from the system.
# Conditions are awaited with a bound from the stated target.
# Usage: faults.sh BIN_DIR
set -u
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
. scripts/fleet.sh
trap fleet_cleanup EXIT
passed=0
failed=0

row() { # NAME COMMAND...: runs a row twice
	local name=$1 turn
	shift
	for turn in 1 2; do
		if "$@" "$turn"; then
			passed=$((passed + 1))
		else
			failed=$((failed + 1))
			echo "FAILED: $name, turn $turn"
		fi
	done
}

faults() { curl -sf -d "$2" "http://$1/control/faults" >/dev/null; }

relay() { # TARGET: leaves $port and $control
	"$bin/almond-standin" relay --target="$1" >"$work/relay-${#pids[@]}.out" &
	pids+=($!)
	local out=$work/relay-$((${#pids[@]} - 1)).out
	await 5 grep -q 'listens on port' "$out" || fail "a relay"
	control=127.0.0.1:$(sed -n 's/.*controlled on port //p' "$out")
	port=$(sed -n 's/.*listens on port //p' "$out")
}

start_standin platform platform
platform=127.0.0.1:$port
export ALMONDTHREAD_PLATFORM=$platform
start_engine engine-1 north --heeds-fencing --token-us=2000
engine1=127.0.0.1:$port
start_standin engine-2 engine --name=engine-2 --token-us=2000
engine2=127.0.0.1:$port
relay "$engine2"
engine_link=$control
list_instance engine-2 "{\"kind\":\"engine\",\"data_centre\":\"south\",\"address\":\"127.0.0.1:$port\"}"
start_standin desk service
desk=127.0.0.1:$port
list_instance desk-1 "{\"kind\":\"service\",\"service\":\"desk\",\"data_centre\":\"north\",\"address\":\"$desk\"}"

centres=(north north south south east east)
for i in 0 1 2 3 4 5; do
	start_entry "entry-$i" "${centres[i]}" --drain-ms=200 --stop-max-ms=3000
	listen[i]=$entry_address
	operators[i]=$entry_operators
	process[i]=$entry_pid
done
sed 's/\["north", "south"\]/["north", "south", "east"]/' examples/demo.json >"$work/site.json"
"$bin/almondctl" apply "$work/site.json" >/dev/null || fail apply
give_key studio faults
for i in 0 1 2 3 4 5; do
	await 60 curl -sf "http://${operators[i]}/readyz" || fail "entry-$i is not ready"
done

ask() { curl -s --max-time 30 -H "Authorization: Bearer $key" -H 'Content-Type: application/json' "$@"; }
complete() { # INSTANCE: a whole completion
	ask -d '{"model":"notes-small","max_tokens":5,"messages":[]}' \
	    "http://${listen[$1]}/v1/chat/completions" | grep -q '"completion_tokens":5'
}
charge() { # INSTANCE KEY: the HTTP status
	ask -o "$work/charge.out" -w '%{http_code}' -H "Idempotency-Key: $2" \
	    -d '{"amount":1}' "http://${listen[$1]}/charges"
}
ran() { # KEY: executions that the service counted
	curl -s "http://$desk/control/log" | grep -o "\"key\":\"$1\"" | wc -l
}
for i in 0 1 2 3 4 5; do
	await 60 complete $i || fail "entry-$i serves no completion"
done

platform_out() {
	faults "$platform" '{"outage":1}'
	local ok=0 i
	for i in 0 2 4; do complete $i || ok=1; done
	# A charge cannot be claimed: refused as not run, and it did not run.
	charge 0 "out-$1" >/dev/null
	grep -q '"verdict":"not_run"' "$work/charge.out" || ok=1
	[ "$(ran "out-$1")" = 0 ] || ok=1
	faults "$platform" '{"outage":0}'
	charged() { [ "$(charge 0 "back-$1")" = 200 ]; }
	await 30 charged "$1" || ok=1
	[ "$(ran "back-$1")" = 1 ] || ok=1
	return $ok
}

duplicates_at_once() {
	local i
	for i in 0 1 2 3 4 5; do charge $i "dup-$1" >"$work/dup-$i" & waits[i]=$!; done
	for i in 0 1 2 3 4 5; do wait "${waits[i]}"; done
	[ "$(ran "dup-$1")" = 1 ]
}

answer_lost() {
	faults "$desk" '{"lose_replies":1}'
	charge 1 "lost-$1" >/dev/null
	grep -q '"verdict":"may_have_run"' "$work/charge.out" || return 1
	charge 3 "lost-$1" >/dev/null
	[ "$(ran "lost-$1")" = 1 ]
}

engine_cut() {
	local ok=0
	faults "$engine_link" '{"outage":1}'
	await 10 complete 2 || ok=1
	await 10 complete 3 || ok=1
	faults "$engine_link" '{"outage":0}'
	await 30 complete 2 || ok=1
	return $ok
}

engine_silent() {
	local ok=0
	faults "$engine_link" '{"silent_old":1}'
	# One request may wait for its first byte's limit (3 s); never the pool.
	await 10 complete 2 || ok=1
	complete 2 || ok=1
	complete 3 || ok=1
	return $ok
}

engine_crash() {
	faults "$engine1" '{"crash":1}'
	complete 0 && complete 1
}

truncated() {
	local out
	faults "$engine1" '{"truncate_after":2}'
	faults "$engine2" '{"truncate_after":2}'
	out=$(ask -N -d '{"model":"notes-small","stream":true,"max_tokens":9,"messages":[]}' \
	    "http://${listen[0]}/v1/chat/completions")
	faults "$engine1" '{"truncate_after":0}'
	faults "$engine2" '{"truncate_after":0}'
	! echo "$out" | grep -q 'DONE' && complete 0
}

crossed() {
	faults "$engine1" '{"crossed":1}'
	complete 0
}

instance_paused() {
	local ok=0
	kill -STOP "${process[4]}"
	complete 5 || ok=1
	[ "$(charge 5 "paused-$1")" = 200 ] || ok=1
	kill -CONT "${process[4]}"
	await 30 complete 4 || ok=1
	[ "$(ran "paused-$1")" = 1 ] || ok=1
	return $ok
}

key_withdrawn() {
	local old=$key ok=0 i
	give_key studio "second-$1"
	local new=$key
	key=$new
	for i in 0 1 2 3 4 5; do await 12 complete $i || ok=1; done
	"$bin/almondctl" key withdraw studio "second-$1" >/dev/null || ok=1
	refused() { [ "$(ask -o /dev/null -w '%{http_code}' "http://${listen[$1]}/v1/models")" = 401 ]; }
	for i in 0 1 2 3 4 5; do await 5 refused $i || ok=1; done
	key=$old
	return $ok
}

memory() {
	local e used
	for e in "$engine1" "$engine2"; do
		used=$(curl -s "http://$e/v1/status" | sed -n 's/.*"peak_mb":\([0-9]*\).*/\1/p')
		[ -n "$used" ] && [ "$used" -le 80000 ] || return 1
	done
}

no_key_seen() {
	! curl -s "http://$engine1/control/seen" "http://$engine2/control/seen" \
	    "http://$desk/control/log" | grep -q "${key#*.}"
}

instance_killed() { # the last row: one instance less each turn
	local victim=$((5 - $1 + 1))
	[ "$victim" -le 5 ] || victim=5
	kill -KILL "${process[$victim]}"
	complete 0 && complete 2 && [ "$(charge 2 "killed-$1")" = 200 ] &&
	    [ "$(ran "killed-$1")" = 1 ]
}

row "platform away" platform_out
row "duplicate of a once request at six instances" duplicates_at_once
row "answer of a charge lost" answer_lost
row "link to an engine cut" engine_cut
row "old connections to an engine silent for good" engine_silent
row "engine crashes with a request" engine_crash
row "streams truncated at every engine" truncated
row "answer crossed" crossed
row "instance paused" instance_paused
row "key withdrawn" key_withdrawn
row "instance killed" instance_killed
row "memory never overcommitted" memory
row "no backend server sees a key" no_key_seen
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
