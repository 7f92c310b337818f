#!/bin/bash
# The stand-ins are Python modules without dependencies: only checks that they
# can be compiled, without writing anything.
cd "$(dirname "$0")" || exit 2
python3 - <<'PROGRAM'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PROGRAM
