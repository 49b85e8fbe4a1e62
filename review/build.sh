#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python programs that
# need the standard library only, so this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -B - common/*.py [0-9]*/*.py <<'PYTHON'
import pathlib
import sys

for name in sys.argv[1:]:
    if "*" not in name:
        compile(pathlib.Path(name).read_text(), name, "exec")
PYTHON
