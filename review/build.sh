#!/usr/bin/env bash
# The stand-ins are Python without dependencies; this checks that they compile.
cd "$(dirname "$0")" && exec python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
PY
