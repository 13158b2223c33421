#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library (3.11 or later):
# nothing has to be compiled. Checks that each of them can be run.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
