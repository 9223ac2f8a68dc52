"""Settings of the daemon and of the CLI, read from JSON with comments."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Final, TypeVar

from gentianpulley.json_validation import (
    ErrorList,
    parse_object,
    read_record,
)
from gentianpulley.errors import SettingsError
from gentianpulley.http_conn import HttpAddress, parse_address
from gentianpulley.messages import (
    bad_address,
    empty_name,
    file_unreadable,
    not_positive,
    settings_errors,
)

MAX_BODY_BYTES: Final = 16_777_216
HTTP_THREADS: Final = 64
DRAIN_MS: Final = 30_000

_Settings = TypeVar('_Settings')


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """What a daemon knows before it asks anybody.

    Addresses are host:port. `max_body_bytes` bounds a caller's request,
    `drain_ms` the time a graceful shutdown may take.
    """

    instance: str
    failure_domain: str
    http: str
    peer: str
    store: str
    instance_list: str
    max_body_bytes: int = MAX_BODY_BYTES
    http_threads: int = HTTP_THREADS
    drain_ms: int = DRAIN_MS


@dataclass(frozen=True, slots=True)
class CliSettings:
    """What the CLI needs: the platform's addresses.

    `entries` may name entry instances (host:port of their HTTP fronts) to be
    asked besides those of the instance list.
    """

    store: str
    instance_list: str
    entries: tuple[str, ...] = field(default=())


def load_daemon_settings(path: Path) -> DaemonSettings:
    """Read and check a daemon's settings; raises `SettingsError`."""
    faults = ErrorList()
    settings = _read(path, DaemonSettings, faults)
    if settings is not None:
        _check_daemon(settings, faults)
    return _accepted(settings, faults)


def load_cli_settings(path: Path) -> CliSettings:
    """Read and check the CLI's settings; raises `SettingsError`."""
    faults = ErrorList()
    settings = _read(path, CliSettings, faults)
    if settings is not None:
        _check_address(settings.store, 'store', faults)
        _check_address(settings.instance_list, 'instance_list', faults)
        for entry in settings.entries:
            _check_address(entry, 'entries', faults)
    return _accepted(settings, faults)


def checked_address(text: str) -> HttpAddress:
    """Parse an address that has passed the check."""
    return parse_address(text)


def _read(
    path: Path, settings_type: type[_Settings], faults: ErrorList
) -> _Settings | None:
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(file_unreadable(str(path), exc)) from exc
    parsed = parse_object(text, str(path), faults)
    if faults.errors:
        return None
    return read_record(parsed, settings_type, (), faults)


def _check_daemon(settings: DaemonSettings, faults: ErrorList) -> None:
    for label in ('instance', 'failure_domain'):
        if not getattr(settings, label).strip():
            faults.add((label,), empty_name())
    for place in ('http', 'peer', 'store', 'instance_list'):
        _check_address(getattr(settings, place), place, faults)
    for limit in ('max_body_bytes', 'http_threads', 'drain_ms'):
        if getattr(settings, limit) <= 0:
            faults.add((limit,), not_positive())


def _check_address(text: str, label: str, faults: ErrorList) -> None:
    try:
        parse_address(text)
    except ValueError:
        faults.add((label,), bad_address(text))


def _accepted(settings: _Settings | None, faults: ErrorList) -> _Settings:
    if settings is None or faults.errors:
        listed = '\n'.join(str(fault) for fault in faults.errors)
        raise SettingsError(settings_errors(listed))
    return settings
