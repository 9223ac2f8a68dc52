"""Random interleavings of leaders, workers and lost orders break nothing."""

import pytest

from tests.scheduling.simulation import run_simulation

WITHOUT_CERTAINTY = (161, 243, 255)
"""Seeds that run a job twice if a deposed leader takes up new jobs."""

WITHOUT_USE = (241, 322)
"""Seeds that run a job twice in short reigns if a leader takes a worker that
came back without noting on the roster that it is in use again."""

WITH_A_RUN_LEFT = 72
"""Seed that runs a job twice while workers drain if a leader does not tell of
workers that leave with a run on them."""

WHILE_LOADING = 290
"""Seed that runs a job twice if a leader that has lost its key takes up jobs
that came while it loaded."""

DRAIN_SEEDS = (*range(60), WITH_A_RUN_LEFT, WHILE_LOADING)
SHORT_REIGN_SEEDS = (*range(60), *WITHOUT_USE)
SEEDS = (*range(120), *WITHOUT_CERTAINTY)
STEPS = 700


@pytest.mark.parametrize('seed', SEEDS)
def test_nothing_runs_twice_or_over_the_room(seed: int) -> None:
    assert run_simulation(seed, STEPS).violations == []


@pytest.mark.parametrize('seed', SHORT_REIGN_SEEDS)
def test_nothing_runs_twice_in_short_reigns(seed: int) -> None:
    """What a leader proved of workers that left is used by the next ones."""
    assert run_simulation(seed, STEPS, short_reigns=True).violations == []


@pytest.mark.parametrize('seed', DRAIN_SEEDS)
def test_nothing_runs_twice_while_workers_drain(seed: int) -> None:
    """A successor does not wait for workers that left with nothing on them."""
    world = run_simulation(seed, STEPS, short_reigns=True, drains=True)
    assert world.violations == []


@pytest.mark.parametrize('seed', range(60))
def test_nothing_runs_twice_after_leaders_that_left(seed: int) -> None:
    """A successor waits only for the leases that were given."""
    world = run_simulation(
        seed, STEPS, short_reigns=True, drains=True, hands_over=True
    )
    assert world.violations == []


def test_the_model_does_something() -> None:
    worlds = [run_simulation(seed, STEPS) for seed in range(10)]
    assert sum(world.starts for world in worlds) > 300
    assert sum(len(world.completed_tasks) for world in worlds) > 150
    assert sum(len(world.leaders) for world in worlds) > 30
