#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if not run.
# With TROUBLE=0 there is no disruption.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. TROUBLE="${TROUBLE:-1}" exec python3 -B case.py record.txt
