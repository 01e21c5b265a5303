#!/bin/bash
# Runs after the `build` command of deploy/balancer.toml, which makes the router itself. The stand-ins of the cases 6
# to 10 are Python on the standard library and the router's packages. Case 6 starts the project's client library, whose
# pinned dependencies are installed here unless they are there; without them it exits with 2, and the others run.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/common-2
.venv/bin/python -B -c 'import h2.connection, sorreldock.kserve.kserve_pb2'
client='import anyio, hdrh.histogram, sorreldock.client'
if ! .venv/bin/python -B -c "$client" 2>/dev/null; then
    .venv/bin/python -m pip -q install -r requirements-client.txt || true
fi
.venv/bin/python -B -c "$client" || echo 'review/build-2.sh: case 6 lacks the packages of requirements-client.txt' >&2
