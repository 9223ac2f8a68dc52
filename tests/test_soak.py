"""A short soak in the suite; long ones are run by hand (`make soak`)."""

import subprocess
import sys

import pytest

SECONDS = 20
LONGEST_S = 150

REGRESSIONS: tuple[int, ...] = ()
"""Seeds that ever failed, each with a line on the cause."""


@pytest.mark.parametrize('seed', (1, *REGRESSIONS))
def test_promises_hold_under_random_faults(seed: int) -> None:
    done = subprocess.run(
        [
            sys.executable,
            '-m',
            'soak',
            f'--seed={seed}',
            f'--seconds={SECONDS}',
        ],
        capture_output=True,
        text=True,
        timeout=LONGEST_S,
        check=False,
    )
    assert not done.returncode, done.stdout + done.stderr
