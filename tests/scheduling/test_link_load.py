"""What callers get from a leader whose link carries less than they hand in."""

from functools import cache

import pytest

from gentianpulley.cluster.delay_cost import DeadlineClass
from tests.scheduling.link_load import JobKind, LinkLoad, LoadOutcome, play

URGENT = JobKind('urgent', 0, 0.4, 2, 9, 8000, 1000)
BATCH = JobKind('batch', 2, 0.8, 2, 39, 4000, 2700)
GANG = JobKind('gang', 2, 0.1, 1, 4, 4000, 1000, is_gang=True)
SEEDS = (1, 2, 3)
MAX_IDLE_MS = 3000
"""How long clusters with free capacity allow a job to have nothing running."""


@cache
def _outcome(seed: int) -> LoadOutcome:
    """Return the outcome of a load of nearly twice what the link carries."""
    kinds = (URGENT, BATCH, GANG)
    return play(LinkLoad(kinds, seed, traffic_s=60, rest_s=20))


@pytest.mark.parametrize('seed', SEEDS)
def test_no_job_waits_without_end_for_a_full_link(seed: int) -> None:
    """Gangs that were late waited for as long as other work arrived."""
    assert _outcome(seed).longest_idle_ms < MAX_IDLE_MS


@pytest.mark.parametrize('seed', SEEDS)
def test_turns_of_late_jobs_leave_urgent_ones_on_time(seed: int) -> None:
    ends = _outcome(seed).ends[URGENT.name]
    assert ends[DeadlineClass.ON_TIME] == ends.total()
