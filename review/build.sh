#!/bin/sh
# The stand-ins are Python files; this checks that each can be compiled.
cd "$(dirname "$0")" || exit 1
PYTHONDONTWRITEBYTECODE=1 python3 - harness.py ./*/case.py <<'END'
import sys

for name in sys.argv[1:]:
    with open(name) as source:
        compile(source.read(), name, 'exec')
END
