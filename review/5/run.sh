#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build.sh. Exits with 1 if the
# rule was broken, with 0 if it held and with 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lacewingsaddle-edge ] && [ -x target/review-standin ] || exit 2
exec target/review-standin denied review/5/record.txt
