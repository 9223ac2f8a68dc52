"""The thread of a new leader that asks absent workers for their runs.

They are asked at the addresses on the stored roster. A call with the token of
the new leader fences off earlier ones; its answer shows whether the worker has
runs, or that another worker has its address.
"""

import threading
from contextlib import closing
from functools import partial
from typing import Final

from gentianpulley.cluster.leader_store import DeposedError
from gentianpulley.cluster.leader_watches import WorkerWatch
from gentianpulley.cluster.worker_protocol import (
    Listing,
    PollOrder,
    WorkerClient,
    WorkerClientFactory,
    WorkerRegistration,
)
from gentianpulley.deadline import deadline_in, now_ms
from gentianpulley.errors import (
    StoreError,
    WorkerError,
    WorkerFencedError,
    WorkerReplacedError,
)

PROBE_PAUSE_MS: Final = 1000
"""Pause between two calls to one absent worker. Hundreds may be absent, and
most of them never answer."""

CHECK_INTERVAL_S: Final = 0.1
"""Interval of checks for workers that are due."""


class AbsentWorkerProber:
    """Asks absent workers while inherited tasks wait for any of them."""

    def __init__(
        self, worker_watch: WorkerWatch, client_factory: WorkerClientFactory
    ) -> None:
        """Prepare the thread without starting it."""
        self._service = worker_watch.scheduler_service
        self._worker_watch = worker_watch
        self._client_factory = client_factory
        self._next_ask_ms: dict[str, int] = {}
        self._asked: set[str] = set()
        self._found: list[WorkerRegistration] = []

    def start(self) -> None:
        """Start the thread; it ends once nothing is waited for."""
        threading.Thread(target=self._run, name='absent', daemon=True).start()

    @property
    def is_asking(self) -> bool:
        """Return whether calls are in flight."""
        return bool(self._asked)

    def is_over(self, at_ms: int) -> bool:
        """Return whether inherited tasks can wait for no worker any more."""
        if self._service.leadership.is_over():
            return True
        scheduler = self._service.scheduler
        with self._service.lock:
            is_complete = scheduler.is_handover_complete(at_ms)
        return is_complete and at_ms > scheduler.term.handover_until_ms

    def ask_due(self, at_ms: int) -> None:
        """Ask the absent workers that are due."""
        if not self._service.may_act(at_ms):
            return
        with self._service.lock:
            absent_ids = self._service.scheduler.absent_ids(at_ms)
        addresses = self._worker_watch.addresses.of_workers(absent_ids)
        for worker_id, address in addresses.items():
            is_due = at_ms >= self._next_ask_ms.get(worker_id, 0)
            if is_due and worker_id not in self._asked:
                self._asked.add(worker_id)
                self._service.session_loop.spawn(
                    partial(self._ask, worker_id, address)
                )

    def adopt_found(self) -> None:
        """Open sessions with the workers that have answered."""
        while self._found:
            registration = self._found.pop()
            try:
                self._worker_watch.open_answered(registration)
            except DeposedError as deposed:
                self._service.resign(deposed.text)
            except StoreError as exc:
                # The worker is asked again, as it is still absent.
                self._service.log.store_trouble(exc.text)

    def _run(self) -> None:
        while not self.is_over(now_ms()):
            try:
                self.adopt_found()
                self.ask_due(now_ms())
            except Exception as error:
                # Without this thread, inherited tasks would wait longest.
                self._service.log.internal_fault(repr(error))
            threading.Event().wait(CHECK_INTERVAL_S)

    async def _ask(self, worker_id: str, address: str) -> None:
        """Ask one worker, and note when to ask it again."""
        try:
            await self._ask_at(worker_id, address)
        except Exception as error:
            # One failed call must not keep the worker from being asked again.
            self._service.log.internal_fault(repr(error))
        self._next_ask_ms[worker_id] = self._next_due_ms(worker_id)
        self._asked.discard(worker_id)

    def _next_due_ms(self, worker_id: str) -> int:
        """Return when to ask a worker again, at once if that may prove more."""
        at_ms = now_ms()
        with self._service.lock:
            proof_ms = self._service.scheduler.earliest_proof_ms(worker_id)
        due_ms = deadline_in(PROBE_PAUSE_MS)
        return min(due_ms, proof_ms) if proof_ms > at_ms else due_ms

    async def _ask_at(self, worker_id: str, address: str) -> None:
        registration = WorkerRegistration(worker_id, '', address, '')
        with closing(self._client_factory.connect(registration)) as client:
            await self._poll(registration, client)

    async def _poll(
        self, registration: WorkerRegistration, client: WorkerClient
    ) -> None:
        service = self._service
        asked_ms = now_ms()
        if not service.may_act(asked_ms):
            return
        token = service.scheduler.token_of(registration.worker_id)
        try:
            listing = await client.poll(PollOrder(token, 0, 0, 0))
        except WorkerFencedError as exc:
            service.on_fenced(registration.worker_id, token, exc.text)
        except WorkerReplacedError:
            self._on_replaced(registration.worker_id, asked_ms)
        except WorkerError as exc:
            service.counters.add('absent_unanswered')
            service.log.worker_trouble(registration.worker_id, exc.text)
        else:
            self._on_listing(registration, listing)

    def _on_listing(
        self, registration: WorkerRegistration, listing: Listing
    ) -> None:
        """Note a worker that lives; its session lists its runs again."""
        self._service.counters.add('absent_listed')
        self._found.append(
            WorkerRegistration(
                registration.worker_id,
                registration.service,
                registration.address,
                registration.failure_domain,
                incarnation_ms=listing.incarnation_ms,
            )
        )

    def _on_replaced(self, worker_id: str, asked_ms: int) -> None:
        service = self._service
        with service.lock:
            is_proof = service.scheduler.record_replacement(worker_id, asked_ms)
        service.counters.add('absent_replaced')
        if is_proof:
            service.roster_save_requested.set()
            service.plan_requested.set()
