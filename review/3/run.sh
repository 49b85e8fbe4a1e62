#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 it runs without the disruption: the request ends the upstream's connections as it crashes.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" && exec python3 -B case.py
