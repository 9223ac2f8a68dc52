"""Names why a call to a worker got no answer, for counters."""

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
    """Return the cause as told by the errors under the one that was raised.

    Where none of them is known, it is the name of the raised error's class.
    """
    names = [type(each).__name__ for each in _chain(exc)]
    known = (_CAUSES[name] for name in names if name in _CAUSES)
    return next(known, names[0].lower())


def _chain(exc: BaseException) -> Iterator[BaseException]:
    under: BaseException | None = exc
    while under is not None:
        yield under
        under = under.__cause__
