"""Bursts are replayed with the former order and with the order in use."""

from contextlib import ExitStack
from typing import Final

import pytest

from bench.order import VARIANTS
from bench.order_replay import LoadOutcome, play_load
from bench.order_work import Load

SEEDS: Final = range(1, 6)


def _play(variant: str) -> list[LoadOutcome]:
    with ExitStack() as stack:
        VARIANTS[variant](stack)
        return [
            play_load(Load('burst', seed, True, 12, serving_share=0.6))
            for seed in SEEDS
        ]


def _on_time(outcomes: list[LoadOutcome], queue: str) -> int:
    return sum(outcome.queues[queue].on_time for outcome in outcomes)


@pytest.mark.proof('delay-cost')
def test_a_burst_has_more_jobs_on_time_than_by_the_earliest_objective() -> None:
    """The earliest objective first made most jobs of a burst late."""
    former = _play('earliest objective')
    ordered = _play('worth of work')
    assert _on_time(ordered, 'batch') > _on_time(former, 'batch')
    assert _on_time(ordered, 'urgent') >= _on_time(former, 'urgent')
