#!/bin/bash
# Runs each fault twice against real processes: six entry instances in three
# data centres, two engines, one of them behind a relay, and a service. What was
# executed is counted by the backend servers, not by the instances under test.
# The time limits are the stated targets.
# Usage: faults.sh BIN_DIR
set -u
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
. scripts/fleet.sh
trap fleet_cleanup EXIT
passed=0
failed=0

run_twice() { # NAME COMMAND...: runs a test twice, with its turn as last argument
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

# set_faults ADDRESS JSON: sets faults of a stand-in.
set_faults() { curl -sf -d "$2" "http://$1/control/faults" >/dev/null; }

start_relay() { # TARGET: starts a relay; sets $port and $control
	"$bin/almond-standin" relay --target="$1" >"$work/relay-${#pids[@]}.out" &
	pids+=($!)
	local out=$work/relay-$((${#pids[@]} - 1)).out
	await 5 grep -q 'listens on port' "$out" || fail "the relay did not start"
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
start_relay "$engine2"
engine_link=$control
list_instance engine-2 "{\"kind\":\"engine\",\"data_centre\":\"south\",\"address\":\"127.0.0.1:$port\"}"
start_standin desk service
service_address=127.0.0.1:$port
list_instance desk-1 "{\"kind\":\"service\",\"service\":\"desk\",\"data_centre\":\"north\",\"address\":\"$service_address\"}"

data_centres=(north north south south east east)
for i in 0 1 2 3 4 5; do
	start_entry "entry-$i" "${data_centres[i]}" --drain-ms=200 --stop-max-ms=3000
	addresses[i]=$entry_address
	operators[i]=$entry_operators
	daemon_pids[i]=$entry_pid
done
sed 's/\["north", "south"\]/["north", "south", "east"]/' examples/demo.json >"$work/site.json"
"$bin/almondctl" apply "$work/site.json" >/dev/null || fail "the configuration was not applied"
give_key studio faults
for i in 0 1 2 3 4 5; do
	await 60 curl -sf "http://${operators[i]}/readyz" || fail "entry-$i was not ready in 60 s"
done

# call ARGUMENTS...: curl with the key.
call() { curl -s --max-time 30 -H "Authorization: Bearer $key" -H 'Content-Type: application/json' "$@"; }
complete() { # INSTANCE: requests a completion and checks that it is complete
	call -d '{"model":"notes-small","max_tokens":5,"messages":[]}' \
	    "http://${addresses[$1]}/v1/chat/completions" | grep -q '"completion_tokens":5'
}
charge() { # INSTANCE KEY: sends a request that runs at most once; prints its status
	call -o "$work/charge.out" -w '%{http_code}' -H "Idempotency-Key: $2" \
	    -d '{"amount":1}' "http://${addresses[$1]}/charges"
}
count_executions() { # KEY: prints how often the service executed this request
	curl -s "http://$service_address/control/log" | grep -o "\"key\":\"$1\"" | wc -l
}
for i in 0 1 2 3 4 5; do
	await 60 complete $i || fail "entry-$i returned no completion in 60 s"
done

platform_away() {
	set_faults "$platform" '{"outage":1}'
	local result=0 i
	for i in 0 2 4; do complete $i || result=1; done
	# Without the platform a request cannot be claimed: it must be refused as
	# not run, and must not be executed.
	charge 0 "out-$1" >/dev/null
	grep -q '"verdict":"not_run"' "$work/charge.out" || result=1
	[ "$(count_executions "out-$1")" = 0 ] || result=1
	set_faults "$platform" '{"outage":0}'
	is_charged() { [ "$(charge 0 "back-$1")" = 200 ]; }
	await 30 is_charged "$1" || result=1
	[ "$(count_executions "back-$1")" = 1 ] || result=1
	return $result
}

duplicates() {
	local i
	for i in 0 1 2 3 4 5; do charge $i "dup-$1" >"$work/dup-$i" & waits[i]=$!; done
	for i in 0 1 2 3 4 5; do wait "${waits[i]}"; done
	[ "$(count_executions "dup-$1")" = 1 ]
}

response_lost() {
	set_faults "$service_address" '{"lose_replies":1}'
	charge 1 "lost-$1" >/dev/null
	grep -q '"verdict":"may_have_run"' "$work/charge.out" || return 1
	charge 3 "lost-$1" >/dev/null
	[ "$(count_executions "lost-$1")" = 1 ]
}

engine_disconnected() {
	local result=0
	set_faults "$engine_link" '{"outage":1}'
	await 10 complete 2 || result=1
	await 10 complete 3 || result=1
	set_faults "$engine_link" '{"outage":0}'
	await 30 complete 2 || result=1
	return $result
}

engine_silent() {
	local result=0
	set_faults "$engine_link" '{"silent_old":1}'
	# The first request may wait for the first-byte limit of 3 s; the others
	# must not use the silent connections of the pool.
	await 10 complete 2 || result=1
	complete 2 || result=1
	complete 3 || result=1
	return $result
}

engine_crashed() {
	set_faults "$engine1" '{"crash":1}'
	complete 0 && complete 1
}

streams_truncated() {
	local out
	set_faults "$engine1" '{"truncate_after":2}'
	set_faults "$engine2" '{"truncate_after":2}'
	out=$(call -N -d '{"model":"notes-small","stream":true,"max_tokens":9,"messages":[]}' \
	    "http://${addresses[0]}/v1/chat/completions")
	set_faults "$engine1" '{"truncate_after":0}'
	set_faults "$engine2" '{"truncate_after":0}'
	! echo "$out" | grep -q 'DONE' && complete 0
}

response_crossed() {
	set_faults "$engine1" '{"crossed":1}'
	complete 0
}

instance_paused() {
	local result=0
	kill -STOP "${daemon_pids[4]}"
	complete 5 || result=1
	[ "$(charge 5 "paused-$1")" = 200 ] || result=1
	kill -CONT "${daemon_pids[4]}"
	await 30 complete 4 || result=1
	[ "$(count_executions "paused-$1")" = 1 ] || result=1
	return $result
}

key_withdrawn() {
	local old=$key result=0 i
	give_key studio "second-$1"
	local new=$key
	key=$new
	for i in 0 1 2 3 4 5; do await 12 complete $i || result=1; done
	"$bin/almondctl" key withdraw studio "second-$1" >/dev/null || result=1
	is_refused() { [ "$(call -o /dev/null -w '%{http_code}' "http://${addresses[$1]}/v1/models")" = 401 ]; }
	for i in 0 1 2 3 4 5; do await 5 is_refused $i || result=1; done
	key=$old
	return $result
}

memory_within_limit() {
	local e used
	for e in "$engine1" "$engine2"; do
		used=$(curl -s "http://$e/v1/status" | sed -n 's/.*"peak_mb":\([0-9]*\).*/\1/p')
		[ -n "$used" ] && [ "$used" -le 80000 ] || return 1
	done
}

no_key_forwarded() {
	! curl -s "http://$engine1/control/seen" "http://$engine2/control/seen" \
	    "http://$service_address/control/log" | grep -q "${key#*.}"
}

# Comes after all other faults because each turn kills an instance for good.
instance_killed() {
	local index=$((5 - $1 + 1))
	[ "$index" -le 5 ] || index=5
	kill -KILL "${daemon_pids[$index]}"
	complete 0 && complete 2 && [ "$(charge 2 "killed-$1")" = 200 ] &&
	    [ "$(count_executions "killed-$1")" = 1 ]
}

run_twice "platform away" platform_away
run_twice "duplicates of a once request at six instances" duplicates
run_twice "response of a once request lost" response_lost
run_twice "connection to an engine lost" engine_disconnected
run_twice "open connections to an engine silent" engine_silent
run_twice "engine crashes with a request" engine_crashed
run_twice "streams truncated at all engines" streams_truncated
run_twice "response of another request" response_crossed
run_twice "instance paused" instance_paused
run_twice "key withdrawn" key_withdrawn
run_twice "instance killed" instance_killed
run_twice "engine memory within its limit" memory_within_limit
run_twice "no backend server gets a key" no_key_forwarded
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
