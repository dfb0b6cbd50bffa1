#!/bin/sh
# Builds the stand-ins of the cases. They need Python 3.11 and its standard library only.
cd "$(dirname "$0")/.." || exit 1
PYTHONPYCACHEPREFIX=target/pycache exec python3 -m compileall -q --invalidation-mode checked-hash review
