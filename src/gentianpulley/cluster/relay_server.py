"""The relay service: forwards a leader's calls to workers.

It decides nothing and sends nothing twice. Each connection is for one life of
one worker and has one call at a time.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from gentianpulley.cluster.link import (
    Listing,
    LookOrder,
    PaceOrder,
    RunningRow,
    Sent,
    StartOrder,
    StartReply,
    StopOrder,
    WorkerFacts,
    WorkerLink,
    WorkerLinks,
)
from gentianpulley.cluster.list_change import apply_change, change_between
from gentianpulley.cluster.relay_codec import (
    change_to_wire,
    create_relay_protocol,
    ended_to_wire,
    outcome_of,
    run_from_wire,
    target_from_wire,
)
from gentianpulley.cluster.relay_payloads import PayloadShelf
from gentianpulley.counters import Counters
from gentianpulley.deadline import has_passed, ms_left, now_ms
from gentianpulley.errors import WorkerError
from gentianpulley.http_conn import HttpAddress
from gentianpulley.logs import EventLog
from gentianpulley.relay_gen import ttypes
from gentianpulley.relay_gen.Relay import Processor
from gentianpulley.thrift_server import ThriftServer, ThriftService

MAX_LOOK_WAIT_MS: Final = 2000
"""The longest that a worker may be asked to wait with its answer."""


@dataclass(frozen=True, slots=True)
class RelayParts:
    """What a relay works with."""

    links: WorkerLinks
    payloads: PayloadShelf
    counters: Counters
    log: EventLog


class RelayHandler(ThriftService):
    """Answers the calls of one connection."""

    def __init__(self, parts: RelayParts) -> None:
        """Know no worker yet."""
        self._parts = parts
        self._processor = Processor(self)
        self._link: WorkerLink | None = None
        self._worker_id = ''
        self._listed: tuple[RunningRow, ...] = ()
        self._version = 0

    @property
    def processor(self) -> Any:
        """Return the generated processor around this handler."""
        return self._processor

    def close(self) -> None:
        """Close the link to the worker."""
        link = self._link
        self._link = None
        if link is not None:
            link.close()

    def attach(self, target: ttypes.Target) -> int:
        """Take the worker that the connection is for; returns the clock."""
        self.close()
        facts: WorkerFacts = target_from_wire(target)
        self._worker_id = facts.worker_id
        self._version = 0
        self._link = self._parts.links.connect(facts)
        return now_ms()

    def look(self, look: ttypes.Look) -> ttypes.LookAnswer:
        """Renew, acknowledge and list what has changed."""
        wait_ms = min(ms_left(look.wait_until_ms), MAX_LOOK_WAIT_MS)
        order = LookOrder(
            look.token, look.acked_number, look.lease_worker_ms, wait_ms
        )
        listings: list[Listing] = []
        answer = self._forward(
            look.deadline_ms,
            lambda link: listings.append(link.look(order)),
        )
        if not listings:
            return ttypes.LookAnswer(answer, 0, 0, None, [])
        return self._listing(answer, listings[0], look.version)

    def start(
        self, order: ttypes.Order, start: ttypes.Start
    ) -> ttypes.StartAnswer:
        """Start a run with the payload of the call or of its job."""
        key = run_from_wire(order.run)
        payload = start.payload
        if payload is None:
            payload = self._parts.payloads.payload(
                key.task_id.job_id, start.payload_digest
            )
        if payload is None:
            self._parts.counters.add('relay_payload_unread')
            return _start_answer(_answer(ttypes.Outcome.NO_PAYLOAD))
        whole = StartOrder(
            self._worker_id, key, payload, start.checkpoint, start.ticket
        )
        sent = Sent(order.token, order.lease_worker_ms)
        replies: list[StartReply] = []
        answer = self._forward(
            order.deadline_ms,
            lambda link: replies.append(link.start(whole, sent)),
        )
        return _start_answer(answer, replies[0] if replies else None)

    def stop(self, order: ttypes.Order) -> ttypes.Answer:
        """Stop or bar a run."""
        stop = StopOrder(self._worker_id, run_from_wire(order.run))
        sent = Sent(order.token, order.lease_worker_ms)
        return self._forward(
            order.deadline_ms, lambda link: link.stop(stop, sent)
        )

    def pace(self, order: ttypes.Order, percent: int) -> ttypes.Answer:
        """Change the share at which a run works."""
        key = run_from_wire(order.run)
        pace = PaceOrder(self._worker_id, key, percent)
        sent = Sent(order.token, order.lease_worker_ms)
        return self._forward(
            order.deadline_ms, lambda link: link.pace(pace, sent)
        )

    def _forward(
        self, deadline_ms: int, call: Callable[[WorkerLink], None]
    ) -> ttypes.Answer:
        """Call the worker unless it is too late to send anything."""
        self._parts.counters.add('relay_calls_served')
        link = self._link
        if link is None or has_passed(deadline_ms):
            self._parts.counters.add('relay_calls_late')
            return _answer(ttypes.Outcome.LATE)
        try:
            call(link)
        except WorkerError as exc:
            return _answer(outcome_of(exc), exc.text)
        return _answer(ttypes.Outcome.ANSWERED)

    def _listing(
        self, answer: ttypes.Answer, listing: Listing, version: int
    ) -> ttypes.LookAnswer:
        """Return a list as a change of the one that the caller has."""
        base = version if version == self._version else 0
        former = self._listed if base else ()
        change = change_between(former, listing.running)
        self._listed = apply_change(former, change)
        self._version += 1
        return ttypes.LookAnswer(
            answer,
            listing.clock_worker_ms,
            listing.born_ms,
            change_to_wire(change, base, self._version),
            [ended_to_wire(row) for row in listing.ended],
        )


class RelayServer(ThriftServer):
    """Relays calls of whichever instance leads."""

    def __init__(self, address: HttpAddress, parts: RelayParts) -> None:
        """Listen at once; raises `OSError` if the address is taken."""
        super().__init__(
            address,
            lambda: RelayHandler(parts),
            create_relay_protocol,
            parts.log,
        )


def _answer(outcome: int, detail: str | None = None) -> ttypes.Answer:
    return ttypes.Answer(outcome, detail)


def _start_answer(
    answer: ttypes.Answer, reply: StartReply | None = None
) -> ttypes.StartAnswer:
    if reply is None:
        return ttypes.StartAnswer(answer, '', 0, 0)
    answer.detail = reply.detail or None
    return ttypes.StartAnswer(
        answer, reply.verdict.name, reply.clock_worker_ms, reply.born_ms
    )
