"""No job is created once a caller was told that there is none."""

import random
import time
from collections.abc import Iterator
from contextlib import suppress
from typing import Final

import pytest

from gentianpulley.cluster import tombstones
from gentianpulley.cluster.election_policy import Candidate
from gentianpulley.cluster.customer_keys import UNRESTRICTED, Caller
from gentianpulley.cluster.entry_job_store import CreateOutcome, EntryJobStore
from gentianpulley.cluster.job_storage import LEADER_KEY, job_key
from gentianpulley.cluster.leader_store import create_leader_store
from gentianpulley.cluster.submissions import (
    MAX_STORE_CALL_MS,
    RequestOutcome,
    Submissions,
)
from gentianpulley.cluster.timing import MAX_ORDER_DELAY_MS
from gentianpulley.cluster.tombstones import (
    MAX_SUBMIT_MS,
    TOMBSTONE_PREFIX,
    TOMBSTONE_RETENTION_MS,
    TombstoneSweeper,
    tombstone_key,
)
from gentianpulley.counters import create_counters
from gentianpulley.deadline import MS_PER_SECOND, deadline_in
from gentianpulley.errors import StoreAnswerLostError, StoreError
from gentianpulley.http_conn import HttpAddress
from gentianpulley.jobs.spec import JobSpec
from gentianpulley.logs import EventLog
from gentianpulley.platform.kv_store import KvStore, connect_kv_store
from gentianpulley.store import Precondition
from standins.grid_store import HOST, GridStore
from tests.scheduling.harness import JOB_ID, job, step
from tests.scheduling.simulated_store import SimulatedStore

SHORT_RETENTION_MS: Final = 100
MANY: Final = 1000
RUNS: Final = 60
STEPS: Final = 600
STEP_MS: Final = 300
WINDOW_MS: Final = 4000
JOB_IDS: Final = tuple(f'{number:016x}' for number in range(3))


@pytest.fixture
def server() -> Iterator[GridStore]:
    """Return an empty store."""
    running = GridStore()
    running.run_in_background()
    yield running
    running.shutdown()
    running.server_close()


def _client(server: GridStore) -> KvStore:
    return connect_kv_store(HttpAddress(HOST, server.port), create_counters())


def _entry_store(server: GridStore) -> EntryJobStore:
    return EntryJobStore(_client(server), EventLog())


def _sweeper(server: GridStore) -> TombstoneSweeper:
    leader = Precondition(LEADER_KEY, server.put(LEADER_KEY, {}))
    return TombstoneSweeper(create_leader_store(_client(server), leader))


def _spec(job_id: str = JOB_ID) -> JobSpec:
    return job(step(), job_id=job_id).spec


def _sweep_all(sweeper: TombstoneSweeper) -> int:
    """Sweep until nothing is due; return the number of calls."""
    calls = 1
    while sweeper.sweep():
        calls += 1
    return calls


def test_a_job_with_a_tombstone_is_refused(server: GridStore) -> None:
    job_store = _entry_store(server)
    assert job_store.cancel(JOB_ID) is None
    assert job_store.create(_spec()) is CreateOutcome.BARRED
    submissions = Submissions(job_store, EventLog())
    told = submissions.submit(_spec(), 1, deadline_in(MS_PER_SECOND))
    assert told.outcome is RequestOutcome.REFUSED
    assert told.retry_after_s * MS_PER_SECOND == TOMBSTONE_RETENTION_MS
    assert not server.item(job_key(JOB_ID))


def test_a_stored_job_gets_no_tombstone(server: GridStore) -> None:
    job_store = _entry_store(server)
    assert job_store.create(_spec()) is CreateOutcome.CREATED
    assert job_store.create(_spec()) is CreateOutcome.EXISTS
    assert job_store.cancel(JOB_ID) is not None
    assert not server.keys(TOMBSTONE_PREFIX)


def test_a_job_stored_amid_its_cancellation_is_cancelled(
    server: GridStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It is created between the read of its status and the tombstone."""
    job_store = _entry_store(server)
    job_store.create(_spec())
    monkeypatch.setattr(EntryJobStore, 'status', lambda *_: None)
    assert job_store.cancel(JOB_ID) is not None
    assert server.keys('gp/job/cancelled/')
    assert not server.keys(TOMBSTONE_PREFIX)


class BarredAfterLoss(EntryJobStore):
    """Loses the answer of a first creation, then finds a tombstone."""

    def __init__(self) -> None:
        """Use no store."""
        self._is_lost = False

    def create(
        self, spec: JobSpec, caller: Caller = UNRESTRICTED
    ) -> CreateOutcome:
        """Return what the next attempt of the creation meets."""
        if self._is_lost:
            return CreateOutcome.BARRED
        self._is_lost = True
        raise StoreAnswerLostError('lost')


def test_a_tombstone_proves_nothing_of_an_earlier_write() -> None:
    """It may be deleted before the write whose answer was lost is applied."""
    submissions = Submissions(BarredAfterLoss(), EventLog())
    deadline_ms = deadline_in(2 * MAX_STORE_CALL_MS)
    told = submissions.submit(_spec(), 1, deadline_ms)
    assert told.outcome is RequestOutcome.UNCERTAIN


def test_a_tombstone_outlasts_every_write_of_an_earlier_submission(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A caller's deadline of an hour does not prolong these writes."""
    last_write_ms = MAX_SUBMIT_MS + MAX_STORE_CALL_MS
    assert TOMBSTONE_RETENTION_MS > last_write_ms + MAX_ORDER_DELAY_MS
    monkeypatch.setattr(
        'gentianpulley.cluster.submissions.MAX_SUBMIT_MS', MAX_STORE_CALL_MS
    )
    began_s = time.monotonic()
    submissions = Submissions(BarredAfterLoss(), EventLog())
    told = submissions.submit(_spec(), 1, deadline_in(3_600_000))
    assert told.outcome is RequestOutcome.UNCERTAIN
    assert time.monotonic() - began_s < MAX_STORE_CALL_MS / MS_PER_SECOND


def test_tombstones_are_deleted_after_their_retention(
    server: GridStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        tombstones, 'TOMBSTONE_RETENTION_MS', SHORT_RETENTION_MS
    )
    job_store, sweeper = _entry_store(server), _sweeper(server)
    job_store.cancel(JOB_IDS[0])
    job_store.cancel(JOB_IDS[1])
    _sweep_all(sweeper)
    time.sleep(SHORT_RETENTION_MS / MS_PER_SECOND)
    job_store.cancel(JOB_IDS[1])
    job_store.cancel(JOB_IDS[2])
    _sweep_all(sweeper)
    assert server.keys(TOMBSTONE_PREFIX) == [
        tombstone_key(job_id) for job_id in JOB_IDS[1:]
    ]
    time.sleep(SHORT_RETENTION_MS / MS_PER_SECOND)
    _sweep_all(sweeper)
    assert not server.keys(TOMBSTONE_PREFIX)


def test_a_renewed_tombstone_survives_a_sweep_that_found_it_old(
    server: GridStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tombstones, 'TOMBSTONE_RETENTION_MS', 0)
    job_store, sweeper = _entry_store(server), _sweeper(server)
    job_store.cancel(JOB_ID)
    sweeper.sweep()
    sweeper.sweep()
    job_store.cancel(JOB_ID)
    sweeper.sweep()
    assert server.item(tombstone_key(JOB_ID))


def test_thousands_of_unknown_ids_cost_one_write_each(
    server: GridStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Their deletion takes few writes, one at a time between records."""
    monkeypatch.setattr(
        tombstones, 'TOMBSTONE_RETENTION_MS', SHORT_RETENTION_MS
    )
    job_store, sweeper = _entry_store(server), _sweeper(server)
    before = server.calls
    for number in range(MANY):
        assert job_store.cancel(f'{number:016x}') is None
    # Two reads find no record and no job.
    assert server.calls - before == 3 * MANY
    _sweep_all(sweeper)
    time.sleep(SHORT_RETENTION_MS / MS_PER_SECOND)
    before = server.calls
    calls = _sweep_all(sweeper)
    assert server.calls - before <= calls
    assert not server.keys(TOMBSTONE_PREFIX)
    assert calls < MANY // 10


class SimulatedCallers:
    """Submits and cancels jobs at random while writes are lost or late.

    A caller that was told that its job does not exist leaves. The tombstones
    are swept meanwhile.
    """

    def __init__(self, seed: int) -> None:
        """Draw everything from `seed`."""
        self.rng = random.Random(seed)
        self.store = SimulatedStore(self.rng)
        self.jobs = EntryJobStore(self.store.as_store(), EventLog())
        leader = self.store.elect_leader(Candidate('leader'))
        self.sweeper = TombstoneSweeper(leader.store)
        self.denied: set[str] = set()

    def advance(self, now_ms: int) -> None:
        """Let time pass, and one caller act."""
        self.store.now_ms = now_ms
        self.store.apply_late_commits(now_ms)
        with suppress(StoreError):
            self.sweeper.sweep()
        job_id = f'{self.rng.randrange(now_ms // WINDOW_MS + 2):016x}'
        if job_id not in self.denied:
            with suppress(StoreError):
                self._act(job_id)

    def created_although_denied(self) -> list[str]:
        """Return the jobs that exist although a caller was told otherwise."""
        return [
            job_id
            for job_id in self.denied
            if self.store.read(job_key(job_id)) is not None
        ]

    def tombstone_count(self) -> int:
        """Return the number of tombstones."""
        page = self.store.read_page(TOMBSTONE_PREFIX, '')
        return len(page.entries)

    def _act(self, job_id: str) -> None:
        """Submit or cancel a job; `StoreError` if its caller learns nothing."""
        if self.rng.random() < 1 / 2:
            self.jobs.create(_spec(job_id))
        elif self.jobs.cancel(job_id) is None:
            self.denied.add(job_id)


@pytest.mark.proof('tombstone', 'tombstone-retention')
def test_no_order_of_lost_and_late_writes_creates_a_job_that_was_denied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for seed in range(RUNS):
        callers = SimulatedCallers(seed)
        clock = SimulatedClock(callers.store)
        monkeypatch.setattr(tombstones, 'has_passed', clock.has_passed)
        monkeypatch.setattr(tombstones, 'deadline_in', clock.deadline_in)
        for now_ms in range(0, STEPS * STEP_MS, STEP_MS):
            callers.advance(now_ms)
            assert not callers.created_although_denied(), (seed, now_ms)
        assert callers.denied
        assert callers.tombstone_count() < len(callers.denied)


class SimulatedClock:
    """The time of a simulated store, as the sweeper reads it."""

    def __init__(self, store: SimulatedStore) -> None:
        """Follow the time of `store`."""
        self._store = store

    def has_passed(self, deadline_ms: int) -> bool:
        """Return whether a deadline has passed."""
        return self._store.now_ms >= deadline_ms

    def deadline_in(self, milliseconds: int) -> int:
        """Return the deadline some milliseconds from now."""
        return self._store.now_ms + milliseconds
