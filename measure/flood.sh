#!/usr/bin/env bash
# Floods at a small fleet: what urgent work and small callers keep. Two engines with 8 places each and 20 tokens of 5 ms
# carry about 160 requests/s. Arguments: seconds of each part, seeds.
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
caller() { # name, key, weight, rank
    printf '{"name":"%s","key":"%s","weight":%s,"priority":"%s","tokens":20,"stream":true}' "$1" "$2" "$3" "$4"
}
mix() { # file, callers...
    local file="$1" IFS=,
    shift
    printf '{"callers":[%s]}' "$*" >"$dir/$file"
}
mix alone "$(caller urgent atlas-van-key 1 urgent)"
mix flood "$(caller urgent atlas-van-key 15 urgent)" "$(caller batch-flood atlas-desk-key 1600 batch)"
mix flat "$(caller urgent atlas-van-key 15 normal)" "$(caller batch-flood atlas-desk-key 1600 normal)"
mix greedy "$(caller small-urgent atlas-van-key 15 urgent)" "$(caller greedy-urgent kovacs-counter-key 1600 urgent)" \
    "$(caller normal kovacs-bench-key 30 normal)" "$(caller batch atlas-desk-key 15 batch)"
run() { # title, mix, rate, seed
    echo "$1, seed $4"
    "$bin/bluebell-standins" load --target "http://$ip:6001" --target "http://$ip:6002" --mix "$dir/$2" --rate "$3" \
        --seconds "$seconds" --seed "$4" --bound 20000
}
for seed in "${seeds[@]}"; do
    run "urgent alone" alone 15 "$seed"
    run "tenfold flood of batch work" flood 1615 "$seed"
    sleep 8
    run "baseline: the same flood, all of one rank" flat 1615 "$seed"
    sleep 8
    run "tenfold flood of urgent work from one organisation" greedy 1660 "$seed"
    sleep 8
done
