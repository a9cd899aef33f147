# Shared by the demo and the measuring scripts: starts processes on a loopback address of its own and stops them by id.
# Set `profile` (debug or release) and `host` (last number of the address) before sourcing it.

cd "$(dirname "${BASH_SOURCE[0]}")/.."
build=()
[ "$profile" = release ] && build=(--release)
cargo build "${build[@]}" --workspace --locked --quiet
bin="${CARGO_TARGET_DIR:-target}/$profile"
dir="$(mktemp -d)"
ip="127.$((1 + $$ % 250)).$((1 + $$ / 250 % 250)).$host"
store="$ip:3000"
daemons=()
others=()

stop_each() {
    for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "$@"; do wait "$pid" 2>/dev/null || true; done
}
# The daemons store their last billing rows before the store goes.
stop_all() {
    stop_each "${daemons[@]}"
    stop_each "${others[@]}"
    rm -rf "$dir"
}
trap stop_all EXIT

start() { # name, program, arguments...
    local name="$1" program="$2"
    shift 2
    "$bin/$program" "$@" >"$dir/$name.log" 2>&1 &
    echo "$!" >"$dir/$name.pid"
    if [ "$program" = bluebelld ]; then daemons+=($!); else others+=($!); fi
}
digest() { printf '%s' "$1" | sha256sum | cut -c1-64; }
until_ok() { # description, command...
    local what="$1"
    shift
    for _ in $(seq 1 300); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    echo "gave up waiting for $what" >&2
    exit 1
}
start_store() {
    start store bluebell-standins store --listen "$store"
    until_ok "the store" curl -fsS "http://$store/control/rows/bluebell-instances"
}
list_instance() { # instance, role, zone, peers port, what it serves
    local quoted
    quoted="$(printf '%s' "${5:-}" | sed 's/[^, ][^,]*/"&"/g')"
    curl -fsS -X PUT "http://$store/control/rows/bluebell-instances/$1" \
        -d "{\"instance\":\"$1\",\"role\":\"$2\",\"zone\":\"$3\",\"address\":\"$ip:$4\",\"serves\":[$quoted]}" >/dev/null
}

common() { # instance, zone, role, public port, peers port
    cat <<YAML
instance: { id: $1, zone: $2, role: $3 }
listen: { public: "$ip:$4", peers: "$ip:$5" }
store: $store
keys: { active: k1, known: { k1: 000102030405060708090a0b0c0d0e0f } }
operators: { fatima: $(digest operator-key) }
timing: { notice: ${notice:-200ms} }
threads: { traffic: ${threads:-2} }
log: ${level:-info}
YAML
}
