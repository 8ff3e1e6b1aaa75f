#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 timeout 115 python3 review/2/case.py
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
