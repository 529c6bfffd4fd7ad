#!/usr/bin/env bash
# Case 8: a request that takes the machines of the searchers that begin to run it, without a word, is sent on and on. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the request takes no machine.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hyssopcroft ] && [ -x review/bin/standin2 ] || { echo "build first: the deploy file's build and review/build-2.sh"; exit 2; }
exec review/bin/standin2 deadly review/8/record.txt
