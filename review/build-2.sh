#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: the project's own store and the programs of this review.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p bluebell-standins
cargo build --release --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
