"""Loops in the background leave the process's random sequence alone.

Tests that draw examples warned of loops that earlier tests had left running.
"""

import random

from gentianpulley.background import BackgroundLoop, Backoff
from gentianpulley.logs import EventLog
from standins.grid_site import wait_until

SHORT_S = 0.001


class _Counting(BackgroundLoop):
    """Counts its steps."""

    def __init__(self) -> None:
        """Begin at zero."""
        super().__init__('counting', SHORT_S, EventLog())
        self.steps = 0

    def step(self) -> None:
        """Count."""
        self.steps += 1


def test_delays_leave_the_random_sequence_alone() -> None:
    before = random.getstate()
    Backoff(SHORT_S, SHORT_S).next_delay_s()
    assert random.getstate() == before


def test_loops_leave_the_random_sequence_alone() -> None:
    before = random.getstate()
    loop = _Counting()
    loop.start()
    wait_until(lambda: loop.steps > 2)
    loop.stop()
    assert random.getstate() == before
