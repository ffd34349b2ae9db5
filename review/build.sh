#!/usr/bin/env bash
# The stand-ins are Python and need no build: check that the deploy file's build is there for them.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python && test -x .venv/bin/lifthinge
PYTHONPATH=review .venv/bin/python -c "import standin.members, standin.world"
