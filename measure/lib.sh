# Sourced by the measurement scripts: starts fleets of a given size and runs the load generator.
# Set `step` (time of one decoding step of an engine, in microseconds) before calling start_engines.
# Optional: `slope` (time in microseconds that each further sequence in a batch adds to a step), `slots` (size of an
# engine's batch and slots of its sidecar), `zone_count` (1 to 4), `settings` (file with the settings tree), `threads`
# and `level` (see fleet.sh).

profile=release last_octet=201 notice=100ms level="${level:-warn}"
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"

start_engines() { # count
    local n
    for n in $(seq 1 "$1"); do
        start "engine-$n" bluebell-standins engine --listen "$ip:$((4000 + n))" --step "$step" --slope "${slope:-0}" --batch "${slots:-4096}"
    done
}

# Starts the store, one sidecar for each of the first N engines, and the entries; returns when all are ready.
start_fleet() { # number of sidecars, number of entries
    local n zone serves="atlas-small@1, atlas-small@2, atlas-large@1"
    local zones=(tiznit taroudant agadir inezgane)
    start_store
    for n in $(seq 1 "$1"); do
        zone="${zones[$((n % ${zone_count:-2}))]}"
        {
            print_common_config "sidecar-$n" "$zone" sidecar "$((5000 + n))" "$((5200 + n))"
            echo "runner: { id: runner-$n, url: \"http://$ip:$((4000 + n))\", kind: engine, serves: [$serves], slots: ${slots:-4096} }"
        } >"$dir/sidecar-$n.yaml"
        start "sidecar-$n" bluebelld --config "$dir/sidecar-$n.yaml"
        register_instance "sidecar-$n" sidecar "$zone" "$((5200 + n))" "$serves"
    done
    for n in $(seq 1 "$2"); do
        zone="${zones[$((n % ${zone_count:-2}))]}"
        print_common_config "entry-$n" "$zone" entry "$((6000 + n))" "$((6200 + n))" >"$dir/entry-$n.yaml"
        start "entry-$n" bluebelld --config "$dir/entry-$n.yaml"
        register_instance "entry-$n" entry "$zone" "$((6200 + n))"
    done
    export BLUEBELL_ENTRY="http://$ip:6001" BLUEBELL_KEY="operator-key"
    wait_until "the settings" "$bin/bluebellctl" settings set "${settings:-sample_configs/settings/valid/two_crews.yaml}"
    local sidecars="$1" entries="$2"
    # An entry connects to at most 16 sidecars that serve the same versions: 12 in its zone and 4 in other zones.
    entries_connected() {
        local n
        for n in $(seq 1 "$entries"); do
            curl -fsS "http://$ip:$((6000 + n))/readyz" || return 1
            [ "$("$bin/bluebellctl" --entry "http://$ip:$((6000 + n))" members | grep sidecar | grep -c 'connected=true')" -ge "$((sidecars < 16 ? sidecars : 16))" ] || return 1
        done
    }
    wait_until "the entries to be ready" entries_connected
}

run_load() { # arguments of the load generator
    "$bin/bluebell-standins" load --json "$@"
}
