#!/usr/bin/env bash
# Case 3: a request that crashes each searcher in the middle of its answer is sent to searchers for ever. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption; with HEAD=0 the searchers
# crash before they have sent anything.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hyssopcroft ] && [ -x review/bin/standin ] || { echo "build first: the deploy file's build and review/build.sh"; exit 2; }
exec review/bin/standin poison review/3/record.txt
