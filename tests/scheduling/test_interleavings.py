"""Random interleavings of leaders, workers and lost orders break nothing."""

import pytest

from tests.scheduling.world import play

WITHOUT_CERTAINTY = (161, 243, 255)
"""Seeds that run a job twice if a deposed leader takes up new jobs."""

SEEDS = (*range(120), *WITHOUT_CERTAINTY)
STEPS = 700


@pytest.mark.parametrize('seed', SEEDS)
def test_nothing_runs_twice_or_over_the_room(seed: int) -> None:
    assert play(seed, STEPS).broken == []


def test_the_model_does_something() -> None:
    worlds = [play(seed, STEPS) for seed in range(10)]
    assert sum(world.starts for world in worlds) > 300
    assert sum(len(world.noted_done) for world in worlds) > 150
    assert sum(len(world.leaders) for world in worlds) > 30
