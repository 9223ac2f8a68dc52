"""A leader's scheduler and service on a simulated clock, without sockets.

Everything is derived from one seed, so that a replay sends the same orders
before and after a change that must not change any decision.
"""

import hashlib
import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Coroutine, Iterator
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import Any, Final, TypeVar, cast
from unittest.mock import patch

import msgspec

from bench.leader_parts import Parts
from bench.leader_work import Arrival, Callers
from bench.leader_workers import QuietWorker, create_workers
from gentianpulley.cluster.worker_protocol import (
    PollOrder,
    PaceOrder,
    StartOrder,
)
from gentianpulley.cluster.scheduler_service import (
    SchedulerService,
    OrderSink,
    Leadership,
)
from gentianpulley.cluster.scheduler import Scheduler, create_scheduler
from gentianpulley.cluster.scheduler_state import Order, LeaderTerm
from gentianpulley.cluster.timing import MAX_START_DELAY_MS, create_timing
from gentianpulley.cluster.worker import Worker
from gentianpulley.counters import create_counters
from gentianpulley.deadline import MS_PER_SECOND, deadline_in
from gentianpulley.http_conn import HttpResponse, parse_address
from gentianpulley.jobs.job import Job, create_job
from gentianpulley.jobs.record import encode_record, create_record
from gentianpulley.log_sampler import JobLogSampler
from gentianpulley.logs import EventLog
from gentianpulley.platform.worker_channel import WorkerChannel
from gentianpulley.platform.worker_client import HttpWorkerClient

BEGIN_MS: Final = 1_700_000_000_000
TICK_MS: Final = 5
SAVE_GAP_MS: Final = 25
LOOK_GAP_MS: Final = 45
LONGEST_ACK_MS: Final = 250
ANSWER_MS: Final = 5
TIMING: Final = create_timing(
    max_lease_ms=6000, contact_ms=4000, stop_ms=900, poll_wait_ms=1000
)
FOREVER_MS: Final = 10**15
ACCEPTED: Final = HttpResponse(200, b'{"clock_ms":0,"born":1}')


@dataclass(frozen=True)
class Shape:
    """A cluster, its initial jobs, and the simulated time.

    Expensive plans run less often, so a replay needs the gap between plans.
    """

    plan_gap_ms: int
    workers: int
    endless_jobs: int
    filling_jobs: int
    settle_s: int
    measured_s: int
    seed: int


class Digest:
    """Hashes all orders and records in sequence."""

    def __init__(self) -> None:
        """Start empty."""
        self._sum = hashlib.sha256()

    @property
    def text(self) -> str:
        """Return the hex digest of everything added so far."""
        return self._sum.hexdigest()

    def note(self, text: bytes) -> None:
        """Add one order or record."""
        self._sum.update(text)


_Answer = TypeVar('_Answer')


class _FakeChannel(WorkerChannel):
    """Encodes what is sent and returns the prepared response."""

    def __init__(self, worker: QuietWorker) -> None:
        super().__init__(parse_address(worker.facts.address), (), 1)
        self.answer = ACCEPTED

    async def call(
        self, path: str, wire: msgspec.Struct, wait_ms: int = 0
    ) -> HttpResponse:
        msgspec.json.encode(wire)
        return self.answer


@dataclass
class Session(OrderSink):
    """Does the work of a session's threads, one step at a time."""

    known: Worker
    worker: QuietWorker
    digest: Digest
    looked: PollOrder | None = None
    looked_ms: int = 0
    rests_until_ms: int = 0

    def __post_init__(self) -> None:
        """Connect to the worker."""
        self.looks = _FakeChannel(self.worker)
        self.link = HttpWorkerClient(self.looks, _FakeChannel(self.worker), 1)

    def send(self, order: Order) -> None:
        """Queue an order and add it to the digest."""
        text = f'{order.worker_id} {type(order).__name__} {order.key}'
        if isinstance(order, PaceOrder):
            text = f'{text} {order.speed_percent}'
        elif isinstance(order, StartOrder):
            text = f'{text} {order.checkpoint}'
        self.digest.note(text.encode())
        self.worker.orders.append(order)

    def backlog(self) -> tuple[int, int]:
        """Return the number of queued orders."""
        return len(self.worker.orders), 0

    def poll_soon(self) -> None:
        """Poll again; a replay checks `unacked_ends` instead."""

    def close(self) -> None:
        """Discard the queued orders."""
        self.worker.orders.clear()


@dataclass
class Outcome:
    """Results of a replay in the measured time."""

    digest: str
    starts: int = 0
    looks: int = 0
    plans: int = 0
    waiting_tasks: list[int] = field(default_factory=list)


class Site(ABC):
    """The workers and jobs of a replay."""

    @abstractmethod
    def create_workers(self) -> Iterator[QuietWorker]:
        """Yield the workers."""

    @abstractmethod
    def arrivals(self, end_ms: int) -> Iterator[Arrival]:
        """Yield the jobs in order of arrival."""

    @abstractmethod
    def note_saved(self, job: Job, at_ms: int) -> None:
        """Called for each record that is written."""


class _DrawnSite(Site):
    """The workers and callers that a shape draws."""

    def __init__(self, shape: Shape) -> None:
        self._shape = shape

    def create_workers(self) -> Iterator[QuietWorker]:
        return create_workers(self._shape.workers, self._shape.seed)

    def arrivals(self, end_ms: int) -> Iterator[Arrival]:
        """Yield the initial jobs, then the arriving ones."""
        shape = self._shape
        callers = Callers(shape.seed)
        standing = callers.standing(
            shape.endless_jobs, shape.filling_jobs, BEGIN_MS
        )
        for spec in standing:
            yield Arrival(BEGIN_MS, spec)
        yield from callers.arrivals(BEGIN_MS, end_ms)

    def note_saved(self, job: Job, at_ms: int) -> None:
        """Do nothing."""


class Replay:
    """Simulates one cluster."""

    def __init__(self, shape: Shape, parts: Parts, site: Site) -> None:
        """Create the cluster; jobs arrive as simulated time passes."""
        self._shape = shape
        self._site = site
        self._parts = parts
        self.at_ms = BEGIN_MS
        self.jobs: list[Job] = []
        self._digest = Digest()
        log = EventLog(sampler=JobLogSampler(_discard_report))
        term = LeaderTerm(7, BEGIN_MS, frozenset(), TIMING)
        self._scheduler: Scheduler = create_scheduler(term, log)
        self._service = SchedulerService(
            self._scheduler,
            Leadership(FOREVER_MS, FOREVER_MS),
            create_counters(),
            log,
        )
        self._sessions = [
            self._session(worker) for worker in site.create_workers()
        ]
        self._outcome = Outcome('')

    def play(self) -> Outcome:
        """Run the settling time, then the measured time."""
        shape = self._shape
        random.seed(shape.seed)
        settled_ms = BEGIN_MS + shape.settle_s * MS_PER_SECOND
        end_ms = settled_ms + shape.measured_s * MS_PER_SECOND
        jobs = deque(self._site.arrivals(end_ms))
        with ExitStack() as stack:
            clock = 'gentianpulley.cluster.scheduler_service.now_ms'
            stack.enter_context(patch(clock, lambda: self.at_ms))
            while self.at_ms < end_ms:
                if self.at_ms == settled_ms:
                    self.start_measuring()
                self._tick(jobs)
        self._outcome.digest = self._digest.text
        return self._outcome

    def start_measuring(self) -> None:
        """Forget the figures of the settling time."""
        self._parts.clear()
        self._outcome = Outcome('')

    def _session(self, worker: QuietWorker) -> Session:
        self._scheduler.update_worker(worker.facts, BEGIN_MS)
        known = self._scheduler.workers[worker.facts.worker_id]
        session = Session(known, worker, self._digest)
        self._service.attach(known.worker_id, session)
        return session

    def _tick(self, jobs: deque[Arrival]) -> None:
        self.at_ms += TICK_MS
        while jobs and jobs[0].at_ms <= self.at_ms:
            job = create_job(jobs.popleft().spec, is_inherited=False)
            self.jobs.append(job)
            self._parts.time('jobs', lambda: self._service.add_job(job))
        for session in self._sessions:
            self._advance(session)
        if self._is_at_multiple(self._shape.plan_gap_ms):
            self._plan()
        if self._is_at_multiple(SAVE_GAP_MS):
            self._parts.time('save', self._save)

    def _is_at_multiple(self, gap_ms: int) -> bool:
        return self.at_ms % gap_ms == 0

    def _plan(self) -> None:
        if self._service.plan_requested.is_set():
            self._service.plan_requested.clear()
            self._outcome.plans += 1
            self._parts.time('plan', self._service.plan)
            waiting = self._scheduler.create_report(self.at_ms).waiting
            self._outcome.waiting_tasks.append(sum(waiting.values()))

    def _save(self) -> None:
        number = self._scheduler.change_number
        for job in self._scheduler.changed_jobs():
            self._site.note_saved(job, self.at_ms)
            self._digest.note(encode_record(create_record(job, self.at_ms)))
        self._service.acknowledge_saved_ends(number)

    def _advance(self, session: Session) -> None:
        worker = session.worker
        if worker.next_ms <= self.at_ms:
            worker.advance(self.at_ms)
        if worker.orders:
            self._carry_out(session, worker.orders.popleft())
        if session.looked is not None:
            self._answer_poll(session, session.looked)
        elif self._may_poll(session):
            self._send_poll(session)

    def _may_poll(self, session: Session) -> bool:
        if self.at_ms < session.rests_until_ms:
            return False
        late_ms = session.rests_until_ms + LONGEST_ACK_MS
        return not session.known.unacked_ends or self.at_ms >= late_ms

    def _send_poll(self, session: Session) -> None:
        known = session.known
        wait_ms = self._service.poll_wait_ms if known.is_fenced else 0
        order = self._parts.time(
            'look', lambda: self._service.poll_order(known, wait_ms)
        )
        session.worker.acknowledge(order)
        session.looked = order
        session.looked_ms = self.at_ms

    def _answer_poll(self, session: Session, order: PollOrder) -> None:
        waited_ms = self.at_ms - session.looked_ms
        is_due = session.worker.has_ends or waited_ms >= order.wait_ms
        if waited_ms < ANSWER_MS or not is_due:
            return
        body = session.worker.lists(self.at_ms)
        session.looks.answer = HttpResponse(200, body)
        session.looked = None
        session.rests_until_ms = self.at_ms + LOOK_GAP_MS
        self._outcome.looks += 1
        self._parts.time('look', lambda: self._handle_listing(session, order))

    def _handle_listing(self, session: Session, order: PollOrder) -> None:
        listing = _result(session.link.poll(order))
        self._service.on_listing(session.known, listing, session.looked_ms)

    def _carry_out(self, session: Session, order: Order) -> None:
        reservation = session.known.reservations.get(order.key)
        if reservation is not None:
            spec = reservation.spec
            name = type(order).__name__
            self._parts.time(name, lambda: self._send(session, order))
            session.worker.carry_out(order, spec, self.at_ms)

    def _send(self, session: Session, order: Order) -> None:
        if isinstance(order, StartOrder):
            self._send_start(session, order)
            return
        sent = self._service.order_context(session.known)
        if isinstance(order, PaceOrder):
            _result(session.link.pace(order, sent))
            self._service.on_pace_acknowledged(order)
        elif self._service.should_send_stop(order):
            _result(session.link.stop(order, sent))
            self._service.on_stop_acknowledged(order)

    def _send_start(self, session: Session, order: StartOrder) -> None:
        self._outcome.starts += 1
        if self._service.claim_start_send(order):
            sent = self._service.start_context(
                order, session.known, deadline_in(MAX_START_DELAY_MS)
            )
            reply = _result(session.link.start(order, sent))
            self._service.on_start_reply(order, reply)


def _result(call: Coroutine[Any, Any, _Answer]) -> _Answer:
    """Return the result of a call that waits for nothing."""
    try:
        call.send(None)
    except StopIteration as done:
        return cast(_Answer, done.value)
    raise RuntimeError('the call waits')


def _discard_report(*unused: object) -> None:
    """Discard a report."""


def play(shape: Shape, parts: Parts) -> Outcome:
    """Simulate one cluster from the start."""
    return Replay(shape, parts, _DrawnSite(shape)).play()
