#!/usr/bin/env bash
# Runs every part as a separate process on loopback: a store, two balancers,
# three agents with their targets, and a caller. While the caller keeps sessions
# open, one balancer is killed and another joins. The ledgers of caller and
# targets are reconciled at the end.
#
# usage: demo.sh BIN, where BIN holds amaranthwheel, amaranthctl and standin.
set -euo pipefail

bin=$(cd "$1" && pwd)
dir=$(mktemp -d)
pids=()
declare -A pid_of

# finish ends only the processes that this script has started.
finish() {
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap finish EXIT

say() {
	echo "demo: $*"
}

# run NAME COMMAND... starts a process in the background.
run() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pid_of[$name]=$!
	pids+=("$!")
}

# fail shows the logs and ends the demo.
fail() {
	say "$*"
	tail -n 15 "$dir"/*.log
	exit 1
}

# balancer N writes the settings of a balancer and starts it.
balancer() {
	cat >"$dir/balancer-$1.toml" <<-EOF
		node = "balancer-$1"
		domain = "om-north-a"
		cluster = "demo"
		secrets = ["demo-secret-0123456789"]
		data = "127.0.1.$1:7000"
		control = "127.0.1.$1:7001"
		admin = "127.0.1.$1:7002"
		seeds = ["127.0.1.1:7001", "127.0.1.2:7001"]
		bind = "127.0.1.$1"
		stop_timeout = "2s"
		[store]
		endpoints = ["http://127.0.0.1:12379"]
	EOF
	run "balancer-$1" "$bin/amaranthwheel" balancer --config "$dir/balancer-$1.toml"
}

# agent N DOMAIN writes the settings of an agent, and starts it and its target.
agent() {
	cat >"$dir/agent-$1.toml" <<-EOF
		node = "agent-$1"
		domain = "$2"
		cluster = "demo"
		secrets = ["demo-secret-0123456789"]
		data = "127.0.2.$1:7000"
		control = "127.0.2.$1:7001"
		admin = "127.0.2.$1:7002"
		announce = "127.0.2.$1:7003"
		seeds = ["127.0.1.1:7001", "127.0.1.2:7001"]
		certificate = "$dir/cert.pem"
		private_key = "$dir/key.pem"
		stop_timeout = "5s"
	EOF
	run "agent-$1" "$bin/amaranthwheel" agent --config "$dir/agent-$1.toml"
	run "target-$1" "$bin/standin" target --name "lease-desk-$1" --service lease-desk \
		--listen "127.0.2.$1:8080" --admin "127.0.2.$1:8081" --announce "127.0.2.$1:7003" \
		--slots 10 --connections 2000 --ledger "$dir/target-$1.ledger"
}

"$bin/standin" certs --dir "$dir" >/dev/null
cat >"$dir/config.toml" <<EOF
[[domain]]
name = "om-north-a"
region = "om-north"

[[domain]]
name = "om-north-b"
region = "om-north"

[[domain]]
name = "om-north-c"
region = "om-north"

[[service]]
name = "lease-desk"
mode = "request"
address = "127.0.1.100:14433"
domains = ["om-north-a", "om-north-b", "om-north-c"]
targets = ["lease-desk-*"]
max_slots = 10
max_connections = 2000
idle_timeout = "30s"
request_timeout = "10s"
EOF

say "starting the store, two balancers, three agents and their targets"
run store "$bin/standin" store --listen 127.0.0.1:12379 --admin 127.0.0.1:12380
balancer 1
balancer 2
agent 1 om-north-a
agent 2 om-north-b
agent 3 om-north-c

export AMARANTH_STORE=http://127.0.0.1:12379
export AMARANTH_BALANCERS=127.0.1.1:7002,127.0.1.2:7002
say "applying the configuration"
for _ in $(seq 50); do
	if "$bin/amaranthctl" --cluster demo apply "$dir/config.toml" >"$dir/apply.log" 2>&1; then
		break
	fi
	sleep 0.2
done
cat "$dir/apply.log"

for _ in $(seq 100); do
	ready=$("$bin/amaranthctl" --cluster demo status 2>/dev/null | grep -c 'lease-desk-[0-9]' || true)
	[ "$ready" -ge 3 ] && break
	sleep 0.1
done
"$bin/amaranthctl" --cluster demo status || fail "no status"

echo 127.0.1.1:14433,127.0.1.2:14433 >"$dir/balancers"
say "calling for 10 s over 20 long sessions and 20 short ones a second"
run caller "$bin/standin" caller --service lease-desk --address 127.0.1.100:14433 \
	--balancers-file "$dir/balancers" --ca "$dir/cert.pem" --strict-source \
	--ledger "$dir/caller.ledger" --sessions 20 --short-rate 20 --duration 10s
sleep 3
say "killing balancer-1, starting balancer-3"
kill -KILL "${pid_of[balancer-1]}"
balancer 3
echo 127.0.1.2:14433,127.0.1.3:14433 >"$dir/balancers"

wait "${pid_of[caller]}" || fail "the caller failed"
say "stopping the targets"
for i in 1 2 3; do
	kill -TERM "${pid_of[target-$i]}"
	wait "${pid_of[target-$i]}" || fail "target-$i did not stop"
done
"$bin/standin" reconcile --caller "$dir/caller.ledger" --target "$dir/target-*.ledger" --prefix demo ||
	fail "the ledgers do not reconcile"
