#!/bin/sh
# Builds what the scripts of the cases 4 to 8 start beside the controllers: stand-ins in Python
# without dependencies. They are only compiled, which shows that this Python can run them.
set -e
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/pycache-review python3 -m compileall -q review/stage2 review/[4-8]
