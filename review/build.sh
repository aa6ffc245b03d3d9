#!/bin/sh
# The stand-ins are Python files without dependencies: checks that they compile.
set -e
cd "$(dirname "$0")"
exec python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
