"""One thread of a leader iterates over state that another one changes."""

import threading
from collections.abc import Callable
from enum import IntEnum, StrEnum
from functools import partial

import pytest

from gentianpulley.cluster.job_storage import LeaderJobStore, split_into_batches
from gentianpulley.cluster.leader_store import LeaderStore
from gentianpulley.cluster.plan_metrics import PlanMetrics
from gentianpulley.cluster.scheduler_service import (
    Leadership,
    OrderSink,
    SchedulerService,
)
from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.counters import create_counters
from gentianpulley.deadline import deadline_in, now_ms
from gentianpulley.logs import EventLog
from gentianpulley.store import CommitResult, Transaction
from tests.garbage_collection import changing_at_collections
from tests.scheduling.harness import create_harness, job, step

LONG_MS = 60_000
SESSIONS = 50
LATE_SESSIONS = 10
TURN_S = 0.05


def _let_other_thread(change: Callable[[], object]) -> None:
    """Make a change in another thread, unless it has to wait for a lock."""
    other = threading.Thread(target=change, daemon=True)
    other.start()
    other.join(TURN_S)


class _Sink(OrderSink):
    """Records whether it was closed."""

    def __init__(self) -> None:
        self.closed = threading.Event()

    def send(self, order: Order) -> None:
        """Ignore the order."""

    def backlog(self) -> tuple[int, int]:
        """Return an empty backlog."""
        return 0, 0

    def poll_soon(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Record the call."""
        self.closed.set()


@pytest.mark.parametrize('allocated', range(4))
def test_all_sessions_are_closed_while_others_open(allocated: int) -> None:
    """Those that were open went on for as long as the process."""
    service = SchedulerService(
        create_harness().scheduler,
        Leadership(deadline_in(LONG_MS), deadline_in(LONG_MS)),
        create_counters(),
        EventLog(),
    )
    sinks = [_Sink() for _ in range(SESSIONS + LATE_SESSIONS)]
    for number, sink in enumerate(sinks[:SESSIONS]):
        service.attach(f'w{number}', sink)
    late = enumerate(sinks[SESSIONS:], SESSIONS)
    is_closing = threading.Event()

    def attach_next() -> None:
        for number, sink in late:
            service.attach(f'w{number}', sink)
            break

    def attach_late() -> None:
        if is_closing.is_set():
            _let_other_thread(attach_next)

    with changing_at_collections(attach_late):
        # A collection comes after a number of allocations.
        lists: list[list[int]] = [[] for _ in range(allocated)]
        is_closing.set()
        service.close()
    assert len(lists) == allocated
    for number, sink in late:
        service.attach(f'w{number}', sink)
    assert all(sink.closed.wait(1) for sink in sinks)


def _do_nothing() -> None:
    """Let no other thread take its turn."""


class _Kind(StrEnum):
    """A kind of order; another thread takes its turn when it is reported."""

    STARTS = 'starts'

    def __init__(self, _: str) -> None:
        self.interrupt: Callable[[], None] = _do_nothing

    def __format__(self, spec: str) -> str:
        """Let another thread take its turn."""
        self.interrupt()
        return self.value


def test_orders_are_counted_while_they_are_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Orders of a kind that was new in this second ended the report."""
    counters = create_counters()
    metrics = PlanMetrics(counters, EventLog())
    metrics.record_order(_Kind.STARTS)
    kinds = iter(('stops',))

    def send_other() -> None:
        for kind in kinds:
            _let_other_thread(partial(metrics.record_order, kind))

    monkeypatch.setattr(_Kind.STARTS, 'interrupt', send_other)
    report = create_harness().scheduler.create_report(now_ms())
    metrics.publish(report, [])
    metrics.publish(report, [])
    rendered = counters.render()
    assert 'gentianpulley_leader_ordered_starts 0' in rendered
    assert 'gentianpulley_leader_ordered_stops 1' in rendered


class _AppliedStore(LeaderStore):
    """Applies every transaction."""

    def __init__(self) -> None:
        """Use no store."""

    def commit(self, txn: Transaction) -> CommitResult:
        """Apply nothing."""
        return CommitResult(applied=True, revision=1)


class _Deadline(IntEnum):
    """A time; another thread takes its turn when it is compared with others."""

    LATE = 1 << 62

    def __init__(self, _: int) -> None:
        self.interrupt: Callable[[], None] = _do_nothing

    def __gt__(self, other: int) -> bool:
        """Let another thread take its turn."""
        self.interrupt()
        return self.value > other


def test_ended_jobs_are_deleted_while_others_are_saved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A leader that handed over met a fault in its saving thread."""
    job_store = LeaderJobStore(_AppliedStore(), EventLog())

    def save_ended(number: int) -> None:
        ended = job(step(), job_id=f'{number:016x}')
        ended.cancel()
        job_store.save(split_into_batches([ended]))

    save_ended(0)
    numbers = iter((1, 2))

    def save_others() -> None:
        for number in numbers:
            _let_other_thread(partial(save_ended, number))

    monkeypatch.setattr(_Deadline.LATE, 'interrupt', save_others)
    assert job_store.delete_ended(_Deadline.LATE) == 1
