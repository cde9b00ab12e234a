#!/usr/bin/env bash
# A server leaves while the store is away; then all nodes are killed.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
target/review-3/standin departure review/14/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
