#!/usr/bin/env bash
# Builds the stand-ins: they need only the libraries that the deploy file's build has put
# into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q bluebellshore review
