#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
[ -x target/review/case4 ] && [ -x target/bin/lh-sidecar ] || exit 2
timeout -k 5 115 target/review/case4 review/4 "$temporary"
status=$?
[ $status -le 1 ] || exit 2
exit $status
