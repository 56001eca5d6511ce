#!/bin/sh
# Builds the stand-ins: they are Python source and only have to compile. Run from anywhere, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python - review/*.py review/*/case.py <<'PYTHON'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PYTHON
