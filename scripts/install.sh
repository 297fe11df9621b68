#!/bin/bash
# Installs the Debian packages that the build and the checks need. Does nothing when all are there.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t packages < scripts/packages.txt
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
elevate=()
[ "$(id -u)" -eq 0 ] || elevate=(sudo)
"${elevate[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${elevate[@]}" apt-get install -y -q "${missing[@]}"
