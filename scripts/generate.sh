#!/bin/bash
# Generates C++ code from schema/*.proto into generated/ (or the folder given). Needs protoc 3.21.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:-generated}
mkdir -p "$out"
protoc --proto_path=schema --cpp_out="$out" schema/*.proto
