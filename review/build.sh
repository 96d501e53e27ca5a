#!/bin/sh
# The stand-ins are Python files that run with the environment of the deploy file's build: nothing is compiled or
# fetched; this checks that each of them can be read by that interpreter, and that the worker host can be imported.
set -eu
cd "$(dirname "$0")/.."
for file in review/*.py review/*/*.py; do
    .venv/bin/python -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$file"
done
.venv/bin/python -c "import lapispick.host.assembly, lapispick.fakes"
