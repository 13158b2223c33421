#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays the same without the disruption; case.py gets it as
# `is_disturbed` (standin/deployment.py, run_case).
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
