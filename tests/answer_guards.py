"""Disables guards against lost answers and late effects, one at a time.

As in `tests.guards`, every function replaces a member from the outside.
"""

import dataclasses
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final

from gentianpulley.cluster import handover_state, submissions, tombstones
from gentianpulley.cluster.handover_state import HandoverState
from gentianpulley.cluster.entry_job_store import (
    CreateOutcome,
    EntryJobStore,
)
from gentianpulley.cluster.job_storage import (
    LeaderJobStore,
    job_key,
    waiting_key,
)
from gentianpulley.cluster.machines import MaintenanceOutcome
from gentianpulley.cluster.maintenance import MaintenanceWave
from gentianpulley.cluster.order_queue import OrderQueue
from gentianpulley.cluster.order_sender import OrderSender
from gentianpulley.cluster.scheduler_service import SchedulerService
from gentianpulley.cluster.worker_protocol import StartReply, StartVerdict
from gentianpulley.deadline import MS_PER_SECOND
from gentianpulley.errors import (
    StoreError,
    StoreRefusedError,
    WorkerError,
)
from gentianpulley.jobs.spec import encode_job
from gentianpulley.platform.kv_store import KvStore
from gentianpulley.platform.worker_client import HttpWorkerClient
from gentianpulley.store import Put, Transaction
from tests.cluster_guards import replace

MAX_END_NUMBER: Final = 1 << 40


def unanswered_write() -> None:
    """Treat a write without a response as one that had no effect."""
    replace(submissions, 'StoreAnswerLostError', StoreRefusedError)


def job_once() -> None:
    """Store a job whether or not its id exists."""

    def create(store: Any, spec: Any) -> CreateOutcome:
        waiting = waiting_key(spec.policy.queue, spec.job_id)
        puts = (Put(job_key(spec.job_id), encode_job(spec)), Put(waiting, b''))
        store._store.commit(Transaction((), puts))
        return CreateOutcome.CREATED

    replace(EntryJobStore, 'create', create)


def tombstone() -> None:
    """Say that a job does not exist without storing that."""
    replace(EntryJobStore, '_store_tombstone', lambda *_: True)


def tombstone_retention() -> None:
    """Delete tombstones while writes of earlier submissions may be applied."""
    replace(tombstones, 'TOMBSTONE_RETENTION_MS', MS_PER_SECOND)


def record_again() -> None:
    """Write a record again under the revision that failed."""

    def commit(store: Any, txn: Any) -> Any:
        result = store._store.commit(txn)
        if not result.applied:
            raise StoreError('a record has an unexpected revision')
        return result

    replace(LeaderJobStore, '_commit', commit)


def lost_is_unsent() -> None:
    """Treat a start without a response as one that was not sent."""
    start = HttpWorkerClient.start

    async def start_or_forget(client: Any, *args: Any) -> StartReply:
        reply = await start(client, *args)
        if reply.verdict is StartVerdict.LOST:
            return dataclasses.replace(reply, verdict=StartVerdict.NOT_SENT)
        return reply

    replace(HttpWorkerClient, 'start', start_or_forget)


def saved_first() -> None:
    """Acknowledge ends that no answered poll has shown."""
    poll_order = SchedulerService.poll_order

    def poll_and_forget(service: Any, worker: Any, wait_ms: int) -> Any:
        order = poll_order(service, worker, wait_ms)
        return dataclasses.replace(order, acked_end_number=MAX_END_NUMBER)

    replace(SchedulerService, 'poll_order', poll_and_forget)


def stop_again() -> None:
    """Send a stop once, whether it is answered or not."""
    replace(OrderQueue, 'put_delayed', lambda *_: None)


def pace_again() -> None:
    """Treat a pace without an answer as carried out."""

    async def send(sender: Any, order: Any) -> None:
        with suppress(WorkerError):
            await sender._client.pace(order, None)
        sender._service.on_pace_acknowledged(order)

    replace(OrderSender, '_send_pace', send)


def roster_again() -> None:
    """Write the roster again under the revision that failed."""
    save_roster = HandoverState.save_roster

    def save(state: Any, roster: Any) -> None:
        revision = state._roster_revision
        try:
            save_roster(state, roster)
        except StoreError:
            state._roster_revision = revision
            raise

    replace(HandoverState, 'save_roster', save)


def roster_revision() -> None:
    """Write the roster whatever its revision."""
    replace(
        handover_state, 'Transaction', lambda _, puts: Transaction((), puts)
    )


def abandoned_lease() -> None:
    """Leave a key whose creation had no answer to its lease."""
    replace(KvStore, 'revoke', lambda *_: None)


def unanswered_upkeep() -> None:
    """Treat an order for maintenance without an answer as carried out."""
    record_outcome = MaintenanceWave.record_outcome

    def record(wave: Any, order: Any, outcome: Any, now_ms: int) -> None:
        if outcome is MaintenanceOutcome.LOST:
            outcome = MaintenanceOutcome.BEGUN
        record_outcome(wave, order, outcome, now_ms)

    replace(MaintenanceWave, 'record_outcome', record)


ANSWER_GUARDS: dict[str, Callable[[], None]] = {
    'abandoned-lease': abandoned_lease,
    'job-once': job_once,
    'lost-is-unsent': lost_is_unsent,
    'pace-again': pace_again,
    'record-again': record_again,
    'roster-again': roster_again,
    'roster-revision': roster_revision,
    'saved-first': saved_first,
    'stop-again': stop_again,
    'tombstone': tombstone,
    'tombstone-retention': tombstone_retention,
    'unanswered-upkeep': unanswered_upkeep,
    'unanswered-write': unanswered_write,
}
