#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. They are Python files of
# the standard library's modules alone, so this only checks that they compile.
cd "$(dirname "$0")/.." && exec python3 - <<'PY'
import ast
from pathlib import Path

paths = (
    *Path('review').glob('stand_ins_2.py'),
    *(Path('review') / str(number) / 'case.py' for number in range(6, 11)),
    *(Path('standins') / f'{name}.py'
      for name in ('grid_store', 'http_server', 'ports')),
)
for path in paths:
    if path.exists():
        ast.parse(path.read_text(), str(path))
        print('ready:', path)
PY
