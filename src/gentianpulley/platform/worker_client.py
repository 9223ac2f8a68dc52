"""Adapter for worker clients: orders over HTTP with JSON bodies."""

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
    WorkerReplacedError,
    WorkerSilentError,
    WorkerUnreachableError,
)
from gentianpulley.http_conn import HttpResponse, parse_address
from gentianpulley.json_decoding import decode_json
from gentianpulley.messages import worker_call_failed
from gentianpulley.platform.task_names import parse_task_name, task_name
from gentianpulley.platform.wire import (
    MAX_NUMBER,
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
_INCARNATION_HEADER: Final = 'X-Target-Instance'
_PROGRESS_CELL: Final = 3
_MEASUREMENT_CELL: Final = 4

_MALFORMED: Final = (
    msgspec.DecodeError,
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
)
"""Errors of rows that are too short, or have other types or sizes."""

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
    """Polls one incarnation of a worker and sends orders to it.

    Polls use one connection and orders another. Each connection belongs to the
    task that calls over it, so a failure of one breaks no call on the other.
    """

    def __init__(
        self,
        poll_channel: WorkerChannel,
        command_channel: WorkerChannel,
        born_ms: int,
    ) -> None:
        """Call over two connections; 0 as `born_ms` is any incarnation."""
        self._poll_channel = poll_channel
        self._command_channel = command_channel
        self._born_ms = born_ms

    async def poll(self, order: PollOrder) -> Listing:
        """Renew the lease, acknowledge ends and return the run lists."""
        wire = WireLeaseRenewal(
            order.token,
            order.acked_end_number,
            order.lease_deadline_worker_ms,
            order.wait_ms,
        )
        response = _checked(
            'hold', await self._poll_channel.call('hold', wire, order.wait_ms)
        )
        try:
            run_lists = decode_json(RUN_LISTS_DECODER, response.body)
            listing = Listing(
                run_lists.clock_ms,
                run_lists.born_ms,
                tuple(map(_running_row, run_lists.running)),
                tuple(map(_ended_row, run_lists.ended)),
            )
        except _MALFORMED as exc:
            # A row that cannot be read may be a run, so none is known.
            raise WorkerSilentError(str(exc)) from exc
        if self._born_ms and run_lists.born_ms not in {0, self._born_ms}:
            raise WorkerGoneError(
                worker_call_failed(_OK, 'another incarnation'),
                run_lists.born_ms,
            )
        return listing

    async def start(
        self, order: StartOrder, context: OrderContext
    ) -> StartReply:
        """Start a run; a failed call is reported in the reply."""
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
            response = await self._command_channel.call('run-start', wire)
        except WorkerUnreachableError as exc:
            return StartReply(StartVerdict.NOT_SENT, detail=exc.text)
        except WorkerSilentError as exc:
            return StartReply(StartVerdict.LOST, detail=exc.text)
        return _start_reply(response)

    async def stop(self, order: StopOrder, context: OrderContext) -> None:
        """Stop a run or prevent its start; return once the worker responds."""
        name = task_name(order.key.task_id)
        wire = WireStop(name, order.key.run, context.token)
        _checked('run-stop', await self._command_channel.call('run-stop', wire))

    async def pace(self, order: PaceOrder, context: OrderContext) -> None:
        """Change the speed of a run."""
        name = task_name(order.key.task_id)
        wire = WirePace(name, order.key.run, order.speed_percent, context.token)
        _checked('pace', await self._command_channel.call('pace', wire))

    def close(self) -> None:
        """Close both connections; no call may be in flight."""
        self._poll_channel.close()
        self._command_channel.close()


class HttpWorkerClientFactory(WorkerClientFactory):
    """Creates clients of workers at their registered addresses.

    Clients wait up to `max_response_margin_ms` for a late response.
    """

    def __init__(
        self, max_response_margin_ms: int = MIN_RESPONSE_MARGIN_MS
    ) -> None:
        """Limit how long clients wait, however slow the responses are."""
        self._max_response_margin_ms = max_response_margin_ms

    def connect(self, registration: WorkerRegistration) -> WorkerClient:
        """Return a client of one incarnation of a worker."""
        address = parse_address(registration.address)
        headers = ((_INCARNATION_HEADER, registration.worker_id),)
        margin_ms = self._max_response_margin_ms
        return HttpWorkerClient(
            WorkerChannel(address, headers, margin_ms),
            WorkerChannel(address, headers, margin_ms),
            registration.incarnation_ms,
        )


def _checked(path: str, response: HttpResponse) -> HttpResponse:
    """Return a successful response, or one that the next poll explains."""
    if response.status == _MISDIRECTED:
        raise WorkerReplacedError(worker_call_failed(response.status, path))
    if response.status == _CONFLICT:
        reason = _reply(response).reason
        if reason == _FENCE:
            raise WorkerFencedError(worker_call_failed(_CONFLICT, reason))
        # The worker no longer has the run, which the next run list shows.
        return response
    if response.status != _OK:
        raise WorkerUnreachableError(worker_call_failed(response.status, path))
    return response


def _start_reply(response: HttpResponse) -> StartReply:
    reply = _reply(response)
    verdict = _STATUSES.get(response.status, StartVerdict.LOST)
    if response.status == _CONFLICT:
        verdict = _REASONS.get(reply.reason, StartVerdict.LOST)
    return StartReply(verdict, reply.clock_ms, reply.reason, reply.born_ms)


def _reply(response: HttpResponse) -> WireWorkerResponse:
    try:
        return decode_json(WORKER_RESPONSE_DECODER, response.body)
    except msgspec.DecodeError:
        # The status suffices; only the clock and the reason are missing.
        return WireWorkerResponse()


def _running_row(row: tuple[Any, ...]) -> RunningRow:
    progress = row[_PROGRESS_CELL] if len(row) > _PROGRESS_CELL else None
    measurement = (
        row[_MEASUREMENT_CELL] if len(row) > _MEASUREMENT_CELL else None
    )
    return RunningRow(
        RunKey(parse_task_name(row[0]), int(row[1])),
        str(row[2] or ''),
        _bounded(progress or 0),
        _bounded(measurement or 0),
    )


def _bounded(cell: Any) -> int:
    """Return the number in a cell; raises `ValueError` if out of range."""
    number = int(cell)
    if abs(number) > MAX_NUMBER:
        raise ValueError(number)
    return number


def _ended_row(row: tuple[Any, ...]) -> EndedRow:
    number, *run, how, checkpoint = row
    return EndedRow(
        int(number),
        RunKey(parse_task_name(run[0]), int(run[1])),
        EndCause(how),
        str(checkpoint or ''),
    )
