"""The platform's settings file: required, optional and invalid settings."""

import pytest

from gentianpulley.cluster.capacity import InstanceCapacity
from gentianpulley.errors import SettingsError
from gentianpulley.http_conn import HttpAddress
from gentianpulley.platform.daemon_settings import (
    DEFAULT_METRICS_PORT,
    parse_platform_daemon_settings,
)

LINES = {
    'node': 'front-a-1',
    'zone': 'a',
    'ip': '10.1.0.13',
    'listen.front': '10.1.0.13:8161',
    'listen.ready': '10.1.0.13:8167',
    'platform.addr': '10.200.1.7:8169',
    'bounds.contact_ms': '3000',
    'bounds.grace_s': '6',
    'bounds.max_hold_ms': '6000',
    'bounds.stop_ms': '900',
    'bounds.harm_ms': '4000',
    'bounds.status_s': '120',
}


def _text(name: str, setting: str) -> str:
    settings = {**LINES, name: setting}
    return '\n'.join(f'{name}={each}' for name, each in settings.items())


def test_settings_are_read_and_unknown_ones_left_out() -> None:
    settings = parse_platform_daemon_settings(_text('some.new.field', 'x'))
    assert settings.instance == 'front-a-1'
    assert settings.front == HttpAddress('10.1.0.13', 8161)
    assert settings.metrics == HttpAddress('10.1.0.13', DEFAULT_METRICS_PORT)
    assert settings.bounds.grace_ms == 6000
    assert settings.bounds.status_ms == 120_000


@pytest.mark.parametrize(
    ('contracts', 'has_customers'),
    [
        ('jobs,tenants,quota', True),
        (' tenants ', True),
        ('jobs,subtenants', False),
        ('', False),
    ],
)
def test_contracts_tell_whether_there_are_customers(
    contracts: str, *, has_customers: bool
) -> None:
    settings = parse_platform_daemon_settings(_text('contracts', contracts))
    assert settings.has_customers is has_customers
    assert settings.bounds.config_apply_ms == 3000


def test_fractions_are_allowed_where_lengths_are_told() -> None:
    settings = parse_platform_daemon_settings(_text('bounds.grace_s', '1.5'))
    assert settings.bounds.grace_ms == 1500


@pytest.mark.parametrize(
    ('name', 'told', 'capacity'),
    [
        ('some.new.field', 'x', InstanceCapacity()),
        ('limits.cores', '', InstanceCapacity()),
        ('limits.cores', '3', InstanceCapacity(processors_milli=3000)),
        ('limits.cpu_share', '0.516', InstanceCapacity(processors_milli=516)),
        ('limits.link_mbps', '10', InstanceCapacity(link_bytes_s=1_250_000)),
        ('limits.memory_mb', '200', InstanceCapacity(memory_bytes=200_000_000)),
    ],
)
def test_limits_are_read_and_have_defaults(
    name: str, told: str, capacity: InstanceCapacity
) -> None:
    assert (
        parse_platform_daemon_settings(_text(name, told)).capacity == capacity
    )


@pytest.mark.parametrize(
    ('name', 'told'),
    [
        ('limits.cpu_share', 'half'),
        ('limits.link_mbps', '0'),
        ('node', ''),
        ('zone', ''),
        ('listen.front', '10.1.0.13'),
        ('listen.ready', 'host:port'),
        ('platform.addr', ''),
        ('bounds.grace_s', 'six'),
        ('bounds.stop_ms', '0'),
        ('bounds.contact_ms', '-1'),
    ],
)
def test_a_faulty_setting_is_named(name: str, told: str) -> None:
    with pytest.raises(SettingsError, match=name):
        parse_platform_daemon_settings(_text(name, told))
