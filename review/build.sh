#!/bin/sh
# Builds the stand-ins of the scripts; they need Python 3.11 and its standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile *.py
