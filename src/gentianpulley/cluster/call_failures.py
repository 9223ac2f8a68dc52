"""Failed calls to workers: why they got no response, and when to retry."""

from collections.abc import Iterator
from types import MappingProxyType
from typing import Final

from gentianpulley.cluster.scheduler_service import SchedulerService
from gentianpulley.cluster.worker import Worker
from gentianpulley.deadline import MS_PER_SECOND
from gentianpulley.errors import WorkerError

RETRY_DELAY_MS: Final = 150
"""Pause after a failed call; a responsive worker answers within
milliseconds."""

RETRY_DELAY_S: Final = RETRY_DELAY_MS / MS_PER_SECOND

_CAUSES: Final = MappingProxyType(
    {
        'ConnectTimeoutError': 'connect_timeout',
        'NewConnectionError': 'refused',
        'ConnectionRefusedError': 'refused',
        'ReadTimeoutError': 'read_timeout',
        'TimeoutError': 'late',
        'ProtocolError': 'closed',
        'RemoteDisconnected': 'closed',
        'ConnectionResetError': 'closed',
        'BrokenPipeError': 'closed',
    }
)


def failure_cause(exc: BaseException) -> str:
    """Return the cause found in the chain of the raised error.

    If none of the errors has a known cause, returns the lowercase class name of
    the raised error.
    """
    names = [type(each).__name__ for each in _chain(exc)]
    causes = (_CAUSES[name] for name in names if name in _CAUSES)
    return next(causes, names[0].lower())


def record_failure(
    service: SchedulerService, worker: Worker, kind: str, exc: WorkerError
) -> None:
    """Count and log a call without a useful reply."""
    service.counters.add(f'{kind}_failed_{failure_cause(exc)}')
    service.log.worker_trouble(worker.worker_id, exc.text)


def _chain(exc: BaseException) -> Iterator[BaseException]:
    cause: BaseException | None = exc
    while cause is not None:
        yield cause
        cause = cause.__cause__
