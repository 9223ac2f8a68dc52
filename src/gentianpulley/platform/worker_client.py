"""Adapter of the link to a worker: orders over HTTP with JSON bodies."""

from types import MappingProxyType
from typing import Any, Final

import msgspec

from gentianpulley.cluster.worker_protocol import (
    EndCause,
    EndedRow,
    Listing,
    PollOrder,
    PaceOrder,
    RunKey,
    RunningRow,
    OrderContext,
    StartOrder,
    StartReply,
    StartVerdict,
    StopOrder,
    WorkerRegistration,
    WorkerClient,
    WorkerClientFactory,
)
from gentianpulley.errors import (
    WorkerFencedError,
    WorkerGoneError,
    WorkerSilentError,
    WorkerUnreachableError,
)
from gentianpulley.http_conn import HttpResponse, parse_address
from gentianpulley.messages import worker_call_failed
from gentianpulley.platform.task_names import parse_task_name, task_name
from gentianpulley.platform.wire import (
    RUN_LISTS_DECODER,
    WORKER_RESPONSE_DECODER,
    WireLeaseRenewal,
    WirePace,
    WireWorkerResponse,
    WireStart,
    WireStop,
)
from gentianpulley.platform.worker_channel import (
    MIN_RESPONSE_MARGIN_MS,
    WorkerChannel,
)

_OK: Final = 200
_BAD_REQUEST: Final = 400
_CONFLICT: Final = 409
_MISDIRECTED: Final = 421
_FENCE: Final = 'fence'
_EXPECTED_LIFE: Final = 'X-Target-Instance'
_PROGRESS_CELL: Final = 3
_GAUGE_CELL: Final = 4

_REASONS: Final = MappingProxyType(
    {
        _FENCE: StartVerdict.FENCED,
        'old': StartVerdict.OUTDATED,
        'late': StartVerdict.TOO_LATE,
        'room': StartVerdict.NO_ROOM,
        'ticket': StartVerdict.NO_TICKET,
    }
)

_STATUSES: Final = MappingProxyType(
    {
        _OK: StartVerdict.ACCEPTED,
        _BAD_REQUEST: StartVerdict.INVALID,
        _MISDIRECTED: StartVerdict.GONE,
        429: StartVerdict.UNHEALTHY,
        503: StartVerdict.UNHEALTHY,
    }
)


class HttpWorkerClient(WorkerClient):
    """One connection for looks and one for orders to one life of a worker.

    Each belongs to the thread that calls over it, so that a failure of one
    breaks no call of the other.
    """

    def __init__(
        self,
        poll_channel: WorkerChannel,
        command_channel: WorkerChannel,
        born_ms: int,
    ) -> None:
        """Call over two connections; a life without a birth is any."""
        self._looks = poll_channel
        self._orders = command_channel
        self._born_ms = born_ms

    def poll(self, order: PollOrder) -> Listing:
        """Renew, acknowledge and list."""
        wire = WireLeaseRenewal(
            order.token,
            order.acked_end_number,
            order.lease_deadline_worker_ms,
            order.wait_ms,
        )
        answer = _checked('hold', self._looks.call('hold', wire, order.wait_ms))
        try:
            lists = RUN_LISTS_DECODER.decode(answer.body)
            listing = Listing(
                lists.clock_ms,
                lists.born_ms,
                tuple(map(_running_row, lists.running)),
                tuple(map(_ended_row, lists.ended)),
            )
        except (msgspec.DecodeError, ValueError, TypeError) as exc:
            raise WorkerSilentError(str(exc)) from exc
        if self._born_ms and lists.born_ms not in {0, self._born_ms}:
            raise WorkerGoneError(worker_call_failed(_OK, 'another life'))
        return listing

    def start(self, order: StartOrder, context: OrderContext) -> StartReply:
        """Start a run; failures are verdicts."""
        wire = WireStart(
            task_name(order.key.task_id),
            order.key.run,
            order.payload,
            context.lease_deadline_worker_ms,
            context.token,
            order.checkpoint,
            order.ticket,
        )
        try:
            answer = self._orders.call('run-start', wire)
        except WorkerUnreachableError as exc:
            return StartReply(StartVerdict.NOT_SENT, detail=exc.text)
        except WorkerSilentError as exc:
            return StartReply(StartVerdict.LOST, detail=exc.text)
        return _start_reply(answer)

    def stop(self, order: StopOrder, context: OrderContext) -> None:
        """Stop or bar a run; returns once the worker has answered."""
        name = task_name(order.key.task_id)
        wire = WireStop(name, order.key.run, context.token)
        _checked('run-stop', self._orders.call('run-stop', wire))

    def pace(self, order: PaceOrder, context: OrderContext) -> None:
        """Change the share at which a run works."""
        name = task_name(order.key.task_id)
        wire = WirePace(name, order.key.run, order.speed_percent, context.token)
        _checked('pace', self._orders.call('pace', wire))

    def close(self) -> None:
        """Close both connections; no call is under way any more."""
        self._looks.close()
        self._orders.close()


class HttpWorkerClientFactory(WorkerClientFactory):
    """Opens links to workers at the addresses that they register.

    An answer that arrives late is waited for up to `max_response_margin_ms`.
    """

    def __init__(
        self, max_response_margin_ms: int = MIN_RESPONSE_MARGIN_MS
    ) -> None:
        """Wait no longer than given, however slow the answers are."""
        self._longest_slack_ms = max_response_margin_ms

    def connect(self, registration: WorkerRegistration) -> WorkerClient:
        """Return a link to one life of a worker."""
        address = parse_address(registration.address)
        headers = ((_EXPECTED_LIFE, registration.worker_id),)
        slack_ms = self._longest_slack_ms
        return HttpWorkerClient(
            WorkerChannel(address, headers, slack_ms),
            WorkerChannel(address, headers, slack_ms),
            registration.incarnation_ms,
        )


def _checked(path: str, answer: HttpResponse) -> HttpResponse:
    """Return an answer of success, or one that the next look explains."""
    if answer.status == _MISDIRECTED:
        raise WorkerGoneError(worker_call_failed(answer.status, path))
    if answer.status == _CONFLICT:
        reason = _reply(answer).reason
        if reason == _FENCE:
            raise WorkerFencedError(worker_call_failed(_CONFLICT, reason))
        # The run is not there any more, which the next list shows.
        return answer
    if answer.status != _OK:
        raise WorkerUnreachableError(worker_call_failed(answer.status, path))
    return answer


def _start_reply(answer: HttpResponse) -> StartReply:
    reply = _reply(answer)
    verdict = _STATUSES.get(answer.status, StartVerdict.LOST)
    if answer.status == _CONFLICT:
        verdict = _REASONS.get(reply.reason, StartVerdict.LOST)
    return StartReply(verdict, reply.clock_ms, reply.reason, reply.born_ms)


def _reply(answer: HttpResponse) -> WireWorkerResponse:
    try:
        return WORKER_RESPONSE_DECODER.decode(answer.body)
    except msgspec.DecodeError:
        # The status says enough; only the clock and the reason are missing.
        return WireWorkerResponse()


def _running_row(row: tuple[Any, ...]) -> RunningRow:
    progress = row[_PROGRESS_CELL] if len(row) > _PROGRESS_CELL else None
    gauge = row[_GAUGE_CELL] if len(row) > _GAUGE_CELL else None
    return RunningRow(
        RunKey(parse_task_name(row[0]), int(row[1])),
        str(row[2] or ''),
        int(progress or 0),
        int(gauge or 0),
    )


def _ended_row(row: tuple[Any, ...]) -> EndedRow:
    number, *run, how, checkpoint = row
    return EndedRow(
        int(number),
        RunKey(parse_task_name(run[0]), int(run[1])),
        EndCause(how),
        str(checkpoint or ''),
    )
