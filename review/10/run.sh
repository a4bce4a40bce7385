#!/usr/bin/env bash
# Case 10. Run after the build of the deploy file and review/build-2.sh. TROUBLE=0: without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-10 ] || { echo "target/review-2/case-10 is missing: run review/build-2.sh" >&2; exit 2; }
exec target/review-2/case-10 review/10/record.txt
