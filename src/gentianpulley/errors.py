"""The exception hierarchy; every exception has a numbered result code."""

from gentianpulley.result_code import (
    CFG_CONFLICT,
    CFG_INVALID,
    INTERNAL,
    PEER_UNREACHABLE,
    SETTINGS_INVALID,
    STORE_FAILED,
    ResultCode,
)


class GentianpulleyError(Exception):
    """Base class of all exceptions of the project."""

    code: ResultCode = INTERNAL

    def __init__(self, text: str) -> None:
        """Store the text for operators; the class defines the code."""
        super().__init__(text)
        self.text = text


class RequestRefusedError(GentianpulleyError):
    """A request was refused and has not run."""

    def __init__(self, code: ResultCode, text: str) -> None:
        """Store the result code of the refusal."""
        super().__init__(text)
        self.code = code


class SettingsError(GentianpulleyError):
    """The settings of a process are invalid; nothing was started."""

    code = SETTINGS_INVALID


class CfgError(GentianpulleyError):
    """A cfg is invalid; nothing was changed."""

    code = CFG_INVALID


class CfgConflictError(GentianpulleyError):
    """A change conflicts with another operator's change, which won."""

    code = CFG_CONFLICT


class StoreError(GentianpulleyError):
    """A call to the store failed."""

    code = STORE_FAILED


class StoreUnreachableError(StoreError):
    """The call was never sent, so it had no effect."""


class StoreAnswerLostError(StoreError):
    """The call was sent but got no response; it may have taken effect."""


class StoreRefusedError(StoreError):
    """The store responded with an error; the call had no effect."""


class StoreCompactedError(StoreRefusedError):
    """The store has compacted the history that a watch requested."""


class InstanceListError(GentianpulleyError):
    """The instance list could not be read."""


class WorkerError(GentianpulleyError):
    """A call to a worker failed."""


class WorkerUnreachableError(WorkerError):
    """The call was never sent, so the worker did nothing."""


class WorkerSilentError(WorkerError):
    """The call was sent but got no response; the worker may have acted."""


class WorkerRefusedError(WorkerError):
    """The worker responded that it did not execute the request."""

    def __init__(self, code: ResultCode, text: str) -> None:
        """Store the result code of the refusal."""
        super().__init__(text)
        self.code = code


class WorkerFencedError(WorkerError):
    """The worker has seen a higher fencing token; it did nothing."""


class WorkerGoneError(WorkerError):
    """Another incarnation of the worker responded; the expected one is over.

    `incarnation_ms` is the one that responded, zero if it is not known.
    """

    def __init__(self, text: str, incarnation_ms: int = 0) -> None:
        """Store which incarnation responded."""
        super().__init__(text)
        self.incarnation_ms = incarnation_ms


class WorkerReplacedError(WorkerGoneError):
    """A worker with another id responded at the address of the expected one."""


class MachineParkError(GentianpulleyError):
    """The platform did not answer a query about its machines."""


class AdviceError(GentianpulleyError):
    """The advice service did not answer a query."""


class PeerError(GentianpulleyError):
    """A call to another entry instance failed."""

    code = PEER_UNREACHABLE


class PeerUnreachableError(PeerError):
    """The call was never sent, so the peer did nothing."""


class PeerSilentError(PeerError):
    """The call was sent but got no response; the peer may have acted."""


class HttpUnreachableError(GentianpulleyError):
    """An HTTP request was never sent."""


class HttpSilentError(GentianpulleyError):
    """An HTTP request was sent but got no complete response in time."""
