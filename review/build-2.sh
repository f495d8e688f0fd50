#!/bin/sh
# Builds what the scripts of cases 4 to 8 start. The stand-ins are Python modules of this
# repository and need only the libraries of the service, so building them is compiling them.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import h11, orjson, sexpdata"
PYTHONPATH=target/deps python3 -m compileall -q dunehold review/lab review/[4-8]
