"""The exception tree; every exception carries a numbered result code."""

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
    """Base of all errors of the project."""

    code: ResultCode = INTERNAL

    def __init__(self, text: str) -> None:
        """Keep the text for people; the code is the class's."""
        super().__init__(text)
        self.text = text


class RequestRefusedError(GentianpulleyError):
    """A request that is refused and has not run."""

    def __init__(self, code: ResultCode, text: str) -> None:
        """Carry the code of the refusal."""
        super().__init__(text)
        self.code = code


class SettingsError(GentianpulleyError):
    """Settings of a process with faults; nothing was started."""

    code = SETTINGS_INVALID


class CfgError(GentianpulleyError):
    """A cfg with faults; nothing was changed."""

    code = CFG_INVALID


class CfgConflictError(GentianpulleyError):
    """A change that lost against another operator's."""

    code = CFG_CONFLICT


class StoreError(GentianpulleyError):
    """A call to the store that did not succeed."""

    code = STORE_FAILED


class StoreUnreachableError(StoreError):
    """The call was never sent, so it had no effect."""


class StoreAnswerLostError(StoreError):
    """The call was sent but not answered; it may have taken effect."""


class StoreRefusedError(StoreError):
    """The store answered with an error; the call had no effect."""


class StoreCompactedError(StoreRefusedError):
    """The store no longer has the history that a watch asked for."""


class InstanceListError(GentianpulleyError):
    """The instance list could not be read."""


class WorkerError(GentianpulleyError):
    """A call to a worker that did not succeed."""


class WorkerUnreachableError(WorkerError):
    """The call was never sent, so the worker did nothing."""


class WorkerSilentError(WorkerError):
    """The call was sent but not answered; the worker may have acted."""


class WorkerRefusedError(WorkerError):
    """The worker answered that it did not do what was asked."""

    def __init__(self, code: ResultCode, text: str) -> None:
        """Carry the code of the refusal."""
        super().__init__(text)
        self.code = code


class WorkerFencedError(WorkerError):
    """The worker has seen a higher fencing token; it did nothing."""


class WorkerGoneError(WorkerError):
    """Another life of the worker answered; the one that was meant is over."""


class MachineParkError(GentianpulleyError):
    """The platform did not answer a question about its machines."""


class AdviceError(GentianpulleyError):
    """The advice service did not answer a question."""


class PeerError(GentianpulleyError):
    """A call to another entry instance that did not succeed."""

    code = PEER_UNREACHABLE


class PeerUnreachableError(PeerError):
    """The call was never sent, so the peer did nothing."""


class PeerSilentError(PeerError):
    """The call was sent but not answered; the peer may have acted."""


class HttpUnreachableError(GentianpulleyError):
    """An HTTP request that was never sent."""


class HttpSilentError(GentianpulleyError):
    """An HTTP request that was sent but not answered whole and in time."""
