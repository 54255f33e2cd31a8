#!/bin/sh
# Builds the stand-ins of cases 6 to 10.  They are scripts of the standard library, run by the interpreter that
# deploy/build.sh has put into .venv: there is nothing to compile, and this only checks that they can be read.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -B - review/common2/*.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py \
    review/10/case.py <<'CHECK'
import ast
import sys
from pathlib import Path

for name in sys.argv[1:]:
    ast.parse(Path(name).read_text(), name)
CHECK
