#!/bin/sh
# Writes record.txt in this folder.  Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run; TROUBLE=0: the same without the disruption.
set -u
cd "$(dirname "$0")" || exit 2
echo "case $(basename "$PWD"), TROUBLE=${TROUBLE:-1}" >record.txt || exit 2
if ! test -x ../../.venv/bin/python; then
    echo "could not run: deploy/build.sh and review/build-2.sh come first" | tee -a record.txt >&2
    exit 2
fi
../../.venv/bin/python -B case.py
case $? in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac # 1 is the interpreter's, for a script that fails
