"""Settings that all tests share."""

from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, settings

from standins.grid_store import GridStore
from standins.grid_worker import GridWorker
from tests.guards import switch_off_named

# The same examples on every run, however slow the machine is.
settings.register_profile(
    'same-every-time',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=(HealthCheck.too_slow,),
)
settings.load_profile('same-every-time')


def pytest_configure(config: pytest.Config) -> None:
    """Register the marker of proofs and switch off a named guard."""
    config.addinivalue_line(
        'markers', 'proof(*guards): fails when any one guard is off'
    )
    switch_off_named()


@pytest.fixture
def grid_store() -> Iterator[GridStore]:
    """Return a store of the platform."""
    running = GridStore()
    running.run_in_background()
    yield running
    running.shutdown()
    running.server_close()


@pytest.fixture
def grid_worker(grid_store: GridStore) -> Iterator[GridWorker]:
    """Return a worker that is registered there."""
    running = GridWorker(grid_store, 'w1')
    running.run_in_background()
    yield running
    running.faults = {}
    running.shutdown()
    running.server_close()
