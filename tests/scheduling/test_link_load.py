"""What callers get from a leader whose link carries less than they hand in."""

from functools import cache

import pytest

from gentianpulley.cluster.step_ordering import DeadlineClass
from tests.scheduling.link_load import JobKind, LinkLoad, LoadOutcome, play

URGENT = JobKind('urgent', 0, 0.4, 2, 9, 8000, 1000)
BATCH = JobKind('batch', 2, 0.8, 2, 39, 4000, 2700)
START_BYTES = 507
SEEDS = (1, 2, 3)
MAX_IDLE_MS = 3000
"""How long clusters with free capacity allow a job to have nothing running."""


@cache
def _outcome_of_slow_leader(seed: int) -> tuple[LinkLoad, LoadOutcome]:
    """Return a load, and its outcome where plans and news take 0.3 s."""
    load = LinkLoad(
        (URGENT, BATCH), seed, plan_ms=300, reply_ms=300, listing_ms=500
    )
    return load, play(load)


@pytest.mark.parametrize('seed', SEEDS)
def test_a_slow_leader_uses_half_of_its_link(seed: int) -> None:
    """It used a sixth, as it waited for a plan to send a tenth of a second."""
    load, outcome = _outcome_of_slow_leader(seed)
    seconds = load.traffic_s + load.rest_s
    sent_bytes = outcome.starts * START_BYTES
    assert sent_bytes > 0.5 * load.link_bytes_s * seconds


@pytest.mark.parametrize('seed', SEEDS)
def test_urgent_jobs_of_a_slow_leader_are_on_time(seed: int) -> None:
    """Not one in ten was on time, beside batch work that was too late."""
    ends = _outcome_of_slow_leader(seed)[1].ends[URGENT.name]
    assert ends[DeadlineClass.ON_TIME] >= 0.8 * ends.total()


@pytest.mark.parametrize('seed', SEEDS)
def test_no_job_of_a_slow_leader_is_idle_for_long(seed: int) -> None:
    """Jobs had nothing running for 6 to 9 s, with most capacity free."""
    assert _outcome_of_slow_leader(seed)[1].idle_ms <= MAX_IDLE_MS
