#!/bin/bash
# Builds what the cases 6 to 10 start besides the router: the client library's dependencies, and byte code of the stand-ins.
# The router itself is built by the `build` command of deploy/balancer.toml, which runs first.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m pip -q install -r requirements-client.txt
.venv/bin/python -m compileall -q review/common-2
