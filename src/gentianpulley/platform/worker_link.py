"""Adapter of the link to a worker: orders over HTTP with JSON bodies."""

from types import MappingProxyType
from typing import Any, Final

import msgspec

from gentianpulley.cluster.link import (
    EndCause,
    EndedRow,
    Listing,
    LookOrder,
    PaceOrder,
    RunKey,
    RunningRow,
    Sent,
    StartOrder,
    StartReply,
    StartVerdict,
    StopOrder,
    WorkerFacts,
    WorkerLink,
    WorkerLinks,
)
from gentianpulley.deadline import deadline_in
from gentianpulley.errors import (
    HttpSilentError,
    HttpUnreachableError,
    WorkerFencedError,
    WorkerGoneError,
    WorkerSilentError,
    WorkerUnreachableError,
)
from gentianpulley.http_conn import HttpAnswer, HttpConn, parse_address
from gentianpulley.messages import worker_answered
from gentianpulley.platform.task_names import parse_task_name, task_name
from gentianpulley.platform.wire import (
    LISTS_DECODER,
    REPLY_DECODER,
    WireHold,
    WirePace,
    WireReply,
    WireStart,
    WireStop,
)

ORDER_TIMEOUT_MS: Final = 500
"""Orders are answered in one round trip, some ms between failure domains; an
order without an answer is sent again."""

LOOK_SLACK_MS: Final = 500
"""How much later than its wait a look is answered at the latest."""

MAX_CONNS: Final = 2
"""One for looks and one for orders."""

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


class HttpWorkerLink(WorkerLink):
    """Two keep-alive connections to one life of a worker."""

    def __init__(self, facts: WorkerFacts) -> None:
        """Connect at the first call."""
        self._conn = HttpConn(parse_address(facts.address), MAX_CONNS)
        self._headers = ((_EXPECTED_LIFE, facts.worker_id),)
        self._born_ms = facts.born_ms

    def look(self, order: LookOrder) -> Listing:
        """Renew, acknowledge and list."""
        wire = WireHold(
            order.token,
            order.acked_number,
            order.lease_worker_ms,
            order.wait_ms,
        )
        answer = self._order('hold', wire, LOOK_SLACK_MS + order.wait_ms)
        try:
            lists = LISTS_DECODER.decode(answer.body)
            listing = Listing(
                lists.clock_ms,
                lists.born_ms,
                tuple(map(_running_row, lists.running)),
                tuple(map(_ended_row, lists.ended)),
            )
        except (msgspec.DecodeError, ValueError, TypeError) as exc:
            raise WorkerSilentError(str(exc)) from exc
        if self._born_ms and lists.born_ms not in {0, self._born_ms}:
            raise WorkerGoneError(worker_answered(_OK, 'another life'))
        return listing

    def start(self, order: StartOrder, sent: Sent) -> StartReply:
        """Start a run; failures are verdicts."""
        wire = WireStart(
            task_name(order.key.task_id),
            order.key.run,
            order.payload,
            sent.lease_worker_ms,
            sent.token,
            order.checkpoint,
            order.ticket,
        )
        try:
            answer = self._call('run-start', wire, ORDER_TIMEOUT_MS)
        except WorkerUnreachableError as exc:
            return StartReply(StartVerdict.NOT_SENT, detail=exc.text)
        except WorkerSilentError as exc:
            return StartReply(StartVerdict.LOST, detail=exc.text)
        return _start_reply(answer)

    def stop(self, order: StopOrder, sent: Sent) -> None:
        """Stop or bar a run; returns once the worker has answered."""
        name = task_name(order.key.task_id)
        wire = WireStop(name, order.key.run, sent.token)
        self._order('run-stop', wire, ORDER_TIMEOUT_MS)

    def pace(self, order: PaceOrder, sent: Sent) -> None:
        """Change the share at which a run works."""
        name = task_name(order.key.task_id)
        wire = WirePace(name, order.key.run, order.percent, sent.token)
        self._order('pace', wire, ORDER_TIMEOUT_MS)

    def close(self) -> None:
        """Close all idle connections."""
        self._conn.close()

    def _order(
        self, path: str, wire: msgspec.Struct, timeout_ms: int
    ) -> HttpAnswer:
        """Send an order that has to be answered with success."""
        answer = self._call(path, wire, timeout_ms)
        if answer.status == _MISDIRECTED:
            raise WorkerGoneError(worker_answered(answer.status, path))
        if answer.status == _CONFLICT:
            reason = _reply(answer).reason
            if reason == _FENCE:
                raise WorkerFencedError(worker_answered(_CONFLICT, reason))
            # The run is not there any more, which the next list shows.
            return answer
        if answer.status != _OK:
            raise WorkerUnreachableError(worker_answered(answer.status, path))
        return answer

    def _call(
        self, path: str, wire: msgspec.Struct, timeout_ms: int
    ) -> HttpAnswer:
        try:
            return self._conn.call(
                'POST',
                f'/gentianpulley/{path}',
                deadline_in(timeout_ms),
                msgspec.json.encode(wire),
                self._headers,
            )
        except HttpUnreachableError as exc:
            raise WorkerUnreachableError(exc.text) from exc
        except HttpSilentError as exc:
            raise WorkerSilentError(exc.text) from exc


class HttpWorkerLinks(WorkerLinks):
    """Opens links to workers at the addresses that they register."""

    def connect(self, facts: WorkerFacts) -> WorkerLink:
        """Return a link to one life of a worker."""
        return HttpWorkerLink(facts)


def _start_reply(answer: HttpAnswer) -> StartReply:
    reply = _reply(answer)
    verdict = _STATUSES.get(answer.status, StartVerdict.LOST)
    if answer.status == _CONFLICT:
        verdict = _REASONS.get(reply.reason, StartVerdict.LOST)
    return StartReply(verdict, reply.clock_ms, reply.reason)


def _reply(answer: HttpAnswer) -> WireReply:
    try:
        return REPLY_DECODER.decode(answer.body)
    except msgspec.DecodeError:
        # The status says enough; only the clock and the reason are missing.
        return WireReply()


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
