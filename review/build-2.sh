#!/usr/bin/env bash
# What the scripts of review/6 to review/10 start beside the deploy file's
# program. Their stand-ins are Python of the standard library alone and need no
# build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in common2/*.py */case.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
