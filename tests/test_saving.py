"""How a leader writes records while writes fail."""

import gc
import tracemalloc
from collections.abc import Iterator

import pytest

from gentianpulley.cluster import job_storage
from gentianpulley.cluster.job_storage import (
    CANCELLATION_PREFIX,
    SPEC_PREFIX,
    MAX_SAVED_JOBS_PER_TRANSACTION,
    MAX_TRANSACTION_BYTES,
    LEADER_KEY,
    MAX_DELETED_JOBS_PER_TRANSACTION,
    RECORD_PREFIX,
    LeaderJobStore,
    cancellation_key,
    job_key,
    record_key,
    split_into_batches,
)
from gentianpulley.cluster.leader_store import LeaderStore, create_leader_store
from gentianpulley.counters import create_counters
from gentianpulley.deadline import deadline_in
from gentianpulley.errors import StoreAnswerLostError
from gentianpulley.http_conn import HttpAddress
from gentianpulley.jobs.job import Job
from gentianpulley.jobs.record import JobRecord, create_record
from gentianpulley.jobs.spec import encode_job
from gentianpulley.logs import EventLog
from gentianpulley.platform.kv_store import (
    MIN_LINK_BYTES_PER_S,
    KvStore,
    connect_kv_store,
)
from gentianpulley.store import CommitResult, Precondition, Store, Transaction
from standins.grid_site import wait_until
from standins.grid_store import HOST, GridStore
from standins.tcp_proxy import TcpProxy
from tests.leader_bench import await_store, create_leader
from tests.scheduling.harness import job, step

MAX_TRANSACTION_OPERATIONS = 32
MAX_WIDTH = 4000
ROUNDS = 8
JOBS_PER_ROUND = 300
ROUND_MS = 3_600_000
MAX_BYTES_PER_JOB = 30
JOB_IDS = tuple(
    f'{number:016x}' for number in range(3 * MAX_SAVED_JOBS_PER_TRANSACTION)
)


class HalfLosingStore(KvStore):
    """A store that drops every second write of records."""

    def __init__(self, server: GridStore) -> None:
        """Connect to a fake store."""
        super().__init__(HttpAddress(HOST, server.port), create_counters())
        self._writes = 0

    def commit(self, txn: Transaction) -> CommitResult:
        """Apply a transaction, or drop it."""
        if any(put.key.startswith(RECORD_PREFIX) for put in txn.puts):
            self._writes += 1
            if self._writes % 2 == 0:
                raise StoreAnswerLostError('dropped')
        return super().commit(txn)


def _client(server: GridStore) -> Store:
    address = HttpAddress(HOST, server.port)
    return connect_kv_store(address, create_counters())


@pytest.fixture
def server() -> Iterator[GridStore]:
    """Return a store of jobs that are all cancelled."""
    running = GridStore()
    running.run_in_background()
    for job_id in JOB_IDS:
        spec = job(step(), job_id=job_id).spec
        running.put(job_key(job_id), encode_job(spec))
        running.put(cancellation_key(job_id), b'')
    yield running
    running.shutdown()
    running.server_close()


def test_records_that_were_written_are_not_written_again(
    server: GridStore,
) -> None:
    client: Store = HalfLosingStore(server)
    leader = create_leader(server, client)
    leader.open()
    wait_until(
        lambda: len(server.keys(RECORD_PREFIX)) == len(JOB_IDS),
        5,
        'all records are written',
    )
    leader.close()


@pytest.mark.parametrize('is_handed_over', [False, True])
def test_records_that_met_a_fault_are_written_later(
    server: GridStore,
    monkeypatch: pytest.MonkeyPatch,
    *,
    is_handed_over: bool,
) -> None:
    """Their ends were acknowledged with the next write, but never written."""
    errors = ['steps changed during iteration']

    def failing_create_record(saved_job: Job, saved_ms: int) -> JobRecord:
        if errors:
            raise RuntimeError(errors.pop())
        return create_record(saved_job, saved_ms)

    await_store(monkeypatch)
    monkeypatch.setattr(job_storage, 'create_record', failing_create_record)
    leader = create_leader(server, _client(server))
    leader.open()
    wait_until(lambda: not errors)
    if is_handed_over:
        leader.hand_over()
    wait_until(
        lambda: len(server.keys(RECORD_PREFIX)) == len(JOB_IDS),
        3,
        'all records are written',
    )
    leader.close()


def test_a_job_that_is_forgotten_still_counts_as_ended(
    server: GridStore,
) -> None:
    """A page read before the deletion may be processed after it."""
    first = create_leader(server, _client(server))
    first.open()
    wait_until(lambda: len(server.keys(RECORD_PREFIX)) == len(JOB_IDS))
    first.close()
    precondition = Precondition(LEADER_KEY, server.put(LEADER_KEY, {}))
    job_store = LeaderJobStore(
        create_leader_store(_client(server), precondition), EventLog()
    )
    job_store.load()
    while job_store.delete_ended(deadline_in(1000)):
        assert all(map(job_store.has_ended, JOB_IDS))
    assert not server.keys(SPEC_PREFIX)
    assert not server.keys(CANCELLATION_PREFIX)
    assert all(map(job_store.has_ended, JOB_IDS))


def test_old_jobs_are_forgotten_in_few_writes() -> None:
    """Records waited behind ten writes each time while old jobs remained."""
    store = RecordingStore()
    job_store = LeaderJobStore(store, EventLog())
    jobs = [job(step(), job_id=job_id) for job_id in JOB_IDS]
    for each in jobs:
        each.cancel()
    job_store.save(split_into_batches(jobs))
    store.transactions.clear()
    passes = 0
    while job_store.delete_ended(deadline_in(1000)):
        passes += 1
    assert len(store.transactions) == passes
    assert passes <= len(JOB_IDS) // MAX_DELETED_JOBS_PER_TRANSACTION + 1
    deleted = [key for txn in store.transactions for key in txn.deletes]
    assert len(deleted) == len(set(deleted)) == 4 * len(JOB_IDS)
    # The precondition on the leader's key is one more operation.
    max_deletes = max(len(txn.deletes) for txn in store.transactions)
    assert max_deletes + 1 <= MAX_TRANSACTION_OPERATIONS


class RecordingStore(LeaderStore):
    """Records the transactions that it is asked to commit."""

    def __init__(self) -> None:
        """Use no store."""
        self.transactions: list[Transaction] = []

    def commit(self, txn: Transaction) -> CommitResult:
        """Apply nothing."""
        self.transactions.append(txn)
        return CommitResult(applied=True, revision=1)


def _job_with_checkpoints(job_id: str, width: int = 500) -> Job:
    wide_job = job(step(width), job_id=job_id)
    for task in wide_job.steps[(0, 0)].tasks:
        task.checkpoint = f'{task.task_id.ordinal:016x}'
        task.failed_runs = frozenset((1,))
    return wide_job


def test_records_of_wide_jobs_do_not_share_one_large_write() -> None:
    """One write must hold no more data than a narrow link can carry.

    Ten of them used to exceed the write timeout, and no record was written
    from then on.
    """
    store = RecordingStore()
    jobs = [_job_with_checkpoints(job_id) for job_id in JOB_IDS]
    batches = split_into_batches(jobs)
    LeaderJobStore(store, EventLog()).save(batches)
    sizes = [
        sum(len(put.body) for put in txn.puts) for txn in store.transactions
    ]
    assert max(sizes) <= MAX_TRANSACTION_BYTES
    keys = [put.key for txn in store.transactions for put in txn.puts]
    assert keys == [record_key(job_id) for job_id in JOB_IDS]
    assert not batches


def test_one_record_that_is_larger_than_a_usual_write_is_written(
    server: GridStore,
) -> None:
    """Each write of it timed out too early, and no end of any job was
    acknowledged any more."""
    link = TcpProxy(server.port)
    link.narrow(MIN_LINK_BYTES_PER_S)
    client = connect_kv_store(HttpAddress(HOST, link.port), create_counters())
    precondition = Precondition(LEADER_KEY, server.put(LEADER_KEY, {}))
    job_store = LeaderJobStore(
        create_leader_store(client, precondition), EventLog()
    )
    job_store.save(
        split_into_batches([_job_with_checkpoints(JOB_IDS[0], MAX_WIDTH)])
    )
    assert server.item(record_key(JOB_IDS[0])) is not None
    link.close()


class QuietLog(EventLog):
    """Logs no ends of jobs: unread log lines would be kept in memory."""

    def job_state(self, job_id: str, state: str, waited_ms: int) -> None:
        """Write nothing."""


def _end_and_delete(job_store: LeaderJobStore, round_number: int) -> None:
    """Let some jobs end, and delete them at once."""
    ids = [
        f'{round_number:08x}{number:08x}' for number in range(JOBS_PER_ROUND)
    ]
    jobs = [job(step(), job_id=job_id) for job_id in ids]
    for each in jobs:
        each.cancel()
    job_store.save(split_into_batches(jobs))
    while job_store.delete_ended(deadline_in(1000 + round_number * ROUND_MS)):
        assert job_store.has_ended(ids[0])


def _held_bytes() -> int:
    """Return the memory that the job store and its components hold.

    Other threads go on, so only these modules are counted.
    """
    filters = [
        tracemalloc.Filter(True, f'*/cluster/{name}.py')
        for name in ('job_storage', 'expiring_id_set', 'prefix_counts')
    ]
    snapshot = tracemalloc.take_snapshot().filter_traces(filters)
    return sum(trace.size for trace in snapshot.traces)


def test_a_long_reign_keeps_nothing_of_jobs_that_were_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each job left its id and a revision in memory."""
    store = RecordingStore()
    job_store = LeaderJobStore(store, QuietLog())
    sizes = []
    tracemalloc.start()
    for number in range(ROUNDS):
        offset_ms = number * ROUND_MS
        monkeypatch.setattr(
            job_storage,
            'now_ms',
            lambda offset_ms=offset_ms: deadline_in(offset_ms),
        )
        _end_and_delete(job_store, number)
        store.transactions.clear()
        gc.collect()
        sizes.append(_held_bytes())
    tracemalloc.stop()
    growth_bytes = sizes[-1] - sizes[1]
    assert growth_bytes < MAX_BYTES_PER_JOB * JOBS_PER_ROUND * (ROUNDS - 2)
