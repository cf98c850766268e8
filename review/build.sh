#!/bin/sh
# The stand-ins are Python modules without dependencies, run by the environment that `build` of the deploy file
# makes. Compiling them shows that each one can be started.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review
