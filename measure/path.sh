#!/usr/bin/env bash
# Measures the latency that the router adds. Each round sends the same load to three targets in turn: `direct` (the
# engines themselves), `floor` (two pass-through proxies in a row, as many hops as entry and sidecar but without any
# routing decision) and `bluebell` (entries and sidecars).
# Arguments: rate (requests/s), duration of each measurement (s), number of rounds.
set -euo pipefail
rate="${1:-1000}" seconds="${2:-5}" rounds="${3:-3}"
step=0
source "$(dirname "$0")/lib.sh"
start_engines 3
for n in 1 2 3; do start "hop-$n" bluebell-standins floor --listen "$ip:$((7000 + n))" --next "http://$ip:$((4000 + n))"; done
for n in 1 2; do
    start "front-$n" bluebell-standins floor --listen "$ip:$((7100 + n))" \
        --next "http://$ip:7001" --next "http://$ip:7002" --next "http://$ip:7003"
done
start_fleet 3 2
direct=(--target "http://$ip:4001" --target "http://$ip:4002" --target "http://$ip:4003")
floor=(--target "http://$ip:7101" --target "http://$ip:7102")
bluebell=(--target "http://$ip:6001" --target "http://$ip:6002")
print_report() { # target, JSON report of the load generator
    echo "$2" | python3 -c '
import json, sys
report = json.load(sys.stdin)
for caller in report["callers"].values():
    first, total = caller["first_ms"], caller["total_ms"]
    print("%-20s served/s %8.0f  failed %d refused %d  first p50 %.2f p99 %.2f  total p50 %.2f p99 %.2f ms" % (
        sys.argv[1], report["served_per_second"], caller["failed"], caller["refused"],
        first["p50"], first["p99"], total["p50"], total["p99"]))' "$1"
}
for round in $(seq 1 "$rounds"); do
    for stream in "" --stream; do
        echo "round $round, $rate requests/s, ${stream:-not streamed}, 16 tokens"
        for target in direct floor bluebell; do
            declare -n urls="$target"
            print_report "$target" "$(run_load "${urls[@]}" --key kovacs-bench-key --rate "$rate" --seconds "$seconds" --tokens 16 $stream)"
        done
    done
    echo "round $round, closed loop, 128 senders, not streamed, 1 token"
    for target in direct floor bluebell; do
        declare -n urls="$target"
        print_report "$target" "$(run_load "${urls[@]}" --key kovacs-bench-key --closed 128 --seconds "$seconds" --tokens 1)"
    done
done
