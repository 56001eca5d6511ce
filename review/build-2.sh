#!/usr/bin/env bash
# After the build of the deploy file: installs what the zone programs need (the project's own extra `zones`).
# The stand-ins are Python files and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python || python3 -m venv .venv
.venv/bin/pip -q install -r requirements.txt
.venv/bin/pip -q install -e '.[zones]'
.venv/bin/python -m compileall -q review/standins_2.py
