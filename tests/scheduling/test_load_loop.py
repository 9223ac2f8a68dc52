"""What a leader publishes of its load, from what it plans and what ends."""

from typing import cast

import pytest

from gentianpulley.cluster import load_loop
from gentianpulley.cluster.leader_store import LeaderStore, create_leader_store
from gentianpulley.cluster.load_digest import (
    LOAD_KEY,
    ClosedQueue,
    decode_digest,
)
from gentianpulley.cluster.load_loop import MAX_PLAN_AGE_MS, LoadLoop
from gentianpulley.cluster.scheduler_service import Leadership, SchedulerService
from gentianpulley.cluster.wait_reasons import WaitReason
from gentianpulley.counters import create_counters
from gentianpulley.errors import StoreError
from gentianpulley.jobs.spec import StepSpec
from gentianpulley.logs import EventLog
from gentianpulley.store import (
    CommitResult,
    Entry,
    Precondition,
    Store,
    Transaction,
)
from tests.scheduling.harness import SchedulerHarness, create_harness, job, step

STEP_MS = 500
LIMIT_S = 8
LEADER = Precondition('gp/leader', 7)


class _Store:
    """Keeps the digests that were written."""

    def __init__(self) -> None:
        self.closed: list[dict[str, ClosedQueue]] = []
        self.sequences: list[int] = []
        self.fails = False
        self.leader = 7

    def commit(self, txn: Transaction) -> CommitResult:
        """Keep a digest if its writer leads."""
        if self.fails:
            raise StoreError('down')
        assert LEADER in txn.preconditions
        if self.leader != LEADER.revision:
            entry = Entry(LEADER.key, b'', self.leader)
            return CommitResult(False, 1, (entry,))
        (put,) = txn.puts
        assert put.key == LOAD_KEY
        digest = decode_digest(put.body)
        self.closed.append(dict(digest.closed))
        self.sequences.append(digest.sequence)
        return CommitResult(True, 1)


class _Site:
    """One worker with room for eight tasks of a second, and its leader."""

    def __init__(self) -> None:
        self.harness: SchedulerHarness = create_harness('w0')
        self.store = _Store()
        self.service = SchedulerService(
            self.harness.scheduler,
            Leadership(10**15, 10**15),
            create_counters(),
            EventLog(),
        )
        leader_store: LeaderStore = create_leader_store(
            cast(Store, self.store), LEADER
        )
        self.loop = LoadLoop(self.service, leader_store)
        self._jobs = 0

    def add(self, queue_priority: int, *steps: StepSpec) -> None:
        """Submit a job."""
        self._jobs += 1
        added = job(
            *steps,
            job_id=f'{self._jobs:016x}',
            priority=queue_priority,
            submitted_ms=self.harness.at_ms,
        )
        self.harness.scheduler.add_job(added)

    def run(
        self, seconds: float, *, plans: bool = True, ends: bool = True
    ) -> None:
        """Plan and measure, while each run ends after a second."""
        for _ in range(int(seconds * 1000 / STEP_MS)):
            self.harness.at_ms += STEP_MS
            if ends and self.harness.at_ms % 1000 == 0:
                worker = self.harness.scheduler.workers['w0']
                for key in tuple(worker.reservations):
                    self.harness.end('w0', key)
            if plans:
                self.harness.start_all()
            self.loop.step(self.harness.at_ms)

    def is_closed(self) -> bool:
        """Return whether the last digest closes a queue."""
        return bool(self.store.closed and self.store.closed[-1])


@pytest.fixture
def site() -> _Site:
    """Return a site with more urgent work than a batch job may wait for."""
    created = _Site()
    created.add(1, step(8 * 40))
    created.run(1)
    for _ in range(3):
        created.add(2, step())
    return created


@pytest.mark.proof('closed-writes')
def test_a_digest_is_written_only_while_a_queue_is_closed(site: _Site) -> None:
    """Guards against writes that no load calls for."""
    site.run(LIMIT_S)
    assert not site.store.closed
    site.run(3)
    assert site.is_closed()
    closed = site.store.closed[-1]['queue']
    assert 20_000 < closed.delay_ms < 32_000
    site.run(35)
    assert not site.is_closed()
    written = len(site.store.closed)
    assert sum(not each for each in site.store.closed) == 1
    assert site.store.sequences == list(range(1, written + 1))
    site.run(10)
    assert len(site.store.closed) == written


def test_work_that_goes_after_a_new_job_closes_nothing() -> None:
    """Guards against a count of late jobs, which a new one goes before."""
    site = _Site()
    for _ in range(200):
        site.add(2, step(2))
    site.run(60)
    assert not site.store.closed


@pytest.mark.parametrize(
    'reason', [WaitReason.LINK_SATURATED, WaitReason.INHERITED]
)
def test_a_queue_that_was_not_tried_stays_open(
    site: _Site, monkeypatch: pytest.MonkeyPatch, reason: WaitReason
) -> None:
    """Guards against a new leader that closes what it cannot place yet."""
    waits = site.harness.scheduler._waits
    monkeypatch.setattr(
        type(waits),
        'rows',
        lambda _: [
            (each, reason, waits.since_ms[each]) for each in waits.reasons
        ],
    )
    site.run(LIMIT_S + 4)
    assert not site.store.closed


def test_a_leader_without_plans_or_ends_knows_nothing(site: _Site) -> None:
    """A leader whose plans stand still opens its queues; one whose workers are
    all lost closes none, as they may be back at any time."""
    site.run(LIMIT_S + 4)
    assert site.is_closed()
    site.run(MAX_PLAN_AGE_MS / 1000 + 1, plans=False)
    assert not site.is_closed()
    lost = _Site()
    lost.add(1, step(8 * 40))
    lost.add(2, step())
    lost.run(40, ends=False)
    assert not lost.store.closed


def test_workers_that_are_lost_open_no_closed_queue(site: _Site) -> None:
    """What closed the queue still waits when they are back."""
    site.run(LIMIT_S + 4)
    site.run(20, ends=False)
    assert site.is_closed()


def test_a_store_that_fails_or_a_successor_ends_the_writes(
    site: _Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    site.run(LIMIT_S + 4)
    monkeypatch.setattr(load_loop, 'now_ms', lambda: site.harness.at_ms)
    site.store.fails = True
    with pytest.raises(StoreError):
        site.run(1)
    site.store.fails = False
    site.run(1)
    assert site.is_closed()
    site.store.leader = 8
    site.loop._step_safely()
    assert site.service.leadership.is_over()
