#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if not run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. exec timeout 118 python3 -B case.py
