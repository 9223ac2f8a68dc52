"""What a leader's threads share: the scheduler under its lock, and tenure.

Sessions with workers report here what they saw, and the office passes the
scheduler's orders on to them.
"""

import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Iterable
from types import MappingProxyType
from typing import Final

from gentianpulley.cluster.worker_protocol import (
    Listing,
    PollOrder,
    PaceOrder,
    OrderContext,
    StartOrder,
    StartReply,
    StopOrder,
)
from gentianpulley.cluster.plan_metrics import PlanMetrics, PlanTrigger
from gentianpulley.cluster.scheduler import Scheduler
from gentianpulley.cluster.scheduler_state import Order, LeaderTerm
from gentianpulley.cluster.worker import Worker
from gentianpulley.counters import Counters
from gentianpulley.deadline import now_ms
from gentianpulley.jobs.job import Job
from gentianpulley.logs import EventLog

EXCLUSIVITY_POLL_S: Final = 0.02
"""Pause before the leader's key is looked at again; it is renewed twice a
second."""

_PERCENT: Final = 100

_ORDER_KINDS: Final = MappingProxyType(
    {StartOrder: 'starts', StopOrder: 'stops', PaceOrder: 'paces'}
)


class OrderSink(ABC):
    """Takes the orders for one worker."""

    @abstractmethod
    def send(self, order: Order) -> None:
        """Queue an order."""

    @abstractmethod
    def backlog(self) -> tuple[int, int]:
        """Return how many orders wait, and the age of the oldest in ms."""

    @abstractmethod
    def on_ends_acknowledged(self) -> None:
        """Note that the worker's ends so far may be acknowledged."""

    @abstractmethod
    def close(self) -> None:
        """Send nothing more."""


class Leadership:
    """Until when this instance may act as the leader.

    The deadlines move with each renewal of the leader's key that was answered,
    counted from when it was sent. Until `exclusive_until_ms` no other instance
    can hold the key; after that this one goes on with the jobs that it has.
    `is_backoff_required` says that this instance could not do the office.
    """

    def __init__(self, until_ms: int, exclusive_until_ms: int) -> None:
        """Hold the office until a deadline."""
        self._until_ms = until_ms
        self._certain_until_ms = exclusive_until_ms
        self._extending = threading.Lock()
        self._resigned = threading.Event()
        self.reason = ''
        self.is_backoff_required = False

    def extend(self, until_ms: int, exclusive_until_ms: int) -> None:
        """Move the deadlines; answers may come in any order."""
        with self._extending:
            self._until_ms = max(self._until_ms, until_ms)
            self._certain_until_ms = max(
                self._certain_until_ms, exclusive_until_ms
            )

    def is_exclusive(self, at_ms: int) -> bool:
        """Tell whether no other instance can lead at a time."""
        return at_ms < self._certain_until_ms and not self.is_over()

    def wait_until_exclusive(self) -> None:
        """Wait until no other instance can have led by now.

        A successor takes jobs that came after its start for nobody else's.
        Whatever was seen before this returns was there before a successor,
        unless the tenure is over.
        """
        while not self.is_exclusive(now_ms()) and not self.is_over():
            time.sleep(EXCLUSIVITY_POLL_S)

    def resign(self, reason: str) -> None:
        """End the tenure for good."""
        if not self._resigned.is_set():
            self.reason = reason
            self._resigned.set()

    def resign_and_back_off(self, reason: str) -> None:
        """End the tenure, as another instance may do better."""
        self.is_backoff_required = True
        self.resign(reason)

    def overdue_ms(self, at_ms: int) -> int:
        """Return for how long no orders may be sent, negative if they may."""
        return at_ms - self._until_ms

    def is_over(self) -> bool:
        """Tell whether the tenure has ended for good."""
        return self._resigned.is_set()

    def may_act(self, at_ms: int) -> bool:
        """Tell whether orders may be sent at a time."""
        return at_ms < self._until_ms and not self._resigned.is_set()


class SchedulerService:
    """Guards the scheduler and routes its orders."""

    def __init__(
        self,
        scheduler: Scheduler,
        leadership: Leadership,
        counters: Counters,
        log: EventLog,
    ) -> None:
        """Serve one reign."""
        self.log = log
        self.leadership = leadership
        self.counters = counters
        self.lock = threading.Lock()
        self.scheduler = scheduler
        self.plan_requested = PlanTrigger()
        self._meter = PlanMetrics(counters, log)
        self.save_requested = threading.Event()
        self.jobs_loaded = threading.Event()
        self.jobs_loaded.set()
        self.plan_cost_s: float = 0
        self._sinks: dict[str, OrderSink] = {}
        self._is_closed = False

    @property
    def term(self) -> LeaderTerm:
        """Return the reign that the office serves."""
        return self.scheduler.term

    @property
    def poll_wait_ms(self) -> int:
        """Return how long a look waits for an end."""
        return self.term.timing.poll_wait_ms

    def attach(self, worker_id: str, sink: OrderSink) -> None:
        """Send a worker's orders to a session; the former one is closed.

        So is this one if the office was closed, as nobody else would do it.
        """
        former = self._sinks.get(worker_id)
        self._sinks[worker_id] = sink
        if former is not None:
            former.close()
        if self._is_closed:
            sink.close()

    def detach(self, worker_id: str) -> None:
        """Close the session of a worker that is no longer known."""
        former = self._sinks.pop(worker_id, None)
        if former is not None:
            former.close()

    def detach_removed_workers(self) -> None:
        """Close the sessions of workers that are no longer known.

        They are taken off before the lock is let go: a new life that begins
        after it opens a session under the same id.
        """
        with self.lock:
            gone = self._sinks.keys() - self.scheduler.workers.keys()
            former = [self._sinks.pop(worker_id) for worker_id in gone]
        for sink in former:
            sink.close()

    def close(self) -> None:
        """Close all sessions, also those that are attached from now on."""
        self._is_closed = True
        for worker_id in tuple(self._sinks):
            self.detach(worker_id)

    def dispatch(self, orders: Iterable[Order]) -> None:
        """Pass orders to the sessions; a worker without one is gone."""
        for order in orders:
            sink = self._sinks.get(order.worker_id)
            if sink is not None:
                self._meter.record_order(_ORDER_KINDS[type(order)])
                sink.send(order)

    # What sessions ask and report.

    def may_act(self, at_ms: int) -> bool:
        """Tell whether orders may be sent at a time."""
        return self.leadership.may_act(at_ms)

    def resign(self, reason: str) -> None:
        """Stop leading: another instance has used a higher token."""
        self.leadership.resign(reason)
        self.plan_requested.set()
        self.save_requested.set()

    def resign_and_back_off(self, reason: str) -> None:
        """Stop leading: another instance may see more."""
        self.leadership.resign_and_back_off(reason)
        self.resign(reason)

    def poll_order(self, worker: Worker, wait_ms: int) -> PollOrder:
        """Return the next look at a worker."""
        with self.lock:
            return self.scheduler.poll_order(worker, wait_ms)

    def order_context(self, worker: Worker) -> OrderContext:
        """Return the token and the lease for an order that is sent now."""
        with self.lock:
            return OrderContext(
                self.term.token, self.scheduler.grant_lease(worker)
            )

    def on_listing(
        self, worker: Worker, listing: Listing, sent_ms: int
    ) -> None:
        """Report a worker's lists."""
        with self.lock:
            orders = self.scheduler.handle_listing(
                worker, listing, sent_ms, now_ms()
            )
        self.dispatch(orders)
        self.counters.add('worker_looks')
        if listing.ended:
            self.save_requested.set()
        self.plan_requested.set()

    def on_poll_failed(self, worker: Worker) -> None:
        """Report that a look at a worker failed."""
        with self.lock:
            self.scheduler.mark_unresponsive(worker, now_ms())

    def withdraw_start(self, order: StartOrder) -> bool:
        """Return a start that was never sent; False if it was."""
        with self.lock:
            is_back = self.scheduler.withdraw_start(order)
        self.plan_requested.set()
        return is_back

    def withdraw_delayed_start(self, order: StartOrder) -> bool:
        """Return a start that waited for long; False if it is sent now."""
        with self.lock:
            is_back = self.scheduler.withdraw_delayed_start(order)
        self.plan_requested.set()
        return is_back

    def on_incarnation_ended(self, worker: Worker) -> None:
        """Report that the worker's life has ended."""
        with self.lock:
            if self.scheduler.is_current_incarnation(worker):
                self.scheduler.end_incarnation(worker.worker_id, now_ms())
        self.plan_requested.set()

    def claim_start_send(self, order: StartOrder) -> bool:
        """Ask whether a start has still to be sent."""
        with self.lock:
            return self.scheduler.claim_start_send(order, now_ms())

    def should_send_stop(self, order: StopOrder) -> bool:
        """Ask whether a stop has still to be sent."""
        with self.lock:
            return self.scheduler.should_send_stop(order)

    def on_start_reply(
        self, order: StartOrder, reply: StartReply
    ) -> list[Order]:
        """Report the answer to a start; returns what is to be sent next."""
        with self.lock:
            following = self.scheduler.handle_start_reply(
                order, reply, now_ms()
            )
        verdict = reply.verdict.name.lower()
        self.counters.add(f'starts_{verdict}')
        self.plan_requested.set()
        return following

    def on_stop_acknowledged(self, order: StopOrder) -> None:
        """Report that a stop was answered."""
        with self.lock:
            self.scheduler.handle_stop_reply(order, now_ms())

    def on_pace_acknowledged(self, order: PaceOrder) -> None:
        """Report that a change of pace was answered."""
        with self.lock:
            self.scheduler.handle_pace_reply(order)

    # What the leader's own threads do.

    def begin_loading(self) -> None:
        """Hold what workers list until the inherited jobs are there."""
        with self.lock:
            self.scheduler.buffer_listings()
        self.jobs_loaded.clear()

    def load_inherited_jobs(
        self, jobs: Iterable[Job], cancelled: Iterable[str]
    ) -> None:
        """Take up inherited jobs."""
        with self.lock:
            self.scheduler.add_pending_cancellations(cancelled)
            for job in jobs:
                self.scheduler.add_job(job)
            orders = self.scheduler.process_buffered_listings()
            has_ends = self.scheduler.change_number > 0
        self.jobs_loaded.set()
        self.dispatch(orders)
        if has_ends:
            self.save_requested.set()

    def add_job(self, job: Job) -> None:
        """Take up a job."""
        with self.lock:
            self.scheduler.add_job(job)
        self.plan_requested.set()

    def acknowledge_saved_ends(self, change_number: int) -> None:
        """Acknowledge ends that are written; their workers are looked at."""
        with self.lock:
            settled = self.scheduler.acknowledge_saved_ends(change_number)
        for worker_id in settled:
            sink = self._sinks.get(worker_id)
            if sink is not None:
                sink.on_ends_acknowledged()

    def cancel(self, job_id: str) -> None:
        """Cancel a job."""
        with self.lock:
            orders = self.scheduler.cancel(job_id)
        self.dispatch(orders)
        self.save_requested.set()

    def remove_cancellation(self, job_id: str) -> None:
        """Note that a job and its cancellation were deleted."""
        with self.lock:
            self.scheduler.discard_pending_cancellation(job_id)

    def plan(self) -> None:
        """Place what can be placed and send the starts."""
        at_ms = now_ms()
        if not self.may_act(at_ms):
            return
        lag_s = self.plan_requested.pop_lag_s()
        began_s = time.monotonic()
        with self.lock, self.counters.timed('plan'):
            self.scheduler.expire_leases(at_ms)
            stops = self.scheduler.stop_incomplete_gangs()
            stops.extend(self.scheduler.plan_migrations(at_ms))
            orders = self.scheduler.plan(at_ms)
            self.counters.set(
                'jobs_waiting', self.scheduler.count_unstarted_jobs()
            )
            places = [self._place_of(order) for order in orders]
        self.plan_cost_s = time.monotonic() - began_s
        self._meter.record_plan(self.plan_cost_s, lag_s)
        self.dispatch((*stops, *orders))
        self._log_starts(orders, places, at_ms)
        if self._meter.is_due():
            self._report(at_ms)

    def _log_starts(
        self,
        orders: list[StartOrder],
        places: list[tuple[Worker, bool]],
        at_ms: int,
    ) -> None:
        for order, (worker, is_endless) in zip(orders, places, strict=True):
            self.log.run_ordered(
                order.key,
                worker.worker_id,
                _load_percent(worker),
                at_ms - worker.last_contact_ms,
                is_endless=is_endless,
            )

    def _report(self, at_ms: int) -> None:
        with self.lock:
            report = self.scheduler.create_report(at_ms)
        sinks = tuple(self._sinks.values())
        self._meter.publish(report, [sink.backlog() for sink in sinks])

    def _place_of(self, order: StartOrder) -> tuple[Worker, bool]:
        """Return where a run was placed, and whether it is endless."""
        worker = self.scheduler.workers[order.worker_id]
        return worker, worker.reservations[order.key].spec.is_endless


def _load_percent(worker: Worker) -> int:
    capacity = max(1, worker.registration.capacity.processors_milli)
    return _PERCENT * worker.reserved_processors_milli // capacity
