#!/bin/bash
# Compares the signature of the counted bench figures with the committed one, so that an unintended
# change of behaviour shows. With --update, commits the present one to the file.
set -euo pipefail
cd "$(dirname "$0")/.."
lines=$(build/fireflycrank bench --seed 1 --json)
echo "$lines"
signature=$(echo "$lines" | sed -n 's/^signature //p')
if [ "${1:-}" = --update ]; then
    echo "$signature" > bench.signature
    exit 0
fi
if [ "$signature" != "$(cat bench.signature)" ]; then
    echo "bench signature $signature differs from bench.signature: if the change of behaviour is meant, run scripts/check-bench.sh --update and say why in the commit"
    exit 1
fi
echo "bench signature: $signature matches"
