# Shared by the measuring scripts: fleets of a given size, and the load tool.
# Source it; set `step` (microseconds a token takes) before calling start_engines.

profile=release host=201 notice=100ms level="${level:-warn}"
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"

start_engines() { # count
    local n
    for n in $(seq 1 "$1"); do
        start "engine-$n" bluebell-standins engine --listen "$ip:$((4000 + n))" --step "$step" --slope "${slope:-0}" --batch "${slots:-4096}"
    done
}

# Starts the store, sidecars before engines 1 to the first number, and as many entries as the second.
start_fleet() { # engines, entries
    local n zone serves="atlas-small@1, atlas-small@2, atlas-large@1"
    local zones=(tiznit taroudant agadir inezgane)
    start_store
    for n in $(seq 1 "$1"); do
        zone="${zones[$((n % ${zone_count:-2}))]}"
        {
            common "sidecar-$n" "$zone" sidecar "$((5000 + n))" "$((5200 + n))"
            echo "runner: { id: runner-$n, url: \"http://$ip:$((4000 + n))\", kind: engine, serves: [$serves], slots: ${slots:-4096} }"
        } >"$dir/sidecar-$n.yaml"
        start "sidecar-$n" bluebelld --config "$dir/sidecar-$n.yaml"
        list_instance "sidecar-$n" sidecar "$zone" "$((5200 + n))" "$serves"
    done
    for n in $(seq 1 "$2"); do
        zone="${zones[$((n % ${zone_count:-2}))]}"
        common "entry-$n" "$zone" entry "$((6000 + n))" "$((6200 + n))" >"$dir/entry-$n.yaml"
        start "entry-$n" bluebelld --config "$dir/entry-$n.yaml"
        list_instance "entry-$n" entry "$zone" "$((6200 + n))"
    done
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
