"""State shared by a leader's threads: the locked scheduler, and leadership.

Sessions with workers report their observations here, and the scheduler service
passes the scheduler's orders on to them.
"""

import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from contextlib import suppress
from queue import Empty, SimpleQueue
from types import MappingProxyType
from typing import Final, NamedTuple

from gentianpulley.cluster.worker_protocol import (
    Listing,
    PollOrder,
    PaceOrder,
    OrderContext,
    StartOrder,
    StartReply,
    StartVerdict,
    StopOrder,
    WorkerRegistration,
)
from gentianpulley.cluster.plan_metrics import PlanMetrics, PlanTrigger
from gentianpulley.cluster.read_freshness import ReadFreshness, Reread
from gentianpulley.cluster.scheduler import Scheduler
from gentianpulley.cluster.scheduler_state import Order, LeaderTerm
from gentianpulley.cluster.session_loop import (
    SessionLoop,
    start_session_loop,
)
from gentianpulley.cluster.timing import LEADER_TTL_S
from gentianpulley.cluster.violation_report import count_over_target
from gentianpulley.cluster.worker import Worker
from gentianpulley.counters import Counters
from gentianpulley.deadline import MS_PER_SECOND, now_ms
from gentianpulley.jobs.job import Job
from gentianpulley.logs import EventLog

LEASE_SAFETY_MARGIN_MS: Final = 100
"""Subtracted from the lease of the leader's key to allow for rounding and clock
drift."""

EXCLUSIVITY_POLL_S: Final = 0.02
"""Interval of checks for exclusive leadership; the leader's key is renewed
twice a second."""

EXCLUSIVE_MS: Final = LEADER_TTL_S * MS_PER_SECOND - LEASE_SAFETY_MARGIN_MS
"""How long no other instance can lead after a renewal that was answered."""

_PERCENT: Final = 100

_ORDER_KINDS: Final = MappingProxyType(
    {StartOrder: 'starts', StopOrder: 'stops', PaceOrder: 'paces'}
)


class _Placement(NamedTuple):
    """A run's worker, whether the run is long-running, and beside how many.

    `over_target` counts the latency-critical tasks of the worker that are over
    their targets, if the run is best-effort.
    """

    worker: Worker
    is_endless: bool
    over_target: int


class OrderSink(ABC):
    """Receives the orders for one worker."""

    @abstractmethod
    def send(self, order: Order) -> None:
        """Queue an order."""

    @abstractmethod
    def backlog(self) -> tuple[int, int]:
        """Return how many orders wait, and the age of the oldest in ms."""

    @abstractmethod
    def poll_soon(self) -> None:
        """Called when the next poll need not wait any longer.

        That is once the worker's ends so far may be acknowledged, and once
        the jobs are loaded.
        """

    @abstractmethod
    def close(self) -> None:
        """Send no more orders."""


class Leadership:
    """Until when this instance may act as the leader.

    Each answered renewal of the leader's key extends the deadlines, counted
    from when the renewal was sent. Until `exclusive_until_ms`, no other
    instance can hold the key; after that, this one continues with the jobs that
    it has. `is_backoff_required` is set if this instance was unable to lead.
    """

    def __init__(self, until_ms: int, exclusive_until_ms: int) -> None:
        """Lead until the given deadlines."""
        self._until_ms = until_ms
        self._exclusive_until_ms = exclusive_until_ms
        self._extend_lock = threading.Lock()
        self._resigned = threading.Event()
        self.reason = ''
        self.is_backoff_required = False

    def extend(self, until_ms: int, exclusive_until_ms: int) -> None:
        """Extend the deadlines; responses may arrive in any order."""
        with self._extend_lock:
            self._until_ms = max(self._until_ms, until_ms)
            self._exclusive_until_ms = max(
                self._exclusive_until_ms, exclusive_until_ms
            )

    @property
    def exclusive_until_ms(self) -> int:
        """Return until when no other instance can hold the key."""
        return self._exclusive_until_ms

    def answered_ms(self, at_ms: int) -> int:
        """Return when the last renewal that was answered by then was sent."""
        return min(at_ms, self._exclusive_until_ms - EXCLUSIVE_MS)

    def is_exclusive(self, at_ms: int) -> bool:
        """Return whether no other instance can lead at a time."""
        return at_ms < self._exclusive_until_ms and not self.is_over()

    def wait_until_exclusive(self) -> None:
        """Wait until no other instance can have led by now.

        The next leader assumes that jobs that arrive after its start belong to
        no other leader. Everything seen before this method returns was stored
        before there was a next leader, unless the leadership is over.
        """
        while not self.is_exclusive(now_ms()) and not self.is_over():
            time.sleep(EXCLUSIVITY_POLL_S)

    def resign(self, reason: str) -> None:
        """End the leadership permanently."""
        if not self._resigned.is_set():
            self.reason = reason
            self._resigned.set()

    def resign_and_back_off(self, reason: str) -> None:
        """End the leadership, as another instance may lead better."""
        self.is_backoff_required = True
        self.resign(reason)

    def overdue_ms(self, at_ms: int) -> int:
        """Return for how long orders have been disallowed.

        The result is negative if orders may be sent.
        """
        return at_ms - self._until_ms

    def limit(self, deadline_ms: int) -> int:
        """Return a deadline, at the latest the end of the leadership."""
        return min(deadline_ms, self._until_ms)

    def is_over(self) -> bool:
        """Return whether the leadership has ended permanently."""
        return self._resigned.is_set()

    def may_act(self, at_ms: int) -> bool:
        """Return whether orders may be sent at a time."""
        return at_ms < self._until_ms and not self._resigned.is_set()


class SchedulerService:
    """Protects the scheduler with a lock and routes its orders."""

    def __init__(
        self,
        scheduler: Scheduler,
        leadership: Leadership,
        counters: Counters,
        log: EventLog,
    ) -> None:
        """Serve one leader term."""
        self.log = log
        self.leadership = leadership
        self.counters = counters
        self.lock = threading.Lock()
        self.scheduler = scheduler
        self.plan_requested = PlanTrigger()
        self._plan_metrics = PlanMetrics(counters, log)
        self.save_requested = threading.Event()
        self.roster_save_requested = threading.Event()
        self.are_jobs_loaded = True
        self.read_freshness = ReadFreshness()
        self._plan_cost_s: float = 0
        # Replaced, never changed in place, so that any thread may iterate.
        self._sinks: Mapping[str, OrderSink] = {}
        self._sinks_lock = threading.Lock()
        self._session_loop: SessionLoop | None = None
        self._is_closed = False
        self._answered: SimpleQueue[WorkerRegistration] = SimpleQueue()

    @property
    def term(self) -> LeaderTerm:
        """Return the leader term that this service belongs to."""
        return self.scheduler.term

    @property
    def poll_wait_ms(self) -> int:
        """Return how long a poll waits for the end of a run."""
        return self.term.timing.poll_wait_ms

    @property
    def session_loop(self) -> SessionLoop:
        """Return the event loop of the sessions, started by the first one."""
        with self._sinks_lock:
            if self._session_loop is None:
                self._session_loop = start_session_loop()
            return self._session_loop

    @property
    def plan_cost_s(self) -> float:
        """Return how long the latest plan took."""
        return self._plan_cost_s

    def attach(self, worker_id: str, sink: OrderSink) -> None:
        """Send a worker's orders to a session; close the previous one.

        If the service is closed, the new session is closed as well, because
        nothing else would close it.
        """
        previous = self._replace_sink(worker_id, sink)
        if previous is not None:
            previous.close()
        if self._is_closed:
            sink.close()
            self._close_session_loop()

    def detach(self, worker_id: str) -> None:
        """Close the session of a worker that was removed."""
        previous = self._replace_sink(worker_id, None)
        if previous is not None:
            previous.close()

    def detach_removed_workers(self) -> None:
        """Close the sessions of workers that were removed.

        The sessions are detached before the lock is released, because a new
        incarnation that starts afterwards opens a session under the same id.
        """
        with self.lock:
            removed_ids = self._sinks.keys() - self.scheduler.workers.keys()
            previous = [
                self._replace_sink(worker_id, None) for worker_id in removed_ids
            ]
        for sink in filter(None, previous):
            sink.close()

    def close(self) -> None:
        """Close all sessions, including those attached from now on."""
        self._is_closed = True
        for worker_id in self._sinks:
            self.detach(worker_id)
        self._close_session_loop()

    def dispatch(self, orders: Iterable[Order]) -> None:
        """Pass orders to the sessions; a worker without one was removed."""
        for order in orders:
            sink = self._sinks.get(order.worker_id)
            if sink is not None:
                self._plan_metrics.record_order(_ORDER_KINDS[type(order)])
                sink.send(order)

    # Called by sessions with workers.

    def may_act(self, at_ms: int) -> bool:
        """Return whether orders may be sent at a time."""
        return self.leadership.may_act(at_ms)

    def resign(self, reason: str) -> None:
        """Stop leading: another instance has used a higher token."""
        self.leadership.resign(reason)
        self.plan_requested.set()
        self.save_requested.set()
        self.roster_save_requested.set()

    def resign_and_back_off(self, reason: str) -> None:
        """Stop leading: another instance may see more."""
        self.leadership.resign_and_back_off(reason)
        self.resign(reason)

    def poll_order(self, worker: Worker, wait_ms: int) -> PollOrder:
        """Return the order for the next poll of a worker."""
        with self.lock:
            return self.scheduler.poll_order(worker, wait_ms)

    def order_context(self, worker: Worker) -> OrderContext:
        """Return the leader's token and a lease for an order sent now."""
        with self.lock:
            return OrderContext(
                worker.token, self.scheduler.grant_lease(worker)
            )

    def start_context(
        self, order: StartOrder, worker: Worker, until_ms: int
    ) -> OrderContext:
        """Return the token and the deadline of a start sent now.

        It is not carried out after `until_ms`, as its worker may have less
        capacity by then, nor once this leader may not act any more. The lease
        is not shortened, as that of a poll is longer.
        """
        with self.lock:
            deadline_worker_ms = min(
                worker.clock.worker_ms_at(self.leadership.limit(until_ms)),
                self.scheduler.grant_lease(worker),
            )
            reservation = self.scheduler.reservation_of(order)
            if reservation is not None:
                deadline_worker_ms = reservation.extend_start_deadline(
                    deadline_worker_ms
                )
            return OrderContext(worker.token, deadline_worker_ms)

    def on_listing(
        self, worker: Worker, listing: Listing, sent_ms: int
    ) -> None:
        """Report a worker's listing."""
        with self.lock:
            orders = self.scheduler.handle_listing(
                worker, listing, sent_ms, now_ms()
            )
        self.dispatch(orders)
        self.counters.add('worker_looks')
        if listing.ended:
            self.save_requested.set()
        if worker.is_suspended:
            self.roster_save_requested.set()
        self.plan_requested.set()

    def on_poll_failed(self, worker: Worker) -> None:
        """Report that a poll of a worker failed."""
        at_ms = now_ms()
        with self.lock:
            self.scheduler.mark_unresponsive(worker, at_ms)
            can_suspend = self.scheduler.can_suspend(worker, at_ms)
            has_crashes = self.scheduler.has_unsaved_crashes
        if can_suspend:
            self.roster_save_requested.set()
        if has_crashes:
            self.save_requested.set()

    def withdraw_start(self, order: StartOrder) -> bool:
        """Withdraw a start that was never sent; return False if it was."""
        with self.lock:
            is_withdrawn = self.scheduler.withdraw_start(order)
        self.plan_requested.set()
        return is_withdrawn

    def withdraw_delayed_start(self, order: StartOrder) -> bool:
        """Withdraw a start that waited too long.

        Returns False if it has to be sent now.
        """
        with self.lock:
            is_withdrawn = self.scheduler.withdraw_delayed_start(order)
        self.plan_requested.set()
        return is_withdrawn

    def on_fenced(self, worker_id: str, token: int, reason: str) -> None:
        """Report that a worker has seen a higher token than that of a call.

        It may be this leader's own, as it has advanced since the call was sent.
        """
        if not self.is_token_outdated(worker_id, token):
            self.resign(reason)

    def is_token_outdated(self, worker_id: str, token: int) -> bool:
        """Return whether calls to a worker have a higher token by now."""
        with self.lock:
            return token < self.scheduler.token_of(worker_id)

    def on_incarnation_ended(
        self, worker: Worker, *, is_replaced: bool
    ) -> None:
        """Report that the worker's incarnation has ended."""
        with self.lock:
            if self.scheduler.is_current_incarnation(worker):
                self.scheduler.end_incarnation(
                    worker.worker_id, now_ms(), is_replaced=is_replaced
                )
        self.plan_requested.set()

    def on_other_incarnation(
        self, worker: Worker, address: str, incarnation_ms: int
    ) -> None:
        """Report that another incarnation has answered at an address."""
        self.on_incarnation_ended(worker, is_replaced=False)
        self._answered.put(
            WorkerRegistration(
                worker.worker_id,
                worker.registration.service,
                address,
                worker.registration.failure_domain,
                incarnation_ms=incarnation_ms,
            )
        )

    def wait_for_answered(self, timeout_s: float) -> WorkerRegistration | None:
        """Return the next worker of which another incarnation has answered."""
        with suppress(Empty):
            return self._answered.get(timeout=timeout_s)
        return None

    def refute_claim(self, worker: Worker, sent_ms: int) -> None:
        """Report that an incarnation has answered a call sent at `sent_ms`."""
        with self.lock:
            self.scheduler.refute_claim(worker.worker_id, sent_ms)

    def claim_start_send(self, order: StartOrder) -> bool:
        """Return whether a start still has to be sent.

        It may have waited for longer than what was read stays valid.
        """
        at_ms = now_ms()
        with self.lock:
            return self._allows_starts(
                at_ms
            ) and self.scheduler.claim_start_send(order, at_ms)

    def should_send_stop(self, order: StopOrder) -> bool:
        """Return whether a stop still has to be sent."""
        with self.lock:
            return self.scheduler.should_send_stop(order)

    def on_start_reply(
        self, order: StartOrder, reply: StartReply
    ) -> list[Order]:
        """Report the reply to a start; return the orders to send next."""
        with self.lock:
            following = self.scheduler.handle_start_reply(
                order, reply, now_ms()
            )
        outcome = reply.verdict.name.lower()
        self.counters.add(f'starts_{outcome}')
        if reply.verdict is StartVerdict.LOST:
            # The next leader has to know that the start may arrive late.
            self.roster_save_requested.set()
        self.plan_requested.set()
        return following

    def on_stop_acknowledged(self, order: StopOrder) -> None:
        """Report that a stop was answered."""
        with self.lock:
            self.scheduler.handle_stop_reply(order, now_ms())

    def on_pace_acknowledged(self, order: PaceOrder) -> None:
        """Report that a pace order was answered."""
        with self.lock:
            self.scheduler.handle_pace_reply(order)

    # Called by the leader's own threads.

    def begin_loading(self) -> None:
        """Buffer workers' listings until the inherited jobs are loaded.

        Nothing is started before `mark_reread` was called for everything.
        """
        with self.lock:
            self.scheduler.buffer_listings()
            self.read_freshness.begin_loading()
        self.are_jobs_loaded = False

    def load_inherited_jobs(
        self, jobs: Iterable[Job], cancelled: Iterable[str]
    ) -> None:
        """Add inherited jobs, then process the buffered listings."""
        with self.lock:
            self.scheduler.add_pending_cancellations(cancelled)
            for job in jobs:
                self.scheduler.add_job(job)
            orders = self.scheduler.process_buffered_listings()
            has_ends = self.scheduler.change_number > 0
        self.are_jobs_loaded = True
        for sink in self._sinks.values():
            sink.poll_soon()
        self.dispatch(orders)
        if has_ends:
            self.save_requested.set()

    def mark_reread(self, part: Reread) -> None:
        """Record that changes made during the load are known."""
        with self.lock:
            self.read_freshness.mark_reread(part)
            if self.scheduler.live_jobs:
                self.plan_requested.set()

    def add_job(self, job: Job) -> None:
        """Add a job."""
        with self.lock:
            self.scheduler.add_job(job)
        self.plan_requested.set()

    def acknowledge_saved_ends(self, change_number: int) -> None:
        """Acknowledge ends that are written; their workers are polled."""
        with self.lock:
            worker_ids = self.scheduler.acknowledge_saved_ends(
                change_number, now_ms()
            )
        for worker_id in worker_ids:
            sink = self._sinks.get(worker_id)
            if sink is not None:
                sink.poll_soon()

    def cancel(self, job_id: str) -> None:
        """Cancel a job."""
        with self.lock:
            orders = self.scheduler.cancel(job_id)
        self.dispatch(orders)
        self.save_requested.set()

    def remove_cancellation(self, job_id: str) -> None:
        """Handle the deletion of a job and its cancellation."""
        with self.lock:
            self.scheduler.discard_pending_cancellation(job_id)

    def plan(self) -> None:
        """Plan the runs that fit somewhere, and send the resulting orders.

        While it isn't known which jobs were cancelled and which workers drain
        since they were read, only runs that must not continue are stopped.
        """
        at_ms = now_ms()
        if not self.may_act(at_ms):
            return
        lag_s = self.plan_requested.pop_lag_s()
        started_s = time.monotonic()
        with self.lock, self.counters.timed('plan'):
            stops = self._plan_stops(at_ms)
            orders: list[StartOrder] = []
            if self._allows_starts(at_ms):
                stops.extend(self.scheduler.plan_migrations(at_ms))
                orders = self.scheduler.plan(at_ms)
            self.counters.set(
                'jobs_waiting', self.scheduler.count_unstarted_jobs()
            )
            placements = [self._placement(order) for order in orders]
        self._plan_cost_s = time.monotonic() - started_s
        self._plan_metrics.record_plan(self._plan_cost_s, lag_s)
        self.dispatch((*stops, *orders))
        self._log_starts(orders, placements, at_ms)
        if self._plan_metrics.is_due():
            self._report(at_ms)

    def _allows_starts(self, at_ms: int) -> bool:
        """Return whether what was read from the store is recent enough."""
        answered_ms = self.leadership.answered_ms(at_ms)
        return self.read_freshness.allows_starts(answered_ms)

    def _plan_stops(self, at_ms: int) -> list[Order]:
        """Return the stops of runs that must not continue.

        Requests a write of the records that tasks wait for.
        """
        self.scheduler.mark_certain_until(self.leadership.exclusive_until_ms)
        self.scheduler.expire_leases(at_ms)
        if self.scheduler.has_unsaved_crashes:
            self.save_requested.set()
        return [
            *self.scheduler.stop_incomplete_gangs(),
            *self.scheduler.stop_deadly_jobs(),
        ]

    def _close_session_loop(self) -> None:
        """Let the loop end after the calls in flight."""
        if self._session_loop is not None:
            self._session_loop.close()

    def _replace_sink(
        self, worker_id: str, sink: OrderSink | None
    ) -> OrderSink | None:
        """Replace the sink of a worker; return the previous one, if any."""
        with self._sinks_lock:
            sinks = dict(self._sinks)
            previous = sinks.pop(worker_id, None)
            if sink is not None:
                sinks[worker_id] = sink
            self._sinks = sinks
        return previous

    def _log_starts(
        self,
        orders: list[StartOrder],
        placements: list[_Placement],
        at_ms: int,
    ) -> None:
        for order, (worker, is_endless, over) in zip(
            orders, placements, strict=True
        ):
            list_age_ms = at_ms - worker.last_contact_ms
            self.log.run_ordered(
                order.key,
                worker.worker_id,
                _load_percent(worker),
                list_age_ms,
                is_endless=is_endless,
            )
            if over:
                self.log.started_beside_violation(
                    order.key, worker.worker_id, over, list_age_ms
                )

    def _report(self, at_ms: int) -> None:
        with self.lock:
            report = self.scheduler.create_report(at_ms)
        backlogs = [sink.backlog() for sink in self._sinks.values()]
        self._plan_metrics.publish(report, backlogs)

    def _placement(self, order: StartOrder) -> _Placement:
        """Return where a run was placed."""
        worker = self.scheduler.workers[order.worker_id]
        spec = worker.reservations[order.key].spec
        over = count_over_target(worker) if spec.fills_spare else 0
        return _Placement(worker, spec.is_endless, over)


def _load_percent(worker: Worker) -> int:
    capacity = max(1, worker.registration.capacity.processors_milli)
    return _PERCENT * worker.reserved_processors_milli // capacity
