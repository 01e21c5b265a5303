#!/bin/sh
# Run after the `build` command of the deploy file, from anywhere. The stand-ins are Python programs on the
# standard library. The caller of case 1 uses the project's client library, whose pinned dependencies are
# installed here; where they are there already, nothing is fetched.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import anyio, hdrh.histogram' 2>/dev/null ||
    .venv/bin/python -m pip -q install -r requirements-client.txt
.venv/bin/python -B -c 'import anyio, h2, h11, hdrh.histogram, sorreldock.client'
for file in review/common/*.py review/*/case.py; do
    .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
