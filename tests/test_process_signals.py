"""Signals reach a daemon whichever thread the system delivers them to."""

import subprocess
import sys

import pytest

from standins.process import own_env

TIMEOUT_S = 20

WAITING = """
import signal
import threading
import time

from gentianpulley.process_signals import ProcessSignals


def take(number):
    time.sleep(0.2)
    signal.pthread_kill({receiver}, number)


signals = ProcessSignals((signal.SIGTERM, signal.SIGHUP))
main = threading.get_ident()
for number in (signal.SIGHUP, signal.SIGTERM):
    threading.Thread(target=take, args=(number,)).start()
    print(signals.wait().name, flush=True)
"""


@pytest.mark.parametrize('receiver', ['main', 'threading.get_ident()'])
def test_no_signal_is_missed_whichever_thread_takes_it(receiver: str) -> None:
    """A signal that arrived while the process was stopped used to be lost."""
    done = subprocess.run(
        [sys.executable, '-c', WAITING.format(receiver=receiver)],
        env=own_env(),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert done.stdout.split() == ['SIGHUP', 'SIGTERM'], done.stderr
