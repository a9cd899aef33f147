#!/usr/bin/env bash
# Measures CPU time, memory and network traffic of the control plane: in idle fleets of several sizes, and in one fleet
# under load as well. Argument: duration of each sample (s).
set -euo pipefail
seconds="${1:-10}"
step=1000
slots=16
source "$(dirname "$0")/lib.sh"
for size in "4 2" "8 2" "16 2" "32 2" "16 4" "16 8"; do
    read -r sidecars entries <<<"$size"
    start_engines "$sidecars"
    start_fleet "$sidecars" "$entries"
    sleep 3
    echo "idle, $sidecars sidecars, $entries entries"
    python3 measure/sample.py "$dir" "$seconds"
    if [ "$size" = "16 4" ]; then
        run_load --target "http://$ip:6001" --target "http://$ip:6002" --target "http://$ip:6003" --target "http://$ip:6004" \
            --key kovacs-bench-key --rate 200 --seconds "$((seconds + 2))" --tokens 16 --stream >"$dir/load.json" &
        load_pid=$!
        sleep 1
        echo "200 requests/s of 16 tokens, $sidecars sidecars, $entries entries"
        python3 measure/sample.py "$dir" "$seconds"
        wait "$load_pid"
    fi
    stop_processes "${daemons[@]}"
    stop_processes "${standins[@]}"
    daemons=()
    standins=()
    rm -f "$dir"/*.pid
done
