#!/bin/bash
# Installs what is missing and builds everything into ./build (or the folder given).
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
build=${1:-build}
cmake -S . -B "$build" -G Ninja > /dev/null
cmake --build "$build"
