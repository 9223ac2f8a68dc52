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
    """The settings that a daemon needs before it contacts any other process.

    Addresses are host:port. `max_body_bytes` limits the size of a caller's
    request and `drain_ms` the duration of a graceful shutdown.
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
    """The settings of the CLI: the addresses of the platform.

    `entries` may list entry instances (host:port of their HTTP fronts) to call
    in addition to those of the instance list.
    """

    store: str
    instance_list: str
    entries: tuple[str, ...] = field(default=())


def load_daemon_settings(path: Path) -> DaemonSettings:
    """Read and check a daemon's settings; raises `SettingsError`."""
    errors = ErrorList()
    settings = _read(path, DaemonSettings, errors)
    if settings is not None:
        _check_daemon(settings, errors)
    return _require_valid(settings, errors)


def load_cli_settings(path: Path) -> CliSettings:
    """Read and check the CLI's settings; raises `SettingsError`."""
    errors = ErrorList()
    settings = _read(path, CliSettings, errors)
    if settings is not None:
        _check_address(settings.store, 'store', errors)
        _check_address(settings.instance_list, 'instance_list', errors)
        for entry in settings.entries:
            _check_address(entry, 'entries', errors)
    return _require_valid(settings, errors)


def checked_address(text: str) -> HttpAddress:
    """Parse an address that has already been validated."""
    return parse_address(text)


def _read(
    path: Path, settings_type: type[_Settings], errors: ErrorList
) -> _Settings | None:
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(file_unreadable(str(path), exc)) from exc
    parsed = parse_object(text, str(path), errors)
    if errors.errors:
        return None
    return read_record(parsed, settings_type, (), errors)


def _check_daemon(settings: DaemonSettings, errors: ErrorList) -> None:
    for label in ('instance', 'failure_domain'):
        if not getattr(settings, label).strip():
            errors.add((label,), empty_name())
    for key in ('http', 'peer', 'store', 'instance_list'):
        _check_address(getattr(settings, key), key, errors)
    for limit in ('max_body_bytes', 'http_threads', 'drain_ms'):
        if getattr(settings, limit) <= 0:
            errors.add((limit,), not_positive())


def _check_address(text: str, label: str, errors: ErrorList) -> None:
    try:
        parse_address(text)
    except ValueError:
        errors.add((label,), bad_address(text))


def _require_valid(settings: _Settings | None, errors: ErrorList) -> _Settings:
    if settings is None or errors.errors:
        listed = '\n'.join(str(error) for error in errors.errors)
        raise SettingsError(settings_errors(listed))
    return settings
