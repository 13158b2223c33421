#!/bin/sh
# The stand-ins of cases 11 to 15 are Python scripts without dependencies, so
# nothing has to be compiled. Checks that they can be loaded.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "lib-3"); import standin'
