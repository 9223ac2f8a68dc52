"""A short soak in the suite; long ones are run by hand (`make soak`)."""

import subprocess
import sys

import pytest

from standins.process import own_env

LONGEST_S = 150

SEEDS = (
    (1, 20),
    # A signal to read the settings again came while the process started.
    (105, 30),
    # A planned stop came while the process stood still, and was never seen.
    (120, 30),
)
"""Seeds and seconds: one to begin with, then those that ever failed."""


@pytest.mark.parametrize(('seed', 'seconds'), SEEDS)
def test_promises_hold_under_random_faults(seed: int, seconds: int) -> None:
    done = subprocess.run(
        [
            sys.executable,
            '-m',
            'soak',
            f'--seed={seed}',
            f'--seconds={seconds}',
        ],
        env=own_env(),
        capture_output=True,
        text=True,
        timeout=LONGEST_S,
        check=False,
    )
    assert not done.returncode, done.stdout + done.stderr
