"""Signals that come while an instance on the platform starts."""

import os
import subprocess
import sys
from pathlib import Path

PROGRAM = Path(__file__).parent.parent / 'src' / 'gentianpulley_node.py'
LONGEST_S = 30

SIGNALLED = """
import os
import signal

os.kill(os.getpid(), signal.SIGHUP)
raise SystemExit(0)
"""


def test_a_reload_during_the_start_ends_no_process(tmp_path: Path) -> None:
    """The signal comes from a library that is loaded at the start."""
    (tmp_path / 'cheroot.py').write_text(SIGNALLED)
    done = subprocess.run(
        [sys.executable, str(PROGRAM)],
        env={**os.environ, 'PYTHONPATH': str(tmp_path)},
        capture_output=True,
        timeout=LONGEST_S,
        check=False,
    )
    assert not done.returncode, done.stderr.decode()
