#!/usr/bin/env bash
# Plays the case. TROUBLE=0 plays it without the disruption. Needs target/ and review/out/.
set -u
cd "$(dirname "$0")/../.."
[ -x target/bin/briarwharfd ] && [ -x review/out/case-3 ] || exit 2
timeout 110 review/out/case-3
status=$?
[ $status -le 1 ] || status=2
exit $status
