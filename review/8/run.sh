#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the
# disruption out. Build the deploy file and review/build-2.sh first.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2/cases ] || [ ! -x target/release/galenapick-gatewayd ]; then
    echo "build the deploy file and review/build-2.sh first"
    exit 2
fi
target/review-2/cases alike-cut review/8
code=$?
# A stand-in that fails shows nothing.
[ "$code" -le 1 ] || code=2
exit "$code"
