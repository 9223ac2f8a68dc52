"""Random interleavings exceed no customer's ceiling."""

from typing import Final

import pytest

from tests.scheduling.simulated_customers import CustomerSimulation
from tests.scheduling.simulation import run_simulation

STEPS: Final = 700
UNSEEN_SEEDS: Final = tuple(range(25))
"""Some of these exceed a ceiling if a leader counts only what it has seen."""

KINDS: Final = {
    'long terms': {},
    'short terms': {'short_terms': True},
    'handovers': {'short_terms': True, 'drains': True, 'hands_over': True},
    'losses': {'loses_workers': True, 'hands_over': True},
}


def _run(seed: int, kind: str) -> CustomerSimulation:
    simulation = run_simulation(
        seed, STEPS, simulation_type=CustomerSimulation, **KINDS[kind]
    )
    assert isinstance(simulation, CustomerSimulation)
    return simulation


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('seed', range(25))
def test_a_start_exceeds_the_ceiling_of_its_customer(
    seed: int, kind: str
) -> None:
    simulation = _run(seed, kind)
    assert simulation.violations == []
    assert simulation.miscounts == []


@pytest.mark.proof('ceilings', 'unseen-usage', 'kept-usage')
def test_the_model_finds_runs_that_are_not_counted() -> None:
    simulations = [_run(seed, 'losses') for seed in UNSEEN_SEEDS]
    assert not any(each.violations for each in simulations)
    assert not any(each.miscounts for each in simulations)


def test_the_model_of_customers_does_something() -> None:
    simulations = [_run(seed, 'long terms') for seed in range(25)]
    assert sum(each.full_starts for each in simulations) > 10
