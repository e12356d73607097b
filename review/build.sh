#!/bin/sh
# The stand-ins are Python without dependencies: check that they compile.
set -eu
cd "$(dirname "$0")"
python3 - lab/*.py */case.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as source:
        compile(source.read(), path, 'exec')
PYTHON
