#!/bin/sh
# Run after the `build` command of the deploy file, from anywhere. The stand-ins are Python programs on the
# standard library and the router's own packages, so there is nothing to compile. The caller of case 1 uses the
# project's client library, whose pinned dependencies are installed here unless they are there already. Where
# that can't be done, this says so, and case 1 exits with 2; the other cases don't need them.
set -e
cd "$(dirname "$0")/.."
for file in review/common/*.py review/*/case.py; do
    .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
.venv/bin/python -B -c 'import h2.connection, sorreldock.kserve.kserve_pb2'
client='import anyio, hdrh.histogram, sorreldock.client'
.venv/bin/python -B -c "$client" 2>/dev/null ||
    .venv/bin/python -m pip -q install -r requirements-client.txt || true
.venv/bin/python -B -c "$client" ||
    echo 'review/build.sh: the packages of requirements-client.txt are missing: case 1 cannot run' >&2
