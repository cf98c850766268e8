#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, after the build of deploy/balancer.toml.
# Their stand-ins are one Python file for the interpreter of .venv and need nothing else, so this only checks
# that they can be loaded and that the platform's program can be imported.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review .venv/bin/python -c "import standins_2, stairhatch.main"
