# Shared by the demo and the measurement scripts: builds the workspace, starts processes on a loopback address that is
# derived from the shell's process id, and stops them on exit. Only processes started here are stopped, by their ids.
# Set `profile` (debug or release) and `last_octet` (of the loopback address) before sourcing this file.
# Optional: `notice`, `threads` and `level` set timing.notice, threads.traffic and log in the daemons' configuration.

cd "$(dirname "${BASH_SOURCE[0]}")/.."
build=()
[ "$profile" = release ] && build=(--release)
cargo build "${build[@]}" --workspace --locked --quiet
bin="${CARGO_TARGET_DIR:-target}/$profile"
dir="$(mktemp -d)"
ip="127.$((1 + $$ % 250)).$((1 + $$ / 250 % 250)).$last_octet"
store="$ip:3000"
daemons=()
standins=()

stop_processes() {
    for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "$@"; do wait "$pid" 2>/dev/null || true; done
}
# Stops the daemons before the store, because they write their last billing rows to it while they shut down.
clean_up() {
    stop_processes "${daemons[@]}"
    stop_processes "${standins[@]}"
    rm -rf "$dir"
}
trap clean_up EXIT

start() { # name, program, arguments...
    local name="$1" program="$2"
    shift 2
    "$bin/$program" "$@" >"$dir/$name.log" 2>&1 &
    echo "$!" >"$dir/$name.pid"
    if [ "$program" = bluebelld ]; then daemons+=($!); else standins+=($!); fi
}
sha256_hex() { printf '%s' "$1" | sha256sum | cut -c1-64; }
# Runs a command every 0.1 s until it succeeds; exits with an error after 300 failed attempts.
wait_until() { # description, command...
    local description="$1"
    shift
    for _ in $(seq 1 300); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    echo "timed out waiting for $description" >&2
    exit 1
}
start_store() {
    start store bluebell-standins store --listen "$store"
    wait_until "the store" curl -fsS "http://$store/control/rows/bluebell-instances"
}
# Adds an instance to the store's table of instances.
register_instance() { # instance, role, zone, peers port, served versions or service
    local quoted
    quoted="$(printf '%s' "${5:-}" | sed 's/[^, ][^,]*/"&"/g')"
    curl -fsS -X PUT "http://$store/control/rows/bluebell-instances/$1" \
        -d "{\"instance\":\"$1\",\"role\":\"$2\",\"zone\":\"$3\",\"address\":\"$ip:$4\",\"serves\":[$quoted]}" >/dev/null
}

# Prints the part of the configuration that entries and sidecars have in common.
print_common_config() { # instance, zone, role, public port, peers port
    cat <<YAML
instance: { id: $1, zone: $2, role: $3 }
listen: { public: "$ip:$4", peers: "$ip:$5" }
store: $store
keys: { active: k1, known: { k1: 000102030405060708090a0b0c0d0e0f } }
operators: { fatima: $(sha256_hex operator-key) }
timing: { notice: ${notice:-200ms} }
threads: { traffic: ${threads:-2} }
log: ${level:-info}
YAML
}
