#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs only the Rust compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/support/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = harness ] || rustc --edition 2024 -O -A warnings -o "target/review/$name" "$source"
done
