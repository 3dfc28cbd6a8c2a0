#!/bin/sh
# Builds the stand-ins of the second review: they are Python and use what deploy/build.sh installs.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q review/standins_2.py
PYTHONPATH=target/deps:review python3 -c "import standins_2"
