#!/bin/sh
# Builds the stand-ins of the scripts of this review: checks that the
# project's own and those of `common-3` compile. Writes nothing.
cd "$(dirname "$0")/.." || exit 1
exec python3 - <<'PYTHON'
from pathlib import Path

own = ('grid_store', 'http_server', 'ports', 'tcp_proxy')
files = [Path('standins') / f'{name}.py' for name in own]
files += sorted(Path('review/common-3').glob('*.py'))
files += sorted(Path('review').glob('1[1-5]/run.py'))
for path in files:
    compile(path.read_text(), str(path), 'exec')
print(f'{len(files)} files built')
PYTHON
