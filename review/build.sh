#!/bin/sh
# Prepares the stand-ins that the cases start. They need nothing but Python's standard library, and
# run from their sources, so this only checks that the sources compile.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
