#!/usr/bin/env bash
# Checks the stand-ins of the cases, which are Python programs that need no build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PROGRAM'
import ast
import pathlib
import sys

if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or newer is needed")
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
PROGRAM
