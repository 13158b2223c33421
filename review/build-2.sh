#!/bin/sh
# The stand-ins of the cases 6 to 9 are Python 3.11 programs that use its
# standard library only: there is nothing to compile, only to check.
cd "$(dirname "$0")" && exec python3 - <<'CHECK'
import ast
import glob

for path in sorted(glob.glob("lib-2/*.py") + glob.glob("[0-9]*/*.py")):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
