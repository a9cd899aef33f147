# Shared by the measuring scripts: starts processes on a loopback address of its own and stops them by id.
# Source it; set `step` (microseconds a token takes) before calling start_engines.

cd "$(dirname "${BASH_SOURCE[0]}")/.."
bin="${CARGO_TARGET_DIR:-target}/release"
cargo build --release --workspace --locked --quiet
dir="$(mktemp -d)"
ip="127.$((1 + $$ % 250)).$((1 + $$ / 250 % 250)).201"
platform="$ip:3000"
daemons=()
others=()

stop_each() {
    for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "$@"; do wait "$pid" 2>/dev/null || true; done
}
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

start_engines() { # count
    local n
    for n in $(seq 1 "$1"); do
        start "engine-$n" bluebell-standins engine --listen "$ip:$((4000 + n))" --step "$step" --slope "${slope:-0}" --batch "${slots:-4096}"
    done
}

common() { # instance, zone, role, public port, peers port
    cat <<YAML
instance: { id: $1, zone: $2, role: $3 }
listen: { public: "$ip:$4", peers: "$ip:$5" }
platform:
  table: http://$platform
  objects: http://$platform
  instances: http://$platform
  ratings: http://$platform
  weights: http://$platform
keys: { active: k1, known: { k1: 000102030405060708090a0b0c0d0e0f } }
operators: { fatima: $(digest operator-key) }
timing: { notice: 100ms }
threads: { traffic: ${threads:-2} }
log: ${level:-warn}
YAML
}

# Starts the platform, sidecars before engines 1 to the first number, and as many entries as the second.
start_fleet() { # engines, entries
    local n zone list=""
    local zones=(tiznit taroudant agadir inezgane)
    start platform bluebell-standins platform --listen "$platform"
    for n in $(seq 1 "$1"); do
        zone="${zones[$((n % ${zone_count:-2}))]}"
        {
            common "sidecar-$n" "$zone" sidecar "$((5000 + n))" "$((5200 + n))"
            echo "runner: { id: runner-$n, url: \"http://$ip:$((4000 + n))\", kind: engine, serves: [atlas-small@1, atlas-small@2, atlas-large@1], slots: ${slots:-4096} }"
        } >"$dir/sidecar-$n.yaml"
        start "sidecar-$n" bluebelld --config "$dir/sidecar-$n.yaml"
        list="$list{\"instance\":\"sidecar-$n\",\"role\":\"sidecar\",\"zone\":\"$zone\",\"address\":\"$ip:$((5200 + n))\",\"serves\":[\"atlas-small@1\",\"atlas-small@2\",\"atlas-large@1\"]},"
    done
    for n in $(seq 1 "$2"); do
        zone="${zones[$((n % ${zone_count:-2}))]}"
        common "entry-$n" "$zone" entry "$((6000 + n))" "$((6200 + n))" >"$dir/entry-$n.yaml"
        start "entry-$n" bluebelld --config "$dir/entry-$n.yaml"
        list="$list{\"instance\":\"entry-$n\",\"role\":\"entry\",\"zone\":\"$zone\",\"address\":\"$ip:$((6200 + n))\"},"
    done
    put_list() { curl -fsS -X PUT "http://$platform/instances" -H 'content-type: application/json' -d "[${list%,}]"; }
    until_ok "the platform" put_list
    export BLUEBELL_ENTRY="http://$ip:6001" BLUEBELL_KEY="operator-key"
    until_ok "the settings" "$bin/bluebellctl" settings set "${settings:-sample_configs/settings/valid/two_crews.yaml}"
    local count="$1" entries="$2"
    connected() {
        local e
        for e in $(seq 1 "$entries"); do
            curl -fsS "http://$ip:$((6000 + e))/readyz" || return 1
            [ "$("$bin/bluebellctl" --entry "http://$ip:$((6000 + e))" members | grep sidecar | grep -c 'connected=true')" -ge "$((count < 16 ? count : 16))" ] || return 1
        done
    }
    until_ok "the entries to be ready" connected
}

load() { # arguments of the load tool
    "$bin/bluebell-standins" load --json "$@"
}
