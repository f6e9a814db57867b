#!/usr/bin/env bash
# The stand-ins of all cases are Python programs that need no build; this checks that they can be loaded. currant-edge itself is built by
# the deploy file, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - standin/*.py review/*.py review/*/case.py <<'PROGRAM'
import ast
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PROGRAM
