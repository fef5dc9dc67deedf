#!/bin/sh
# Builds what the scripts of review/6 to review/10 start: the project's own stand-ins
# and the helpers beside this file. Needs the build of the deploy file; no network.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q bluebellshore review/system_2.py review/[0-9]*/case.py || exit 2
PYTHONPATH=target/deps python3 -c "import review.system_2" || exit 2
