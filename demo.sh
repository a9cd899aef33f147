#!/usr/bin/env bash
# Starts a small fleet on its own loopback address, sends requests of two organisations through it while an operator
# changes settings and a sidecar shuts down, checks the results, and stops every process that it started.
set -euo pipefail
profile=debug last_octet=200
source "$(dirname "$0")/measure/fleet.sh"
failures=0

print_heading() { printf '\n\033[1m%s\033[0m\n' "$*"; }
expect() { # description, expected, actual
    if [ "$2" = "$3" ]; then
        printf '  ok    %s: %s\n' "$1" "$3"
    else
        printf '  FAIL  %s: expected %s, got %s\n' "$1" "$2" "$3"
        failures=$((failures + 1))
    fi
}

print_runner_config() { # number, zone, kind, serves, slots
    cat <<YAML
runner: { id: runner-$1, url: "http://$ip:$((4000 + $1))", kind: $3, serves: [$4], slots: $5 }
YAML
}

print_heading "Starting the store, three engines, a ledger, four sidecars and two entries on $ip"
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
    { print_common_config "sidecar-$n" "$zone" sidecar "$((5000 + n))" "$((5100 + n))"; print_runner_config "$n" "$zone" "$kind" "$serves" 16; } >"$dir/sidecar-$n.yaml"
    start "sidecar-$n" bluebelld --config "$dir/sidecar-$n.yaml"
    register_instance "sidecar-$n" sidecar "$zone" "$((5100 + n))" "$serves"
done
for n in 1 2; do
    zone="${zones[$((n % 2))]}"
    print_common_config "entry-$n" "$zone" entry "$((6000 + n))" "$((6100 + n))" >"$dir/entry-$n.yaml"
    start "entry-$n" bluebelld --config "$dir/entry-$n.yaml"
    register_instance "entry-$n" entry "$zone" "$((6100 + n))"
done

export BLUEBELL_ENTRY="http://$ip:6001" BLUEBELL_KEY="operator-key"
ctl() { "$bin/bluebellctl" "$@"; }

print_heading "An operator commits the initial settings tree"
wait_until "the initial settings" ctl settings set sample_configs/settings/valid/two_crews.yaml
ctl settings history
wait_until "entry 1" curl -fsS "http://$ip:6001/readyz"
wait_until "entry 2" curl -fsS "http://$ip:6002/readyz"
sidecars_connected() { for port in 6001 6002; do [ "$(ctl --entry "http://$ip:$port" members | grep sidecar | grep -c 'connected=true')" = 4 ] || return 1; done; }
wait_until "the sidecars" sidecars_connected

answered=0
headers="$dir/headers" body="$dir/body"
send_chat_request() { # entry port, key, model, session
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

print_heading "Two organisations send requests; each is served by the cheapest version that meets its minimum quality"
send_chat_request 6001 atlas-van-key auto
expect "branch maktabat-vans, model auto" "200 atlas-small@1" "$status $version"
vans_session="$session"
send_chat_request 6002 kovacs-counter-key auto
expect "branch kovacs-counter, model auto" "200 atlas-large@1" "$status $version"
send_chat_request 6001 kovacs-counter-key atlas-small@2
expect "branch kovacs-counter, a version that it may not use" "403" "$status"
send_chat_request 6001 wrong-key auto
expect "an unknown API key" "401" "$status"
send_chat_request 6002 atlas-van-key auto "$vans_session"
expect "the session of maktabat-vans through the other entry" "200 atlas-small@1" "$status $version"

print_heading "A ledger call is sent three times with one idempotency key and executed once"
for port in 6001 6002 6001; do
    curl -sS -o "$dir/loan-$port" "http://$ip:$port/v1/services/ledger/loans" -H 'authorization: Bearer atlas-van-key' \
        -H 'idempotency-key: loan-7' -d 'book 7 to Amina'
done
expect "the answers of both entries are the same" "$(cat "$dir/loan-6001")" "$(cat "$dir/loan-6002")"
expect "calls executed by the ledger" 1 "$(wc -l <"$dir/ledger.runs" | tr -d ' ')"

print_heading "atlas-small@1 is withdrawn while it is in use"
ctl --wait version withdraw atlas-small@1
send_chat_request 6002 atlas-van-key auto
expect "the next request of maktabat-vans" "200 atlas-small@2" "$status $version"
send_chat_request 6001 atlas-van-key auto "$vans_session"
expect "its session on the withdrawn version ends with a typed error" "410" "$status"
send_chat_request 6001 atlas-van-key atlas-small@1
expect "a request for the withdrawn version by name" "403" "$status"

print_heading "An operator changes one branch: maktabat-vans raises its minimum quality"
ctl settings get maktabat-vans | head -n 1 >"$dir/vans.yaml"
cat sample_configs/settings/valid/spring_crew.yaml >>"$dir/vans.yaml"
ctl settings diff "$dir/vans.yaml"
ctl --wait settings set "$dir/vans.yaml"
ctl settings explain maktabat-vans | head -n 4
send_chat_request 6002 atlas-van-key auto
expect "the next request of maktabat-vans" "200 atlas-large@1" "$status $version"
if ctl settings set "$dir/vans.yaml" 2>"$dir/conflict"; then code=0; else code=$?; fi
expect "exit code of a change against an outdated revision: conflict" 3 "$code"
sed 's/^/    /' "$dir/conflict"

print_heading "Sidecar 1 gets SIGTERM under load"
run_load() {
    "$bin/bluebell-standins" load --target "http://$ip:6001" --target "http://$ip:6002" --key kovacs-bench-key \
        --rate 60 --seconds 4 --tokens 40 --stream --json >"$dir/load.json"
}
run_load &
load_pid=$!
sleep 1
kill -TERM "$(cat "$dir/sidecar-1.pid")"
if wait "$(cat "$dir/sidecar-1.pid")"; then code=0; else code=$?; fi
expect "exit code of the sidecar" 0 "$code"
runs_before="$(wc -l <"$dir/engine-1.runs" | tr -d ' ')"
wait "$load_pid"
load_report_field() { grep -o "\"$1\":[0-9.]*" "$dir/load.json" | head -n 1 | cut -d: -f2; }
expect "served requests, of those sent" "$(load_report_field sent)" "$(load_report_field served)"
answered=$((answered + $(load_report_field served)))

print_heading "Billing"
count_billing_rows() { curl -fsS "http://$store/control/rows/bluebell-records?part=bill/" | grep -o '"part":"bill/' | wc -l | tr -d ' '; }
all_requests_billed() { [ "$(count_billing_rows)" -ge "$answered" ]; }
wait_until "the billing rows" all_requests_billed
expect "one billing row per answered request" "$answered" "$(count_billing_rows)"
expect "runs of engine 1, none added since sidecar 1 stopped" "$runs_before" "$(wc -l <"$dir/engine-1.runs" | tr -d ' ')"

print_heading "Summary"
printf '  %-22s %s\n' "requests answered" "$answered" "billing rows" "$(count_billing_rows)"
curl -fsS "http://$store/control/rows/bluebell-records?part=bill/" | grep -o '"version":"[^"]*@[^"]*"' | sort | uniq -c | sed 's/"version"://; s/^/  version /'
for port in 6001 6002; do
    curl -fsS "http://$ip:$port/metrics" | awk -v entry="$port" '
        /^bluebell_request_time_seconds_(sum|count)/ {
            match($0, /priority="[a-z]*"/); priority = substr($0, RSTART + 10, RLENGTH - 11)
            if ($0 ~ /_sum/) sum[priority] += $NF; else count[priority] += $NF
        }
        END { for (priority in count) printf "  entry %s, %-7s %5d requests, mean %.1f ms\n", entry, priority, count[priority], 1000 * sum[priority] / count[priority] }'
done
ctl settings history | sed 's/^/  /'

if [ "$failures" -gt 0 ]; then
    print_heading "$failures expectations failed"
    exit 1
fi
print_heading "All expectations hold"
