#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption
# out. Needs the build of deploy/system.toml and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x build-review-2/case-10 ] && [ -x target/bin/briarwharfd ] || exit 2
export TROUBLE=${TROUBLE:-1}
timeout -k 1 118 build-review-2/case-10 review/10/record.txt >/dev/null
status=$?
[ $status -le 2 ] || status=2
exit $status
