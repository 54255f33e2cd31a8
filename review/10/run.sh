#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not be played.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
test -x .venv/bin/python || { echo "no build: sh deploy/build.sh"; exit 2; }
exec .venv/bin/python -B "$here/case.py"
