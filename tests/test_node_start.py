"""Signals and errors that occur while an instance on the platform starts."""

import os
import subprocess
import sys
from pathlib import Path

from gentianpulley.exit_status import LISTEN_EXIT_STATUS
from standins.grid_site import node_file
from standins.grid_store import HOST, GridStore
from standins.process import own_env

PROGRAM = Path(__file__).parent.parent / 'src' / 'gentianpulley_node.py'
TIMEOUT_S = 30

SIGNALLING_MODULE = """
import os
import signal

os.kill(os.getpid(), signal.SIGHUP)
raise SystemExit(0)
"""


def test_a_reload_during_the_start_ends_no_process(tmp_path: Path) -> None:
    """A library imported during the start sends the signal."""
    (tmp_path / 'cheroot.py').write_text(SIGNALLING_MODULE)
    done = subprocess.run(
        [sys.executable, str(PROGRAM)],
        env={**os.environ, 'PYTHONPATH': str(tmp_path)},
        capture_output=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert not done.returncode, done.stderr.decode()


def test_an_instance_whose_address_is_taken_ends(tmp_path: Path) -> None:
    """The process must not keep running.

    It used to stay alive without serving requests or handling signals.
    """
    store = GridStore()
    text = node_file('n0', store.port, '', '')
    settings = tmp_path / 'local.conf'
    settings.write_text(f'{text}\nlisten.metrics={HOST}:{store.port}')
    done = subprocess.run(
        [sys.executable, str(PROGRAM)],
        env={**own_env(), 'GENTIANPULLEY_NODE_FILE': str(settings)},
        capture_output=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    store.server_close()
    assert done.returncode == LISTEN_EXIT_STATUS
    assert b'cannot listen' in done.stderr
