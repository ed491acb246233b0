#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run, and writes what was sent, answered and
# run to record.txt beside this script. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" && export PYTHONDONTWRITEBYTECODE=1 && exec timeout 118 python3 case.py record.txt
