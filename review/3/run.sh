#!/bin/sh
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." && test -x .venv/bin/python || exit 2
PYTHONPATH=review exec .venv/bin/python review/3/case.py
