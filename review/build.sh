#!/bin/sh
# Checks and compiles the stand-ins that the review's scripts start. They are
# Python of the standard library; the cases also use the project's own.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PY'
from pathlib import Path

paths = [
    *Path('review').rglob('*.py'),
    *(Path('standins') / f'{name}.py' for name in (
        'grid_store', 'grid_worker', 'http_server', 'tcp_proxy')),
]
for path in paths:
    compile(path.read_text(), str(path), 'exec')
print(len(paths), 'files compile')
PY
