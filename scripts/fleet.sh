# fleet.sh: functions for scripts that start a small fleet on loopback.
# The caller sets `bin` (folder of the programs) and `work` (a new folder for
# logs and other files) and calls fleet_cleanup on exit, which ends all
# processes in `pids` and removes the folder `work`.

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

info() { echo "$(basename "$0"): $*"; }

# await SECONDS COMMAND...: repeats a command until it succeeds. Returns 1 if it
# has not succeeded within the time.
await() {
	local limit=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -lt "$limit" ] || return 1
		sleep 0.05
	done
}

# start_standin NAME KIND SETTINGS...: starts a stand-in; sets $port.
start_standin() {
	local name=$1 kind=$2
	shift 2
	"$bin/almond-standin" "$kind" "$@" >"$work/$name.out" \
	    2>"$work/$name.log" &
	pids+=($!)
	await 5 grep -q 'listens on port' "$work/$name.out" ||
	    fail "$name was not listening within 5 s"
	port=$(sed -n 's/.*listens on port //p' "$work/$name.out")
}

# list_instance NAME JSON: adds an entry to the platform's instance list.
list_instance() {
	curl -sf -X PUT -d "$2" \
	    "http://$ALMONDTHREAD_PLATFORM/v1/instances/$1" >/dev/null ||
	    fail "$1 could not be added to the instance list"
}

# start_engine NAME DATA_CENTRE SETTINGS...: starts an engine and adds it to the
# instance list; sets $port.
start_engine() {
	local name=$1 dc=$2
	shift 2
	start_standin "$name" engine --name="$name" "$@"
	list_instance "$name" "{\"kind\":\"engine\",\"data_centre\":\"$dc\",\"address\":\"127.0.0.1:$port\"}"
}

# start_entry NAME DATA_CENTRE SETTINGS...: starts an entry instance and adds it
# to the instance list; sets $entry_pid and the addresses $entry_address (for
# callers), $entry_operators and $entry_peers.
start_entry() {
	local name=$1 dc=$2 line
	shift 2
	"$bin/almondthreadd" --name="$name" --data-centre="$dc" \
	    --listen=127.0.0.1:0 --operators=127.0.0.1:0 \
	    --peers=127.0.0.1:0 \
	    "$@" 2>"$work/$name.log" &
	entry_pid=$!
	pids+=("$entry_pid")
	await 5 grep -q 'callers on port' "$work/$name.log" ||
	    fail "$name was not serving within 5 s"
	line=$(grep 'callers on port' "$work/$name.log")
	entry_address=127.0.0.1:$(echo "$line" |
	    sed 's/.*callers on port \([0-9]*\).*/\1/')
	entry_operators=127.0.0.1:$(echo "$line" |
	    sed 's/.*operators on port \([0-9]*\).*/\1/')
	entry_peers=127.0.0.1:$(echo "$line" |
	    sed 's/.*peers on port \([0-9]*\).*/\1/')
	list_instance "$name" "{\"kind\":\"entry\",\"data_centre\":\"$dc\",\"address\":\"$entry_address\",\"peer_address\":\"$entry_peers\"}"
}

# give_key WORKSPACE ID: creates a key; sets $key to its text.
give_key() {
	"$bin/almondctl" key give "$1" "$2" >"$work/key.out" || fail "almondctl key give $1 $2"
	key=$(sed -n 's/.*only now: //p' "$work/key.out")
}

# is_in_force ADDRESS GENERATION: whether exactly this generation of the
# configuration is in force at the instance with this operators' address.
is_in_force() {
	curl -sf "http://$1/metrics" |
	    grep -q "^almondthread_config_generation $2\$"
}
