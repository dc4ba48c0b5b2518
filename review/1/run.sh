#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the kill.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec /usr/bin/python3 case.py .
