#!/usr/bin/env bash
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out. What was sent, answered
# and run is written to record.txt, beside this file.
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
