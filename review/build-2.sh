#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 7 and 8. Needs the JDK only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
