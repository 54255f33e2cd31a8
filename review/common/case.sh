# Sourced by each run.sh: runs the case beside it; the exit status is the case's.
set -u
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "run deploy/build.sh and review/build.sh first" >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../common ../../.venv/bin/python case.py
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
