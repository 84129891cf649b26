#!/usr/bin/env bash
# Builds the test programs of the second review with the Rust compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in review/stand-2/*.rs; do
    name=$(basename "$program" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2024 -O -A dead_code -o "target/review-2/$name" "$program"
done
