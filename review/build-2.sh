#!/bin/sh
# Builds the stand-ins of the cases from 6 on. They are Python programs that need what the deploy file builds and nothing
# else: this compiles them and loads the modules that they use.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the command build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m py_compile review/harness_2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py
.venv/bin/python -c "import sys; sys.path.insert(0, '.'); import lapispick.fakes.broker, review.harness_2"
