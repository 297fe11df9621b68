#!/bin/bash
# Runs the formatter and the linter; any difference or warning is an error. With --fix, formats.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' 'tests/*.cpp' 'tests/*.h' 'standins/*.cpp' 'standins/*.h')
if [ "${1:-}" = --fix ]; then
    clang-format -i "${files[@]}"
    exit 0
fi
clang-format --dry-run --Werror "${files[@]}"
cmake -S . -B build -G Ninja > /dev/null
# Files whose preprocessed input is unchanged since their last clean run are skipped.
cache=build/tidy
mkdir -p "$cache"
lint_one() {
    file=$1
    stamp="build/tidy/$(echo "$file" | tr / _)"
    key=$( (cat .clang-tidy "$file"; git ls-files --cached --others --exclude-standard 'src/*.h' 'platform/*.cpp' 'platform/*.h' 'tests/*.h' 'generated/*.h' | sort | xargs cat) | sha256sum)
    [ -f "$stamp" ] && [ "$(cat "$stamp")" = "$key" ] && return 0
    if ! out=$(clang-tidy -p build --quiet "$file" 2>&1); then
        echo "$out"
        return 1
    fi
    echo "$key" > "$stamp"
}
export -f lint_one
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -P "${LINT_JOBS:-8}" -I{} bash -c 'lint_one {}'
echo "formatter and linter: clean"
