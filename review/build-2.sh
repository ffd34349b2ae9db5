#!/usr/bin/env bash
# Builds the stand-ins of the second review. They are Python and need nothing beyond the deploy
# file's build; this compiles and loads them, so that a broken one shows before any case runs.
set -eu
cd "$(dirname "$0")/.."
for file in review/standin2/*.py; do
    .venv/bin/python -m py_compile "$file"
done
.venv/bin/python -c 'import sys; sys.path.insert(0, "review"); import standin2.cluster, standin2.platform'
