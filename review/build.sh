#!/usr/bin/env bash
# Builds the stand-ins of all cases; needs no network and no library.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
rm -rf build
mkdir -p build
javac -d build standins/*.java
