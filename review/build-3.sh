#!/usr/bin/env bash
# Prepares the stand-ins of the cases from 11 on: they are plain Python and need only the libraries
# that the build of the deploy file puts into target/deps, so this checks and compiles them.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c 'import aiohttp'
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path("review").glob("standins-3/*.py")) + sorted(pathlib.Path("review").glob("1[1-5]/*.py")):
    compile(path.read_text(), str(path), "exec")
PY
