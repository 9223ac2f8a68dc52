"""Shared settings of all tests."""

import eliot
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


def _discard_line(_: dict[str, object]) -> None:
    """Keep no line: without a destination, the first one gets all of them."""


def pytest_configure(config: pytest.Config) -> None:
    """Register the `proof` marker and switch off the named guard."""
    eliot.add_destinations(_discard_line)
    config.addinivalue_line(
        'markers', 'proof(*guards): fails when any one guard is off'
    )
    switch_off_named()
