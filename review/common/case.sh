# Sourced by each run.sh: runs the case beside it; the exit status is the case's.
set -u
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "run deploy/build.sh and review/build.sh first" >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../common ../../.venv/bin/python case.py
case $? in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
