#!/usr/bin/env bash
# Builds the stand-ins of the review. They use the standard library alone, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --offline --locked
