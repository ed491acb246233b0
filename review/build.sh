#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: review/common/standin.py and the case.py beside each run.sh. They are
# Python (a package that scripts/install-packages declares) with its standard library only, so this only checks them.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - common/*.py */case.py <<'END'
import sys
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
END
[ -x ../target/release/keelbridge-node ] || { echo "target/release/keelbridge-node is missing: run the deploy build" >&2; exit 1; }
