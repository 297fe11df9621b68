#!/bin/bash
# Proves that the committed generated code matches the schema, when the generator is there.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v protoc > /dev/null; then
    echo "generated code: not checked, protoc is not installed"
    exit 0
fi
fresh=$(mktemp -d)
trap 'rm -rf "$fresh"' EXIT
bash scripts/generate.sh "$fresh"
if ! diff -rq "$fresh" generated; then
    echo "generated code differs from the schema: run scripts/generate.sh and commit the result"
    exit 1
fi
echo "generated code: matches the schema"
