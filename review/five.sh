#!/usr/bin/env bash
# Runs a case five times with its trouble and once without, and prints the exit statuses.
# Usage: review/five.sh N
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
report() {
    TROUBLE="$2" bash "$1/run.sh" >/dev/null 2>&1
    echo "case $1, TROUBLE=$2: exit $?; $(tail -n 2 "$1/record.txt" | head -n 1 | cut -c 10-)"
}
for trouble in 1 1 1 1 1 0; do
    report "$1" "$trouble"
done
