#!/bin/bash
# The stand-ins of the cases are Python programs and need no build; this checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib
for source in sorted(pathlib.Path(".").glob("**/*.py")):
    compile(source.read_text(encoding="utf-8"), str(source), "exec")
END
