#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10: Python programs, of which nothing is compiled.
# Ends with an error if they cannot run here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in [*pathlib.Path("common-2").glob("*.py"), *pathlib.Path(".").glob("*/case.py")]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PYTHON
