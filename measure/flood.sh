#!/usr/bin/env bash
# Measures the latency and success rate of urgent requests and of small callers while another caller floods a small
# fleet. Two engines with 8 slots each and requests of 20 tokens at 5 ms give a capacity of about 160 requests/s; a
# flood is ten times as much. Arguments: duration of each load run (s), random seeds.
set -euo pipefail
seconds="${1:-10}"
shift || true
seeds=("${@:-1}")
step=5000
slots=8
threads=2
source "$(dirname "$0")/lib.sh"
start_engines 2
start_fleet 2 2
caller_json() { # name, key, weight, priority
    printf '{"name":"%s","key":"%s","weight":%s,"priority":"%s","tokens":20,"stream":true}' "$1" "$2" "$3" "$4"
}
write_mix() { # file, callers...
    local file="$1" IFS=,
    shift
    printf '{"callers":[%s]}' "$*" >"$dir/$file"
}
write_mix alone "$(caller_json urgent atlas-van-key 1 urgent)"
write_mix flood "$(caller_json urgent atlas-van-key 15 urgent)" "$(caller_json batch-flood atlas-desk-key 1600 batch)"
write_mix flat "$(caller_json urgent atlas-van-key 15 normal)" "$(caller_json batch-flood atlas-desk-key 1600 normal)"
write_mix greedy "$(caller_json small-urgent atlas-van-key 15 urgent)" "$(caller_json greedy-urgent kovacs-counter-key 1600 urgent)" \
    "$(caller_json normal kovacs-bench-key 30 normal)" "$(caller_json batch atlas-desk-key 15 batch)"
run_mix() { # title, mix, rate, seed
    echo "$1, seed $4"
    "$bin/bluebell-standins" load --target "http://$ip:6001" --target "http://$ip:6002" --mix "$dir/$2" --rate "$3" \
        --seconds "$seconds" --seed "$4" --bound 20000
}
for seed in "${seeds[@]}"; do
    run_mix "urgent requests alone" alone 15 "$seed"
    run_mix "flood of batch requests at ten times the capacity" flood 1615 "$seed"
    sleep 8
    run_mix "baseline: the same flood, all requests with one priority" flat 1615 "$seed"
    sleep 8
    run_mix "flood of urgent requests from one organisation at ten times the capacity" greedy 1660 "$seed"
    sleep 8
done
