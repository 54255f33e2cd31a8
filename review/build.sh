#!/bin/sh
# Builds the stand-ins of the cases.  They are Python and need only the standard library, so there is nothing
# to compile: this checks that the interpreter of the deploy file's build is there and reads each of them.
set -eu
cd "$(dirname "$0")"
for file in common/*.py [123]/*.py; do
    ../.venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
