"""Asks workers which incarnation is up, where a registration names another.

A registration may be a late write of a former incarnation. Its session polls
the known incarnation, perhaps at another address or over a connection that has
gone silent, so the worker is asked at the registered address as well.
"""

import threading
from contextlib import closing
from functools import partial
from typing import Final

from gentianpulley.cluster.leader_store import DeposedError
from gentianpulley.cluster.leader_watches import WorkerWatch
from gentianpulley.cluster.worker import Worker
from gentianpulley.cluster.worker_protocol import (
    PollOrder,
    WorkerClientFactory,
    WorkerRegistration,
)
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreError, WorkerError, WorkerFencedError

QUEUE_WAIT_S: Final = 0.2
"""Maximum wait for an answer before the leadership is checked again."""


class IncarnationProber:
    """Asks about claims, and opens sessions with what has answered.

    A worker registers again each second, so a call that fails is repeated with
    its next registration.
    """

    def __init__(
        self, worker_watch: WorkerWatch, client_factory: WorkerClientFactory
    ) -> None:
        """Prepare the thread without starting it."""
        self._service = worker_watch.scheduler_service
        self._worker_watch = worker_watch
        self._client_factory = client_factory
        self._asked: set[str] = set()

    def start(self) -> None:
        """Start the thread; it ends with the leadership."""
        self._worker_watch.on_claim = self.ask
        threading.Thread(
            target=self._run, name='incarnations', daemon=True
        ).start()

    def ask(self, worker: Worker, claim: WorkerRegistration) -> None:
        """Ask at the address of a claim, unless a call is in flight there."""
        if worker.worker_id not in self._asked:
            self._asked.add(worker.worker_id)
            self._service.session_loop.spawn(partial(self._ask, worker, claim))

    def open_answered(self, timeout_s: float) -> None:
        """Open a session with the next worker that has answered, if any."""
        service = self._service
        answered = service.wait_for_answered(timeout_s)
        if answered is None:
            return
        try:
            self._worker_watch.open_answered(answered)
        except DeposedError as deposed:
            service.resign(deposed.text)
        except StoreError as exc:
            # The worker's next registration opens the session.
            service.log.store_trouble(exc.text)

    def _run(self) -> None:
        while not self._service.leadership.is_over():
            try:
                self.open_answered(QUEUE_WAIT_S)
            except Exception as error:
                # Without this thread, restarted workers would wait longer.
                self._service.log.internal_fault(repr(error))

    async def _ask(self, worker: Worker, claim: WorkerRegistration) -> None:
        try:
            await self._ask_at(worker, claim)
        except Exception as error:
            # One failed call must not keep the worker from being asked again.
            self._service.log.internal_fault(repr(error))
        self._asked.discard(worker.worker_id)

    async def _ask_at(self, worker: Worker, claim: WorkerRegistration) -> None:
        """Poll whatever incarnation answers, without granting a lease."""
        service = self._service
        sent_ms = now_ms()
        if not service.may_act(sent_ms):
            return
        token = worker.token
        asked = WorkerRegistration(worker.worker_id, '', claim.address, '')
        with closing(self._client_factory.connect(asked)) as client:
            try:
                listing = await client.poll(PollOrder(token, 0, 0, 0))
            except WorkerFencedError as exc:
                service.on_fenced(worker.worker_id, token, exc.text)
                return
            except WorkerError as exc:
                service.log.worker_trouble(worker.worker_id, exc.text)
                return
        known_ms = worker.registration.incarnation_ms
        if listing.incarnation_ms in {0, known_ms}:
            service.refute_claim(worker, sent_ms)
        else:
            service.on_other_incarnation(
                worker, claim.address, listing.incarnation_ms
            )
