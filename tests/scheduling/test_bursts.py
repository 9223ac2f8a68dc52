"""What callers get in a burst with admission control and without."""

from collections import Counter
from functools import cache

import pytest

from gentianpulley.cluster.admission import QueueAdmission
from tests.scheduling.burst_load import (
    FAST_LINK,
    BurstLoad,
    QueueOutcome,
    Span,
    play,
)
from tests.scheduling.link_load import JobKind

URGENT = JobKind('urgent', 0, 1.0, 2, 8, 8000, 1000)
NORMAL = JobKind('normal', 1, 0.5, 1, 8, 8000, 3000)
BATCH = JobKind('batch', 2, 0.6, 2, 8, 8000, 3000)
SEEDS = range(1, 6)


@cache
def _outcomes(*, is_controlled: bool) -> list[dict[str, QueueOutcome]]:
    """Play a burst of a queue that goes before the batch queue."""
    return [
        play(
            BurstLoad(
                kinds=(URGENT, NORMAL, BATCH),
                seed=seed,
                workers=6,
                link_bytes_s=FAST_LINK,
                traffic_s=90,
                rest_s=60,
                plan_ms=100,
                spans=(Span(15, 40, NORMAL.name, 8),),
            ),
            QueueAdmission() if is_controlled else None,
        )
        for seed in SEEDS
    ]


def _results(queue: str, *, is_controlled: bool) -> Counter[str]:
    total: Counter[str] = Counter()
    for outcomes in _outcomes(is_controlled=is_controlled):
        total.update(outcomes[queue].results)
    return total


@pytest.mark.parametrize('queue', ['urgent', 'normal', 'batch'])
def test_callers_get_no_less_in_a_burst(queue: str) -> None:
    """Guards against refusals of jobs that would have been of use."""
    before = _results(queue, is_controlled=False)
    after = _results(queue, is_controlled=True)
    assert after['on_time'] >= before['on_time'] - 2
    served = after.total() - after['useless'] - after['refused']
    assert served >= before.total() - before['useless']


def test_fewer_batch_jobs_are_accepted_in_vain() -> None:
    """Guards against an admission control that never closes a queue."""
    before = _results('batch', is_controlled=False)
    after = _results('batch', is_controlled=True)
    assert after['useless'] < before['useless']
    assert after['late_on_return'] + after['on_time_on_return'] > 0
