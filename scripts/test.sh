#!/bin/bash
# Installs what is missing, builds, and runs all tests. Arguments go to ctest, for example: -L path
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/build.sh
ctest --test-dir build --output-on-failure --parallel 4 "$@"
