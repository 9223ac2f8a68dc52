"""Links to workers that go through relays while the own link is too narrow.

For all that is above, a relay is another network path: a call that surely did
not leave was not sent, one without an answer is unknown. After any failure
through a relay, calls of the same thread go directly for a while.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

from gentianpulley.cluster.link import (
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
from gentianpulley.cluster.list_change import apply_change
from gentianpulley.cluster.relay_codec import (
    change_from_wire,
    error_of,
    listing_from_wire,
    outcome_name,
    reply_from_wire,
    run_to_wire,
)
from gentianpulley.cluster.relay_line import RelayLine
from gentianpulley.cluster.relay_payloads import payload_digest
from gentianpulley.cluster.relay_table import RelayTable
from gentianpulley.cluster.relaying import RelayFacts
from gentianpulley.counters import Counters
from gentianpulley.deadline import deadline_in, has_passed
from gentianpulley.errors import (
    PeerSilentError,
    PeerUnreachableError,
    WorkerError,
    WorkerSilentError,
    WorkerUnreachableError,
)
from gentianpulley.relay_gen import ttypes

SEND_WITHIN_MS: Final = 450
"""How long after an order began its relay may begin to send. With the half
second in which a relay connects to a worker, an order then leaves no later than
a direct one, which may take a second to connect. A look has its wait besides:
it renews and acknowledges alike whenever it arrives."""

ANSWER_WITHIN_MS: Final = 1300
"""How long after the end of its wait a call is answered at the latest: the
time to send, the half second in which the worker answers, and the way back."""

DIRECT_MS: Final = 2000
"""How long calls go directly after a failure through a relay."""

SHORT_PAYLOAD: Final = 64
"""Payloads up to this length are sent along; their digest is no shorter."""

_Answer = TypeVar('_Answer')


@dataclass(frozen=True, slots=True)
class RelayUse:
    """What relayed links share."""

    table: RelayTable
    counters: Counters


class RelayedLink(WorkerLink):
    """A link to one life of a worker that chooses its way for each call."""

    def __init__(
        self, facts: WorkerFacts, direct: WorkerLink, use: RelayUse
    ) -> None:
        """Connect at the first call."""
        self._direct = direct
        self._table = use.table
        way = _Way(facts, use)
        self._looks = _Lane(way, 'looks')
        self._orders = _Lane(way, 'orders')
        self._listed: tuple[RunningRow, ...] = ()
        self._version = 0
        self._is_closed = False
        self._table.note_worker(1)

    def look(self, order: LookOrder) -> Listing:
        """Renew, acknowledge and list."""
        line = self._looks.line()
        if line is None:
            return self._direct.look(order)
        due_ms = deadline_in(order.wait_ms)
        if self._looks.is_new:
            self._version = 0
        look = ttypes.Look(
            line.on_relay_ms(due_ms + SEND_WITHIN_MS),
            line.on_relay_ms(due_ms),
            order.token,
            order.acked_number,
            order.lease_worker_ms,
            self._version,
        )
        wire = self._looks.call(
            lambda client: client.look(look), due_ms + ANSWER_WITHIN_MS
        )
        self._looks.check(wire.answer)
        try:
            return self._listing(wire)
        except (ValueError, IndexError) as exc:
            raise self._looks.failed(WorkerSilentError(str(exc))) from exc

    def start(self, order: StartOrder, sent: Sent) -> StartReply:
        """Start a run; failures are verdicts."""
        if not self._table.may_start():
            return self._direct.start(order, sent)
        began_ms = deadline_in(0)
        try:
            line = self._orders.line()
        except WorkerUnreachableError as exc:
            return StartReply(StartVerdict.NOT_SENT, detail=exc.text)
        if line is None:
            return self._direct.start(order, sent)
        try:
            wire = self._start(line, began_ms, order, sent)
        except WorkerUnreachableError as exc:
            return StartReply(StartVerdict.NOT_SENT, detail=exc.text)
        except WorkerError as exc:
            return StartReply(StartVerdict.LOST, detail=exc.text)
        reply = reply_from_wire(wire)
        if reply.verdict in {StartVerdict.NOT_SENT, StartVerdict.LOST}:
            self._orders.go_directly()
        return reply

    def stop(self, order: StopOrder, sent: Sent) -> None:
        """Stop or bar a run; returns once the worker has answered."""
        began_ms = deadline_in(0)
        line = self._orders.line()
        if line is None:
            self._direct.stop(order, sent)
            return
        wire = _order(line, began_ms, order.key, sent)
        answer = self._orders.call(
            lambda client: client.stop(wire), began_ms + ANSWER_WITHIN_MS
        )
        self._orders.check(answer)

    def pace(self, order: PaceOrder, sent: Sent) -> None:
        """Change the share at which a run works."""
        began_ms = deadline_in(0)
        line = self._orders.line()
        if line is None:
            self._direct.pace(order, sent)
            return
        wire = _order(line, began_ms, order.key, sent)
        answer = self._orders.call(
            lambda client: client.pace(wire, order.percent),
            began_ms + ANSWER_WITHIN_MS,
        )
        self._orders.check(answer)

    def close(self) -> None:
        """Close all connections; no call is under way any more."""
        if self._is_closed:
            return
        self._is_closed = True
        self._table.note_worker(-1)
        self._looks.close()
        self._orders.close()
        self._direct.close()

    def _start(
        self, line: RelayLine, began_ms: int, order: StartOrder, sent: Sent
    ) -> ttypes.StartAnswer:
        """Name the job; its payload follows if the relay cannot read it."""
        wire_order = _order(line, began_ms, order.key, sent)
        start = ttypes.Start(order.checkpoint, order.ticket)
        if len(order.payload) > SHORT_PAYLOAD:
            start.payload_digest = payload_digest(order.payload)
        else:
            start.payload = order.payload
        until_ms = began_ms + ANSWER_WITHIN_MS
        wire = self._orders.call(
            lambda client: client.start(wire_order, start), until_ms
        )
        if wire.answer.outcome == ttypes.Outcome.NO_PAYLOAD:
            start.payload = order.payload
            wire = self._orders.call(
                lambda client: client.start(wire_order, start), until_ms
            )
        self._orders.check(wire.answer)
        return wire

    def _listing(self, wire: ttypes.LookAnswer) -> Listing:
        """Rebuild the whole list; raises `ValueError` or `IndexError`."""
        change = wire.running
        if change is None or change.base not in {0, self._version}:
            raise ValueError('a list without its base')
        former = self._listed if change.base else ()
        self._listed = apply_change(former, change_from_wire(change))
        self._version = change.version
        return listing_from_wire(wire, self._listed)


class RelayedLinks(WorkerLinks):
    """Opens links that go through relays where those are needed."""

    def __init__(self, direct: WorkerLinks, use: RelayUse) -> None:
        """Go directly by `direct`."""
        self._direct = direct
        self._use = use

    def connect(self, facts: WorkerFacts) -> WorkerLink:
        """Return a link to one life of a worker."""
        return RelayedLink(facts, self._direct.connect(facts), self._use)


class _Way:
    """The relay of a worker's calls, shared by its two threads."""

    def __init__(self, facts: WorkerFacts, use: RelayUse) -> None:
        self.facts = facts
        self.use = use
        self._usable: tuple[RelayFacts, ...] = ()
        self._relay: RelayFacts | None = None

    def relay(self) -> RelayFacts | None:
        """Return the relay of now, None to go directly."""
        usable = self.use.table.usable
        if usable is not self._usable:
            self._usable = usable
            self._choose()
        return self._relay

    def _choose(self) -> None:
        former = self._relay
        facts = self.facts
        relay = self.use.table.choose(facts.worker_id, facts.failure_domain)
        self._relay = relay
        if relay != former:
            name = relay.instance if relay else 'none'
            self.use.table.log.worker_relayed(facts.worker_id, name)


class _Lane:
    """The calls of one thread through whichever relay is chosen."""

    def __init__(self, way: _Way, kind: str) -> None:
        self.is_new = False
        self._way = way
        self._kind = kind
        self._relay: RelayFacts | None = None
        self._line: RelayLine | None = None
        self._direct_until_ms = 0

    def line(self) -> RelayLine | None:
        """Return the connection to use, None to go directly.

        Raises `WorkerUnreachableError` if the relay cannot be reached.
        """
        relay = self._way.relay()
        if relay != self._relay:
            self.close()
        if relay is None or not has_passed(self._direct_until_ms):
            return None
        line = self._line
        self.is_new = line is None or not line.is_open()
        if line is None or self.is_new:
            line = self._opened(relay)
        return line

    def call(self, method: Callable[[Any], _Answer], until_ms: int) -> _Answer:
        """Call the relay; raises `WorkerSilentError` without an answer."""
        line = self._line
        if line is None:
            raise WorkerUnreachableError('no connection to a relay')
        try:
            return line.call(method, until_ms)
        except PeerSilentError as exc:
            self._note_no_answer('unanswered')
            raise WorkerSilentError(exc.text) from exc

    def check(self, answer: ttypes.Answer) -> None:
        """Count an outcome; raises what it means for the worker."""
        self._count(outcome_name(answer))
        if answer.outcome != ttypes.Outcome.ANSWERED:
            raise self.failed(error_of(answer))

    def failed(self, exc: WorkerError) -> WorkerError:
        """Go directly for a while after a failure; returns it."""
        self.go_directly()
        return exc

    def go_directly(self) -> None:
        """Leave the relay alone for a while."""
        self._direct_until_ms = deadline_in(DIRECT_MS)

    def close(self) -> None:
        """Close the connection."""
        line = self._line
        self._line = None
        if line is not None:
            line.close()

    def _opened(self, relay: RelayFacts) -> RelayLine:
        self._relay = relay
        self._line = None
        try:
            self._line = RelayLine(relay.address, self._way.facts)
        except (PeerUnreachableError, ValueError) as exc:
            self._note_no_answer('unreachable')
            raise WorkerUnreachableError(str(exc)) from exc
        return self._line

    def _note_no_answer(self, outcome: str) -> None:
        self._count(f'relay_{outcome}')
        self.close()
        self.go_directly()
        if self._relay is not None:
            self._way.use.table.note_failed(self._relay)

    def _count(self, outcome: str) -> None:
        self._way.use.counters.add(f'relayed_{self._kind}_{outcome}')


def _order(
    line: RelayLine, began_ms: int, key: RunKey, sent: Sent
) -> ttypes.Order:
    deadline_ms = line.on_relay_ms(began_ms + SEND_WITHIN_MS)
    return ttypes.Order(
        deadline_ms, sent.token, sent.lease_worker_ms, run_to_wire(key)
    )
