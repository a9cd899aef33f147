#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
program="$root/review/standins/target/release/review-standins"
if [[ ! -x "$program" || ! -x "$root/target/release/bluebelld" ]]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
exec "$program" power "$root" "$here/record.txt"
