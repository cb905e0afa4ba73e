#!/bin/sh
# Builds the stand-ins of all cases: they are Python files, so they are only compiled. Run after the build of
# the deploy file, from anywhere.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review
