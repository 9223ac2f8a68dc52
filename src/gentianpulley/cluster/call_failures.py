"""Classifies why a call to a worker got no response, for counters."""

from collections.abc import Iterator
from types import MappingProxyType
from typing import Final

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


def _chain(exc: BaseException) -> Iterator[BaseException]:
    cause: BaseException | None = exc
    while cause is not None:
        yield cause
        cause = cause.__cause__
