#!/bin/sh
# Builds the stand-ins that the scripts start: Python programs of the standard library, checked here for syntax.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 /usr/bin/python3 -c '
import sys
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
' standins/*.py */case.py
