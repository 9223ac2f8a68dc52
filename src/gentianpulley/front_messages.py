"""Messages between callers, operators and the HTTP front."""

from dataclasses import dataclass

from gentianpulley.peer import PeerStatus
from gentianpulley.request_report import RequestReport
from gentianpulley.result_code import Outcome, ResultCode, code_of


@dataclass(frozen=True, slots=True)
class RequestAnswer:
    """The response to a caller; `answer` is sent as base64.

    `outcome` is one of done, not-run, unknown and pending. `answer_sha256`
    and `answer_length` let the caller check that the answer is complete.
    """

    request_key: str
    outcome: Outcome
    code: int
    name: str
    text: str
    worker: str = ''
    incarnation: int = 0
    answer: bytes = b''
    answer_sha256: str = ''
    answer_length: int = 0

    def http_status(self) -> int:
        """Return the HTTP status of the code."""
        return code_of(self.code).http_status


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """The body of a call that cancels several requests."""

    request_keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WorkerStatus:
    """The status of one owned worker, as shown to operators."""

    name: str
    epoch: int
    is_open: bool
    tasks: int


@dataclass(frozen=True, slots=True)
class PeerSummary:
    """One peer as seen from the instance."""

    instance: str
    failure_domain: str
    is_heard: bool
    has_lease: bool


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """The status that an instance reports about itself."""

    peer: PeerStatus
    ready: bool
    unready_reason: str
    domain_is_out: bool
    isolated_since_ms: int
    queued_jobs: int
    unsettled_writes: int
    store_calls: int
    workers: tuple[WorkerStatus, ...]
    peers: tuple[PeerSummary, ...]


def answer_from_report(report: RequestReport) -> RequestAnswer:
    """Return the response for a request report."""
    code = report.code
    return RequestAnswer(
        request_key=report.request_key,
        outcome=code.outcome,
        code=code.number,
        name=code.name,
        text=report.detail or code.meaning,
        worker=report.worker,
        incarnation=report.incarnation,
        answer=report.answer,
        answer_sha256=report.digest,
        answer_length=len(report.answer),
    )


def error_answer(code: ResultCode, text: str) -> RequestAnswer:
    """Return the response for a request that failed before it had a key."""
    return RequestAnswer('', code.outcome, code.number, code.name, text)
