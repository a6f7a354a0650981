#!/bin/sh
# Builds the stand-ins of the cases: Python programs without dependencies.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q common [1-9]
