#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the deploy file's build: nothing. Their stand-ins are
# common3/standin.py and the case.py of each folder, which need Python 3.9 or later without packages.
set -euo pipefail
python3 -c 'import asyncio, sys; sys.exit(sys.version_info < (3, 9))'
