#!/usr/bin/env bash
# Case 1: a request that may run once is refused as not run, and runs. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0 leaves out the disruption; GARBLE=0 leaves out the second copies only.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hyssopcroft ] && [ -x review/bin/standin ] || { echo "build first: the deploy file's build and review/build.sh"; exit 2; }
exec review/bin/standin refused review/1/record.txt
