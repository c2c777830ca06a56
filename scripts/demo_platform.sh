# shellcheck shell=bash
# demo_platform: almond-entry on the users' platform, against its stand-ins.
# Uses the functions of fleet.sh.

put_object() { # KIND NAME SPEC
	curl -sf -X POST -H 'Content-Type: application/json' \
	    -d "{\"metadata\":{\"name\":\"$2\"},\"spec\":$3}" \
	    "http://$store/objects/$1" >/dev/null || fail "object $1/$2"
}

list_server() { # ID SERVICE PORT MODELS
	put_object servers "$1" "{\"service\":\"$2\",\"address\":\"127.0.0.1:$3\",\"zone\":\"north\",\"slots\":8,\"state\":\"ready\",\"sequence\":1,\"models\":$4}"
}

edge_entry() { # NAME: starts an instance; leaves $edge_address, $edge_ready
	local base=$((20000 + RANDOM % 20000))

	edge_address=127.0.0.1:$base
	edge_ready=127.0.0.1:$((base + 1))
	cat >"$work/$1.conf" <<-EOF
		name=$1
		data-centre=north
		listen=$edge_address
		ready=$edge_ready
		peers=127.0.0.1:$((base + 2))
		store=$store
	EOF
	ALMONDTHREAD_NODE_FILE="$work/$1.conf" ALMONDTHREAD_SECRET=$(printf 'a%.0s' {1..64}) \
	    "$bin/almond-entry" >"$work/$1.log" 2>&1 &
	pids+=("$!")
	edge_pid=$!
}

demo_platform() {
	local i

	standin store store
	store=127.0.0.1:$port
	standin engine-a server --name=engine-a --models=notes
	list_server engine-a llm "$port" '[{"name":"notes","version":1,"adapters":[]}]'
	standin desk-a server --name=desk-a
	list_server desk-a desk "$port" '[]'
	put_object config main '{"version":1,"services":[{"name":"desk"},{"name":"llm","engine":{"slots":8,"kv_capacity":100000,"weights_mb":200000,"adapter_slots":8,"loads_per_s":2,"models":[{"name":"notes","weights_mb":70000,"load_s":1}]}}],"routes":[{"name":"pay","hostname":"demo.example","path_prefix":"/pay/","type":"unsafe","timeout_ms":2000,"max_attempts":1,"service":"desk"},{"name":"notes","hostname":"demo.example","path_prefix":"/notes/","type":"streaming","timeout_ms":5000,"target_latency_ms":400,"max_attempts":2,"resumable":true,"service":"llm"}],"tenants":[{"name":"studio","api_keys":["demo-key"]}]}'
	for i in 1 2; do
		edge_entry "edge-$i"
		await 10 curl -sf "http://$edge_ready/readyz" ||
		    fail "edge-$i was not ready in 10 s"
	done
	say "two instances on the users' platform are ready"
	edge_ask() {
		curl -sS --max-time 10 -H 'Host: demo.example' \
		    -H 'X-Attempt-Id: demo-1' -H "Authorization: Bearer $1" \
		    "${@:2}"
	}
	[ "$(edge_ask demo-key -d '{}' "http://$edge_address/pay/1")" = "done" ] ||
	    fail "the charge on the users' platform"
	say "a charge was taken"
	[ "$(edge_ask demo-key -H 'X-Model: notes' -H 'X-Token-Count: 20,30' \
	    -d hello "http://$edge_address/notes/1" | grep -c '^id:')" = 3 ] ||
	    fail "the stream on the users' platform"
	say "a stream of three events was whole"
	[ "$(edge_ask no-key -o /dev/null -w '%{http_code}' -d '{}' "http://$edge_address/pay/1")" = 401 ] ||
	    fail "an unknown key was taken"
	kill -TERM "$edge_pid"
	wait "$edge_pid" || fail "edge-2 ended with $?"
	grep -q 'call: req=demo-1 ended outcome=answered' "$work/edge-2.log" ||
	    fail "the log has no line for the charge"
	say "edge-2 stopped; its log tells of each request"
}
