"""Settings of a process on the platform: lines of the form a.b=value."""

from collections.abc import Mapping
from dataclasses import dataclass
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
"""The port that the deploy file names, as it is the same on all machines."""

BYTES_PER_MBIT: Final = 125_000
"""Bytes a second in one Mbit/s."""

BYTES_PER_MB: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class SiteBounds:
    """Bounds that the site promises or asks for, in milliseconds."""

    contact_ms: int
    grace_ms: int
    max_lease_ms: int
    stop_ms: int
    harm_ms: int
    status_ms: int
    upkeep_ms: int
    restore_ms: int


@dataclass(frozen=True, slots=True)
class PlatformDaemonSettings:
    """What a process is told at its start.

    `instance` and `failure_domain` name it; `front`, `ready`, `store` and
    `metrics` are addresses, and so are `adviser` and `machines` where the
    site has them.
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


def load_platform_daemon_settings(path: Path) -> PlatformDaemonSettings:
    """Read the settings; raises `SettingsError` naming the faulty line."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(file_unreadable(str(path), exc)) from exc
    return parse_platform_daemon_settings(text)


def parse_platform_daemon_settings(text: str) -> PlatformDaemonSettings:
    """Read settings; unknown names are left out."""
    told_settings = _told_settings(text)
    return PlatformDaemonSettings(
        instance=_text(told_settings, 'node'),
        failure_domain=_text(told_settings, 'zone'),
        front=_address(told_settings, 'listen.front'),
        ready=_address(told_settings, 'listen.ready'),
        store=_address(told_settings, 'platform.addr'),
        metrics=_metrics_address(told_settings),
        adviser=_optional_address(told_settings, 'advice'),
        machines=_optional_address(told_settings, 'cloud_api.addr'),
        bounds=SiteBounds(
            contact_ms=_number(told_settings, 'bounds.contact_ms'),
            grace_ms=int(_number(told_settings, 'bounds.grace_s', 1000)),
            # What runs holds a lease of at most this; not a time to hold back.
            max_lease_ms=_number(told_settings, 'bounds.max_hold_ms'),
            stop_ms=_number(told_settings, 'bounds.stop_ms'),
            harm_ms=_number(told_settings, 'bounds.harm_ms', default='4000'),
            status_ms=_number(told_settings, 'bounds.status_s', 1000),
            restore_ms=_number(
                told_settings, 'bounds.restore_ms', default='100'
            ),
            upkeep_ms=_number(
                told_settings, 'bounds.upkeep_s', 1000, default='2'
            ),
        ),
        capacity=_capacity(told_settings),
    )


def _capacity(told_settings: Mapping[str, str]) -> InstanceCapacity:
    """Return the limits that the settings name, and defaults for the rest."""
    return InstanceCapacity(
        processors_milli=_processors_milli(told_settings),
        link_bytes_s=_limit(
            told_settings,
            'limits.link_mbps',
            BYTES_PER_MBIT,
            DEFAULT_LINK_BYTES_S,
        ),
        memory_bytes=_limit(
            told_settings,
            'limits.memory_mb',
            BYTES_PER_MB,
            DEFAULT_MEMORY_BYTES,
        ),
    )


def _processors_milli(told_settings: Mapping[str, str]) -> int:
    """Return the share of each core times the cores, in thousandths."""
    share_milli = _limit(
        told_settings, 'limits.cpu_share', MILLI, DEFAULT_PROCESSORS_MILLI
    )
    cores = _limit(told_settings, 'limits.cores', 1, 1)
    return share_milli * cores


def _limit(
    told_settings: Mapping[str, str], name: str, factor: int, default: int
) -> int:
    """Return a limit; one that is missing or empty takes the default."""
    if not told_settings.get(name):
        return default
    return _number(told_settings, name, factor)


def _told_settings(text: str) -> dict[str, str]:
    told_settings = {}
    for line in text.splitlines():
        name, equals, told = line.partition('=')
        if equals and not line.lstrip().startswith('#'):
            told_settings[name.strip()] = told.strip()
    return told_settings


def _text(told_settings: Mapping[str, str], name: str) -> str:
    told = told_settings.get(name, '')
    if not told:
        raise SettingsError(bad_setting(name, told))
    return told


def _address(told_settings: Mapping[str, str], name: str) -> HttpAddress:
    told = _text(told_settings, name)
    try:
        return parse_address(told)
    except ValueError as exc:
        raise SettingsError(bad_setting(name, told)) from exc


def _optional_address(
    told_settings: Mapping[str, str], name: str
) -> HttpAddress | None:
    """Return an address, None if the setting is missing or empty."""
    if not told_settings.get(name):
        return None
    return _address(told_settings, name)


def _metrics_address(told_settings: Mapping[str, str]) -> HttpAddress:
    """Return where metrics are served: told, or the usual port."""
    if 'listen.metrics' in told_settings:
        return _address(told_settings, 'listen.metrics')
    return HttpAddress(_text(told_settings, 'ip'), DEFAULT_METRICS_PORT)


def _number(
    told_settings: Mapping[str, str],
    name: str,
    factor: int = 1,
    default: str = '',
) -> int:
    told = told_settings.get(name, default)
    try:
        number = float(told)
    except ValueError as exc:
        raise SettingsError(bad_setting(name, told)) from exc
    if number <= 0:
        raise SettingsError(bad_setting(name, told))
    return int(number * factor)
