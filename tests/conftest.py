"""Shared settings of all tests."""

import pytest
from hypothesis import HealthCheck, settings

from tests.guards import switch_off_named

# Generates the same examples on every run, however slow the machine is.
settings.register_profile(
    'same-every-time',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=(HealthCheck.too_slow,),
)
settings.load_profile('same-every-time')


def pytest_configure(config: pytest.Config) -> None:
    """Register the `proof` marker and switch off the named guard."""
    config.addinivalue_line(
        'markers', 'proof(*guards): fails when any one guard is off'
    )
    switch_off_named()
