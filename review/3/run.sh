#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
set -uo pipefail
case="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
export TROUBLE="${TROUBLE:-1}"
cd "$case/../.." || exit 2
[ -f target/tamaracktrack.jar ] && [ -d review/build ] || exit 2
timeout -k 5 115 java -Xmx512m -cp review/build "review.Case$(basename "$case")" "$case" "$TROUBLE"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
