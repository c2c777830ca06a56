# fleet.sh: functions for scripts that start a small fleet on loopback.
# The caller sets `bin` and `work` and calls fleet_cleanup on exit.

pids=()
export ALMONDTHREAD_SECRET=000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f

fleet_cleanup() {
	local pid
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$work"
}

fail() {
	echo "$(basename "$0"): FAILED: $*" >&2
	tail -n 5 "$work"/*.log >&2 || true
	exit 1
}

say() { echo "$(basename "$0"): $*"; }

# await SECONDS COMMAND...: until the command succeeds.
await() {
	local limit=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -lt "$limit" ] || return 1
		sleep 0.05
	done
}

# standin NAME KIND SETTINGS...: starts one; its port is left in $port.
standin() {
	local name=$1 kind=$2
	shift 2
	"$bin/almond-standin" "$kind" "$@" >"$work/$name.out" \
	    2>"$work/$name.log" &
	pids+=($!)
	await 5 grep -q 'listens on port' "$work/$name.out" ||
	    fail "$name did not start"
	port=$(sed -n 's/.*listens on port //p' "$work/$name.out")
}

# instance NAME JSON: puts one into the platform's instance list.
instance() {
	curl -sf -X PUT -d "$2" \
	    "http://$ALMONDTHREAD_PLATFORM/v1/instances/$1" >/dev/null ||
	    fail "cannot list $1"
}

# engine NAME DATA_CENTRE SETTINGS...: starts an engine and lists it.
engine() {
	local name=$1 dc=$2
	shift 2
	standin "$name" engine --name="$name" "$@"
	instance "$name" "{\"kind\":\"engine\",\"data_centre\":\"$dc\",\"address\":\"127.0.0.1:$port\"}"
}

# entry NAME DATA_CENTRE SETTINGS...: starts an entry instance and lists it;
# leaves $entry_pid, $entry_address (callers), $entry_operators and
# $entry_peers.
entry() {
	local name=$1 dc=$2 line
	shift 2
	"$bin/almondthreadd" --name="$name" --data-centre="$dc" \
	    --listen=127.0.0.1:0 --operators=127.0.0.1:0 \
	    --peers=127.0.0.1:0 \
	    "$@" 2>"$work/$name.log" &
	entry_pid=$!
	pids+=("$entry_pid")
	await 5 grep -q 'is serving: callers on port' "$work/$name.log" ||
	    fail "$name did not start"
	line=$(grep 'is serving: callers on port' "$work/$name.log")
	entry_address=127.0.0.1:$(echo "$line" |
	    sed 's/.*callers on port \([0-9]*\).*/\1/')
	entry_operators=127.0.0.1:$(echo "$line" |
	    sed 's/.*operators on port \([0-9]*\).*/\1/')
	entry_peers=127.0.0.1:$(echo "$line" |
	    sed 's/.*peers on port \([0-9]*\).*/\1/')
	instance "$name" "{\"kind\":\"entry\",\"data_centre\":\"$dc\",\"address\":\"$entry_address\",\"peer_address\":\"$entry_peers\"}"
}

# give_key WORKSPACE ID: leaves the key's text in $key.
give_key() {
	"$bin/almondctl" key give "$1" "$2" >"$work/key.out" || fail "key give"
	key=$(sed -n 's/.*only now: //p' "$work/key.out")
}

# in_force ADDRESS GENERATION: an instance has at least this generation.
in_force() {
	curl -sf "http://$1/metrics" |
	    grep -q "^almondthread_config_generation $2\$"
}
