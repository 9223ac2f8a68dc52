"""Process settings on the platform: lines of the form a.b=value."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import Final

from gentianpulley.cluster.capacity import (
    DEFAULT_LINK_BYTES_S,
    DEFAULT_MEMORY_BYTES,
    DEFAULT_PROCESSORS_MILLI,
    MILLI,
    InstanceCapacity,
)
from gentianpulley.errors import SettingsError
from gentianpulley.http_conn import HttpAddress, parse_address
from gentianpulley.messages import bad_setting, file_unreadable

DEFAULT_METRICS_PORT: Final = 9464
"""The port given in the deploy file, which is the same on all machines."""

CUSTOMERS_CONTRACT: Final = 'tenants'
"""The contract under which each call needs the key of a customer."""

BYTES_PER_MBIT: Final = 125_000
"""Bytes per second in one Mbit/s."""

BYTES_PER_MB: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class SiteBounds:
    """Limits that the cluster guarantees or requires, in milliseconds."""

    contact_ms: int
    grace_ms: int
    max_lease_ms: int
    stop_ms: int
    harm_ms: int
    status_ms: int
    upkeep_ms: int
    restore_ms: int
    config_apply_ms: int


@dataclass(frozen=True, slots=True)
class PlatformDaemonSettings:
    """Settings that a process reads at start.

    `instance` and `failure_domain` identify it. `front`, `ready`, `store` and
    `metrics` are addresses. `adviser` and `machines` are addresses too, or
    None if the cluster has no such service. `contracts` names what the cluster
    holds its instances to.
    """

    instance: str
    failure_domain: str
    front: HttpAddress
    ready: HttpAddress
    store: HttpAddress
    metrics: HttpAddress
    adviser: HttpAddress | None
    machines: HttpAddress | None
    bounds: SiteBounds
    capacity: InstanceCapacity
    contracts: frozenset[str] = frozenset()

    @property
    def has_customers(self) -> bool:
        """Return whether calls need keys even if the cfg names no customer."""
        return CUSTOMERS_CONTRACT in self.contracts


def load_platform_daemon_settings(path: Path) -> PlatformDaemonSettings:
    """Read the settings file.

    Raises `SettingsError`, which gives the setting that is missing or invalid.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(file_unreadable(str(path), exc)) from exc
    return parse_platform_daemon_settings(text)


def parse_platform_daemon_settings(text: str) -> PlatformDaemonSettings:
    """Parse settings; unknown names are ignored."""
    settings = _parse_lines(text)
    return PlatformDaemonSettings(
        instance=_text(settings, 'node'),
        failure_domain=_text(settings, 'zone'),
        front=_address(settings, 'listen.front'),
        ready=_address(settings, 'listen.ready'),
        store=_address(settings, 'platform.addr'),
        metrics=_metrics_address(settings),
        adviser=_optional_address(settings, 'advice'),
        machines=_optional_address(settings, 'cloud_api.addr'),
        bounds=SiteBounds(
            contact_ms=_number(settings, 'bounds.contact_ms'),
            grace_ms=int(_number(settings, 'bounds.grace_s', 1000)),
            # The maximum lease of a run; "hold" does not mean a delay.
            max_lease_ms=_number(settings, 'bounds.max_hold_ms'),
            stop_ms=_number(settings, 'bounds.stop_ms'),
            harm_ms=_number(settings, 'bounds.harm_ms', default='4000'),
            status_ms=_number(settings, 'bounds.status_s', 1000),
            restore_ms=_number(settings, 'bounds.restore_ms', default='100'),
            upkeep_ms=_number(settings, 'bounds.upkeep_s', 1000, default='2'),
            config_apply_ms=_number(
                settings, 'bounds.config_apply_ms', default='3000'
            ),
        ),
        capacity=_capacity(settings),
        contracts=_names(settings, 'contracts'),
    )


def _names(settings: Mapping[str, str], name: str) -> frozenset[str]:
    """Return the names in a list that is separated by commas."""
    names = map(str.strip, settings.get(name, '').split(','))
    return frozenset(filter(None, names))


def _capacity(settings: Mapping[str, str]) -> InstanceCapacity:
    """Return the limits given in the settings, with defaults for the rest."""
    return InstanceCapacity(
        processors_milli=_processors_milli(settings),
        link_bytes_s=_limit(
            settings,
            'limits.link_mbps',
            BYTES_PER_MBIT,
            DEFAULT_LINK_BYTES_S,
        ),
        memory_bytes=_limit(
            settings,
            'limits.memory_mb',
            BYTES_PER_MB,
            DEFAULT_MEMORY_BYTES,
        ),
    )


def _processors_milli(settings: Mapping[str, str]) -> int:
    """Return the share of each core times the cores, in thousandths."""
    share_milli = _limit(
        settings, 'limits.cpu_share', MILLI, DEFAULT_PROCESSORS_MILLI
    )
    cores = _limit(settings, 'limits.cores', 1, 1)
    return share_milli * cores


def _limit(
    settings: Mapping[str, str], name: str, factor: int, default: int
) -> int:
    """Return a limit, or its default if the setting is missing or empty."""
    if not settings.get(name):
        return default
    return _number(settings, name, factor)


def _parse_lines(text: str) -> dict[str, str]:
    settings = {}
    for line in text.splitlines():
        name, equals, setting = line.partition('=')
        if equals and not line.lstrip().startswith('#'):
            settings[name.strip()] = setting.strip()
    return settings


def _text(settings: Mapping[str, str], name: str) -> str:
    setting = settings.get(name, '')
    if not setting:
        raise SettingsError(bad_setting(name, setting))
    return setting


def _address(settings: Mapping[str, str], name: str) -> HttpAddress:
    setting = _text(settings, name)
    try:
        return parse_address(setting)
    except ValueError as exc:
        raise SettingsError(bad_setting(name, setting)) from exc


def _optional_address(
    settings: Mapping[str, str], name: str
) -> HttpAddress | None:
    """Return an address, or None if the setting is missing or empty."""
    if not settings.get(name):
        return None
    return _address(settings, name)


def _metrics_address(settings: Mapping[str, str]) -> HttpAddress:
    """Return the configured metrics address, or the default port on `ip`."""
    if 'listen.metrics' in settings:
        return _address(settings, 'listen.metrics')
    return HttpAddress(_text(settings, 'ip'), DEFAULT_METRICS_PORT)


def _number(
    settings: Mapping[str, str],
    name: str,
    factor: int = 1,
    default: str = '',
) -> int:
    setting = settings.get(name, default)
    try:
        number = float(setting)
    except ValueError as exc:
        raise SettingsError(bad_setting(name, setting)) from exc
    if not 0 < number < inf:
        raise SettingsError(bad_setting(name, setting))
    return int(number * factor)
