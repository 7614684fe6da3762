#!/usr/bin/env bash
# Runs case 15. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.."
export RECORD=review/15/record.txt
program=target/review-3/case-15
for needed in "$program" target/bin/briarwharfd; do
  [ -x "$needed" ] || { echo "$needed is missing: run the build of the deploy file and review/build-3.sh" | tee "$RECORD"; exit 2; }
done
exec timeout --signal=TERM 115 "$program"
