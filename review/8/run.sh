#!/bin/sh
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: without
# the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec env PYTHONPATH=target/deps python3 review/8/case.py
