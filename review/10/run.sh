#!/usr/bin/env bash
# Exit 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
exec timeout --kill-after=5 115 .venv/bin/python review/10/case.py
