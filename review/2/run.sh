#!/usr/bin/env bash
# Exit code: 1 the rule is broken, 0 it holds, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.."
binary=target/review/quarantine
[ -x "$binary" ] && [ -x target/release/galenapick-gatewayd ] || exit 2
"$binary" "$PWD" "$PWD/review/2/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
