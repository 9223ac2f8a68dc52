"""Background loops do not advance the random state of the process.

Otherwise loops that earlier tests left running cause warnings in tests that
generate random examples.
"""

import random

from gentianpulley.background import BackgroundLoop, Backoff
from gentianpulley.logs import EventLog
from standins.grid_site import wait_until

SHORT_S = 0.001


class _CountingLoop(BackgroundLoop):
    """Counts its steps."""

    def __init__(self) -> None:
        """Start at zero."""
        super().__init__('counting', SHORT_S, EventLog())
        self.steps = 0

    def step(self) -> None:
        """Count one step."""
        self.steps += 1


def test_delays_leave_the_random_sequence_alone() -> None:
    before = random.getstate()
    Backoff(SHORT_S, SHORT_S).next_delay_s()
    assert random.getstate() == before


def test_loops_leave_the_random_sequence_alone() -> None:
    before = random.getstate()
    loop = _CountingLoop()
    loop.start()
    wait_until(lambda: loop.steps > 2)
    loop.stop()
    assert random.getstate() == before
