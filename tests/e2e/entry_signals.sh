#!/bin/bash
# Signals that reach almond-entry while it starts. Its settings file is a named
# pipe, so that the process waits in the middle of its start.
# Usage: entry_signals.sh BIN_DIR
set -u
bin=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
. scripts/fleet.sh
trap fleet_cleanup EXIT

# SIGHUP says that the settings file has changed; the start must not end by it.
cat >"$work/ready.conf" <<-END
	name=edge
	data-centre=north
	listen=127.0.0.1:0
	ready=127.0.0.1:0
	peers=127.0.0.1:0
	store=127.0.0.1:9
END
mkfifo "$work/edge.conf"
ALMONDTHREAD_NODE_FILE="$work/edge.conf" \
    "$bin/almond-entry" >"$work/edge.log" 2>&1 &
pids+=("$!")
exec 3>"$work/edge.conf" # returns when the process reads the file
kill -HUP "${pids[0]}"
cat "$work/ready.conf" >&3
mv "$work/ready.conf" "$work/edge.conf"
exec 3>&-
await 10 grep -q 'settings reloaded' "$work/edge.log" ||
    fail "the settings were not read again within 10 s after SIGHUP"
kill -0 "${pids[0]}" || fail "the process has ended"
info "a signal during the start: ok"
