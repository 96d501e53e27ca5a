#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/3/case.py
