#!/usr/bin/env bash
# Runs a case five times with its trouble and once without, and prints the exit statuses.
# Usage: review/five.sh N
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
for run in 1 2 3 4 5; do
    bash "$1/run.sh" >/dev/null 2>&1
    echo "case $1, run $run: exit $?; $(tail -n 2 "$1/record.txt" | head -n 1 | cut -c 10-)"
done
cp "$1/record.txt" "$1/record.keep"
TROUBLE=0 bash "$1/run.sh" >/dev/null 2>&1
echo "case $1, TROUBLE=0: exit $?; $(tail -n 2 "$1/record.txt" | head -n 1 | cut -c 10-)"
mv "$1/record.keep" "$1/record.txt"
