#!/bin/sh
# The stand-ins of cases 11 to 15 are Python and need no build beside that of
# the deploy file; this checks that all of them can be compiled.
set -e
cd "$(dirname "$0")"
for file in common-3/*.py 1[1-5]/*.py; do
    python3 - "$file" <<'PYTHON'
import pathlib
import sys

path = pathlib.Path(sys.argv[1])
compile(path.read_text(encoding='utf-8'), str(path), 'exec')
PYTHON
done
test -d ../target/deps
