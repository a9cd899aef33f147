#!/usr/bin/env bash
# Starts a small fleet on a loopback address of its own, shows requests of two organisations passing through it while
# operators change things, checks what is seen, and stops everything it started.
set -euo pipefail
profile=debug host=200
source "$(dirname "$0")/measure/fleet.sh"
failures=0

say() { printf '\n\033[1m%s\033[0m\n' "$*"; }
expect() { # description, wanted, found
    if [ "$2" = "$3" ]; then
        printf '  ok    %s: %s\n' "$1" "$3"
    else
        printf '  FAIL  %s: wanted %s, found %s\n' "$1" "$2" "$3"
        failures=$((failures + 1))
    fi
}

runner() { # number, zone, kind, serves, slots
    cat <<YAML
runner: { id: runner-$1, url: "http://$ip:$((4000 + $1))", kind: $3, serves: [$4], slots: $5 }
YAML
}

say "Starting the store, three engines, a ledger, four sidecars and two entries on $ip"
start_store
versions="atlas-small@1, atlas-small@2, atlas-large@1"
zones=(tiznit taroudant)
for n in 1 2 3 4; do
    zone="${zones[$((n % 2))]}"
    if [ "$n" = 4 ]; then
        serves="ledger" kind="service"
        start "runner-$n" bluebell-standins ledger --listen "$ip:$((4000 + n))" --log "$dir/ledger.runs"
    else
        serves="$versions" kind="engine"
        start "runner-$n" bluebell-standins engine --listen "$ip:$((4000 + n))" --log "$dir/engine-$n.runs" --step 1000
    fi
    { common "sidecar-$n" "$zone" sidecar "$((5000 + n))" "$((5100 + n))"; runner "$n" "$zone" "$kind" "$serves" 16; } >"$dir/sidecar-$n.yaml"
    start "sidecar-$n" bluebelld --config "$dir/sidecar-$n.yaml"
    list_instance "sidecar-$n" sidecar "$zone" "$((5100 + n))" "$serves"
done
for n in 1 2; do
    zone="${zones[$((n % 2))]}"
    common "entry-$n" "$zone" entry "$((6000 + n))" "$((6100 + n))" >"$dir/entry-$n.yaml"
    start "entry-$n" bluebelld --config "$dir/entry-$n.yaml"
    list_instance "entry-$n" entry "$zone" "$((6100 + n))"
done

export BLUEBELL_ENTRY="http://$ip:6001" BLUEBELL_KEY="operator-key"
ctl() { "$bin/bluebellctl" "$@"; }

say "An operator sets the tree of settings"
until_ok "the first settings" ctl settings set sample_configs/settings/valid/two_crews.yaml
ctl settings history
until_ok "entry 1" curl -fsS "http://$ip:6001/readyz"
until_ok "entry 2" curl -fsS "http://$ip:6002/readyz"
connected() { for e in 6001 6002; do [ "$(ctl --entry "http://$ip:$e" members | grep sidecar | grep -c 'connected=true')" = 4 ] || return 1; done; }
until_ok "the sidecars" connected

answered=0
headers="$dir/headers" body="$dir/body"
ask() { # entry port, key, model, session
    local extra=()
    [ -n "${4:-}" ] && extra=(-H "x-session-id: $4")
    curl -sS -D "$headers" -o "$body" "http://$ip:$1/v1/chat/completions" -H "authorization: Bearer $2" "${extra[@]}" \
        -d "{\"model\":\"$3\",\"stream\":true,\"max_tokens\":12,\"messages\":[{\"role\":\"user\",\"content\":\"where is my book\"}]}"
    status="$(awk 'NR==1 {print $2}' "$headers")"
    version="$(tr -d '\r' <"$headers" | awk 'tolower($1)=="x-version:" {print $2}')"
    session="$(tr -d '\r' <"$headers" | awk 'tolower($1)=="x-session-id:" {print $2}')"
    if [ "$status" = 200 ] && tail -n 2 "$body" | grep -q 'DONE'; then
        answered=$((answered + 1))
        printf '%s %s\n' "$2" "$version" >>"$dir/served"
    fi
}

say "Two organisations ask; each gets the cheapest version that is good enough for it"
ask 6001 atlas-van-key auto
expect "Maktabat Atlas, a van" "200 atlas-small@1" "$status $version"
atlas_session="$session"
ask 6002 kovacs-counter-key auto
expect "Kovács Prizmatika, the counter" "200 atlas-large@1" "$status $version"
ask 6001 kovacs-counter-key atlas-small@2
expect "a version that it may not use" "403" "$status"
ask 6001 wrong-key auto
expect "an unknown key" "401" "$status"
ask 6002 atlas-van-key auto "$atlas_session"
expect "the van's session at the other entry" "200 atlas-small@1" "$status $version"

say "A loan is sent three times under one key and recorded once"
for port in 6001 6002 6001; do
    curl -sS -o "$dir/loan-$port" "http://$ip:$port/v1/services/ledger/loans" -H 'authorization: Bearer atlas-van-key' \
        -H 'idempotency-key: loan-7' -d 'book 7 to Amina'
done
expect "replies are the same" "$(cat "$dir/loan-6001")" "$(cat "$dir/loan-6002")"
expect "entries in the ledger" 1 "$(wc -l <"$dir/ledger.runs" | tr -d ' ')"

say "atlas-small@1 is withdrawn while it serves"
ctl --wait version withdraw atlas-small@1
ask 6002 atlas-van-key auto
expect "the van's next request" "200 atlas-small@2" "$status $version"
ask 6001 atlas-van-key auto "$atlas_session"
expect "its old session ends with a typed error" "410" "$status"
ask 6001 atlas-van-key atlas-small@1
expect "asking for it by name" "403" "$status"

say "The spring crew changes one branch: its vans want better answers"
ctl settings get maktabat-vans | head -n 1 >"$dir/spring.yaml"
cat sample_configs/settings/valid/spring_crew.yaml >>"$dir/spring.yaml"
ctl settings diff "$dir/spring.yaml"
ctl --wait settings set "$dir/spring.yaml"
ctl settings explain maktabat-vans | head -n 4
ask 6002 atlas-van-key auto
expect "the van now gets" "200 atlas-large@1" "$status $version"
if ctl settings set "$dir/spring.yaml" 2>"$dir/conflict"; then code=0; else code=$?; fi
expect "a second operator with the old base gets a conflict" 3 "$code"
sed 's/^/    /' "$dir/conflict"

say "Sidecar 1 is told to stop while requests run"
load() {
    "$bin/bluebell-standins" load --target "http://$ip:6001" --target "http://$ip:6002" --key kovacs-bench-key \
        --rate 60 --seconds 4 --tokens 40 --stream --json >"$dir/load.json"
}
load &
load_pid=$!
sleep 1
kill -TERM "$(cat "$dir/sidecar-1.pid")"
if wait "$(cat "$dir/sidecar-1.pid")"; then code=0; else code=$?; fi
expect "exit code of the sidecar" 0 "$code"
runs_before="$(wc -l <"$dir/engine-1.runs" | tr -d ' ')"
wait "$load_pid"
field() { grep -o "\"$1\":[0-9.]*" "$dir/load.json" | head -n 1 | cut -d: -f2; }
expect "requests served of those sent" "$(field sent)" "$(field served)"
answered=$((answered + $(field served)))

say "Accounts"
bills() { curl -fsS "http://$store/control/rows/bluebell-records?part=bill/" | grep -o '"part":"bill/' | wc -l | tr -d ' '; }
billed() { [ "$(bills)" -ge "$answered" ]; }
until_ok "the billing rows" billed
expect "billed rows = answered requests" "$answered" "$(bills)"
expect "work given to the stopped sidecar's engine since" "$runs_before" "$(wc -l <"$dir/engine-1.runs" | tr -d ' ')"

say "Closing table"
printf '  %-22s %s\n' "requests answered" "$answered" "billed rows" "$(bills)"
curl -fsS "http://$store/control/rows/bluebell-records?part=bill/" | grep -o '"version":"[^"]*@[^"]*"' | sort | uniq -c | sed 's/"version"://; s/^/  version /'
for port in 6001 6002; do
    curl -fsS "http://$ip:$port/metrics" | awk -v entry="$port" '
        /^bluebell_request_time_seconds_(sum|count)/ {
            match($0, /priority="[a-z]*"/); rank = substr($0, RSTART + 10, RLENGTH - 11)
            if ($0 ~ /_sum/) sum[rank] += $NF; else count[rank] += $NF
        }
        END { for (rank in count) printf "  entry %s, %-7s %5d requests, mean %.1f ms\n", entry, rank, count[rank], 1000 * sum[rank] / count[rank] }'
done
ctl settings history | sed 's/^/  /'

if [ "$failures" -gt 0 ]; then
    say "$failures expectations failed"
    exit 1
fi
say "All expectations hold"
