#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")"
PYTHONPATH=.. exec python3 case.py
