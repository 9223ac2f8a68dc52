"""A leader's replay is reproducible, so it can compare decisions and cost."""

from dataclasses import replace

from bench.leader_parts import Parts
from bench.leader_replay import Shape, play

SMALL = Shape(
    plan_gap_ms=20,
    workers=8,
    endless_jobs=2,
    filling_jobs=2,
    settle_s=1,
    measured_s=2,
    seed=3,
)


def test_a_replay_orders_the_same_again_and_times_each_part() -> None:
    parts = Parts()
    first = play(SMALL, parts)
    assert first.digest == play(SMALL, Parts()).digest
    assert min(first.starts, first.looks, first.plans) > 0
    for name in ('plan', 'look', 'StartOrder', 'save'):
        assert parts.spent_ns[name] > 0


def test_another_seed_is_another_replay() -> None:
    first = play(SMALL, Parts())
    other = replace(SMALL, seed=4)
    assert play(other, Parts()).digest != first.digest
