"""The task that polls one worker: it renews the lease and reads the listing."""

from collections.abc import Callable
from typing import Final

from gentianpulley.cluster.call_failures import RETRY_DELAY_S, record_failure
from gentianpulley.cluster.scheduler_service import SchedulerService
from gentianpulley.cluster.worker import Worker
from gentianpulley.cluster.worker_protocol import WorkerClient
from gentianpulley.deadline import (
    MS_PER_SECOND,
    deadline_in,
    now_ms,
    seconds_left,
)
from gentianpulley.errors import (
    WorkerError,
    WorkerFencedError,
    WorkerGoneError,
    WorkerReplacedError,
)
from gentianpulley.task_signal import Signal

MIN_POLL_INTERVAL_MS: Final = 45
"""Pause between polls, so that ends of runs that occur together share one
poll."""

MIN_POLL_INTERVAL_S: Final = MIN_POLL_INTERVAL_MS / MS_PER_SECOND

MAX_EXTRA_POLL_DELAY_S: Final = 0.25
"""How much longer a pause may be while ends are not written yet. Polls continue
while the store is unavailable, because they renew leases."""

MAX_ACK_WAIT_S: Final = MIN_POLL_INTERVAL_S + MAX_EXTRA_POLL_DELAY_S

LOADING_POLL_INTERVAL_S: Final = 1.5
"""Pause between polls while jobs are loaded. These polls only renew leases, and
listings take up a part of the link."""

FIRST_LEASE_POLL_INTERVAL_S: Final = 0.3
"""Pause between polls while jobs are loaded, until a poll has renewed the
lease. The first poll only learns the worker's clock, and up to three seconds of
a dead leader's lease have passed."""


class WorkerPoller:
    """Polls one worker incarnation again and again.

    `is_reachable` says whether the latest poll was answered, `is_closed`
    whether there are to be no more, and `has_renewed_lease` whether one that
    renews the lease was answered.
    """

    def __init__(
        self, service: SchedulerService, worker: Worker, client: WorkerClient
    ) -> None:
        """Prepare to poll."""
        self.is_reachable = False
        self.is_closed = False
        self.has_renewed_lease = False
        self.signal = Signal()
        self._service = service
        self._worker = worker
        self._client = client

    async def run(self) -> None:
        """Poll until this is closed or the incarnation has ended."""
        wait_ms = 0
        while not self.is_closed:
            if await self._poll(wait_ms):
                wait_ms = self._service.poll_wait_ms
                await self._wait_for_next_poll()
            else:
                self.is_reachable = False
                wait_ms = 0
                await self._wait_to_poll(_never, RETRY_DELAY_S)

    async def _wait_for_next_poll(self) -> None:
        """Wait until the next poll can return changes, or is due anyway."""
        next_poll_ms = deadline_in(MIN_POLL_INTERVAL_MS)
        await self._wait_to_poll(
            self._are_jobs_loaded,
            LOADING_POLL_INTERVAL_S
            if self.has_renewed_lease
            else FIRST_LEASE_POLL_INTERVAL_S,
        )
        # A poll returns at once while ends are not acknowledged. Most are
        # acknowledged only after the pause, so that one wake-up is enough.
        await self._wait_to_poll(self._are_ends_acknowledged, MAX_ACK_WAIT_S)
        await self._wait_to_poll(_never, seconds_left(next_poll_ms))

    async def _wait_to_poll(
        self, is_over: Callable[[], bool], timeout_s: float
    ) -> None:
        """Wait until a condition holds, the time is over or this closes."""
        until_ms = deadline_in(int(timeout_s * MS_PER_SECOND))
        while not is_over() and not self.is_closed:
            left_s = seconds_left(until_ms)
            if not left_s:
                return
            self.signal.clear()
            await self.signal.wait(left_s)

    def _are_jobs_loaded(self) -> bool:
        return self._service.are_jobs_loaded

    def _are_ends_acknowledged(self) -> bool:
        return not self._worker.unacked_ends

    async def _poll(self, wait_ms: int) -> bool:
        """Poll once; return whether the worker answered."""
        sent_ms = now_ms()
        if not self._service.may_act(sent_ms):
            return False
        is_first = not self._worker.is_fenced
        order = self._service.poll_order(
            self._worker, 0 if is_first else wait_ms
        )
        try:
            with self._service.counters.timed(
                'look_beyond_wait', order.wait_ms / MS_PER_SECOND
            ):
                listing = await self._client.poll(order)
        except WorkerFencedError as exc:
            self._service.on_fenced(
                self._worker.worker_id, order.token, exc.text
            )
            return False
        except WorkerGoneError as exc:
            self._handle_gone(exc)
            return False
        except WorkerError as exc:
            record_failure(self._service, self._worker, 'looks', exc)
            self._service.on_poll_failed(self._worker)
            return False
        self.has_renewed_lease |= order.lease_deadline_worker_ms > 0
        self._service.on_listing(self._worker, listing, sent_ms)
        self.is_reachable = True
        return True

    def _handle_gone(self, exc: WorkerGoneError) -> None:
        """Report the end of the incarnation, and which one has answered."""
        worker = self._worker
        if exc.incarnation_ms:
            self._service.on_other_incarnation(
                worker, worker.registration.address, exc.incarnation_ms
            )
        else:
            self._service.on_incarnation_ended(
                worker, is_replaced=isinstance(exc, WorkerReplacedError)
            )
        self.is_closed = True


def _never() -> bool:
    return False
