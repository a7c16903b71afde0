#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the programs of the deploy file. Needs the
# compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/support-2/main.rs
