# shellcheck shell=bash
# demo_platform: shows almond-entry on the platform of platform/, with its
# stand-ins for the store and the backend servers. Uses the functions of
# fleet.sh.

# put_object KIND NAME SPEC: creates an object in the store.
put_object() {
	curl -sf -X POST -H 'Content-Type: application/json' \
	    -d "{\"metadata\":{\"name\":\"$2\"},\"spec\":$3}" \
	    "http://$store/objects/$1" >/dev/null || fail "object $1/$2 could not be stored"
}

# list_server ID SERVICE PORT MODELS: adds a backend server to the store; MODELS
# is the JSON array of its resident models.
list_server() {
	put_object servers "$1" "{\"service\":\"$2\",\"address\":\"127.0.0.1:$3\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"sequence\":1,\"models\":$4}"
}

# start_platform_entry NAME: starts an instance of almond-entry; sets $entry_pid,
# $entry_address (for callers) and $entry_ready (for readiness checks).
start_platform_entry() {
	local first_port=$((20000 + RANDOM % 20000))

	entry_address=127.0.0.1:$first_port
	entry_ready=127.0.0.1:$((first_port + 1))
	cat >"$work/$1.conf" <<-EOF
		name=$1
		data-centre=north
		listen=$entry_address
		ready=$entry_ready
		peers=127.0.0.1:$((first_port + 2))
		store=$store
	EOF
	ALMONDTHREAD_NODE_FILE="$work/$1.conf" ALMONDTHREAD_SECRET=$(printf 'a%.0s' {1..64}) \
	    "$bin/almond-entry" >"$work/$1.log" 2>&1 &
	pids+=("$!")
	entry_pid=$!
}

demo_platform() {
	local i

	start_standin store store
	store=127.0.0.1:$port
	start_standin engine-a server --name=engine-a --models=notes
	list_server engine-a llm "$port" '[{"name":"notes","version":1,"adapters":[]}]'
	start_standin desk-a server --name=desk-a
	list_server desk-a desk "$port" '[]'
	put_object config main '{"version":1,"services":[{"name":"desk"},{"name":"llm","engine":{"slots":8,"kv_capacity":100000,"weights_mb":200000,"adapter_slots":8,"loads_per_s":2,"models":[{"name":"notes","weights_mb":70000,"load_s":1}]}}],"routes":[{"name":"pay","hostname":"demo.example","path_prefix":"/pay/","type":"unsafe","timeout_ms":2000,"max_attempts":1,"service":"desk"},{"name":"notes","hostname":"demo.example","path_prefix":"/notes/","type":"streaming","timeout_ms":5000,"target_latency_ms":400,"max_attempts":2,"resumable":true,"service":"llm"}],"tenants":[{"name":"studio","api_keys":["demo-key"]}]}'
	for i in 1 2; do
		start_platform_entry "edge-$i"
		await 10 curl -sf "http://$entry_ready/readyz" ||
		    fail "edge-$i was not ready within 10 s"
	done
	info "two instances of almond-entry are ready"
	# send_entry_request KEY ARGUMENTS of curl...
	send_entry_request() {
		curl -sS --max-time 10 -H 'Host: demo.example' \
		    -H 'X-Attempt-Id: demo-1' -H "Authorization: Bearer $1" \
		    "${@:2}"
	}
	[ "$(send_entry_request demo-key -d '{}' "http://$entry_address/pay/1")" = "done" ] ||
	    fail "the charge at edge-2 failed"
	info "edge-2 completed a charge"
	[ "$(send_entry_request demo-key -H 'X-Model: notes' -H 'X-Token-Count: 20,30' \
	    -d hello "http://$entry_address/notes/1" | grep -c '^id:')" = 3 ] ||
	    fail "the streamed response did not have three events"
	info "edge-2 streamed a complete response of three events"
	[ "$(send_entry_request no-key -o /dev/null -w '%{http_code}' -d '{}' "http://$entry_address/pay/1")" = 401 ] ||
	    fail "an unknown key was not refused"
	kill -TERM "$entry_pid"
	wait "$entry_pid" || fail "edge-2 exited with status $?"
	grep -q 'call: req=demo-1 .*answered reason=' "$work/edge-2.log" ||
	    fail "the log of edge-2 has no line for the charge"
	info "edge-2 stopped; its log has a line for each request"
}
