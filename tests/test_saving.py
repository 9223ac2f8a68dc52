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
from tests.leader_bench import create_leader
from tests.scheduling.harness import job, step

LARGEST_TRANSACTION = 32
WIDEST = 4000
ROUNDS = 8
JOBS_A_ROUND = 300
ROUND_MS = 3_600_000
BYTES_LEFT = 30
JOB_IDS = tuple(
    f'{number:016x}' for number in range(3 * MAX_SAVED_JOBS_PER_TRANSACTION)
)


class EverySecondLost(KvStore):
    """A store that drops every second write of records."""

    def __init__(self, server: GridStore) -> None:
        """Connect to a stand-in."""
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
    client: Store = EverySecondLost(server)
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
    """Their ends were acknowledged with the next write, and never written."""
    faults = ['steps changed during iteration']

    def faulty(known: Job, saved_ms: int) -> JobRecord:
        if faults:
            raise RuntimeError(faults.pop())
        return create_record(known, saved_ms)

    monkeypatch.setattr(job_storage, 'create_record', faulty)
    leader = create_leader(server, _client(server))
    leader.open()
    wait_until(lambda: not faults)
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
    """A page read before it was deleted may be taken up after that."""
    first = create_leader(server, _client(server))
    first.open()
    wait_until(lambda: len(server.keys(RECORD_PREFIX)) == len(JOB_IDS))
    first.close()
    guard = Precondition(LEADER_KEY, server.put(LEADER_KEY, {}))
    book = LeaderJobStore(
        create_leader_store(_client(server), guard), EventLog()
    )
    book.load()
    while book.delete_ended(deadline_in(1000)):
        assert all(map(book.has_ended, JOB_IDS))
    assert not server.keys(SPEC_PREFIX)
    assert not server.keys(CANCELLATION_PREFIX)
    assert all(map(book.has_ended, JOB_IDS))


def test_old_jobs_are_forgotten_in_few_writes() -> None:
    """Records waited behind ten writes each time, for as long as old jobs were
    left."""
    store = KeptStore()
    book = LeaderJobStore(store, EventLog())
    jobs = [job(step(), job_id=job_id) for job_id in JOB_IDS]
    for each in jobs:
        each.cancel()
    book.save(split_into_batches(jobs))
    store.transactions.clear()
    passes = 0
    while book.delete_ended(deadline_in(1000)):
        passes += 1
    assert len(store.transactions) == passes
    assert passes <= len(JOB_IDS) // MAX_DELETED_JOBS_PER_TRANSACTION + 1
    deleted = [key for txn in store.transactions for key in txn.deletes]
    assert len(deleted) == len(set(deleted)) == 4 * len(JOB_IDS)
    # The leader's key is guarded as well.
    longest = max(len(txn.deletes) for txn in store.transactions)
    assert longest + 1 <= LARGEST_TRANSACTION


class KeptStore(LeaderStore):
    """Keeps the transactions that it is asked for."""

    def __init__(self) -> None:
        """Use no store."""
        self.transactions: list[Transaction] = []

    def commit(self, txn: Transaction) -> CommitResult:
        """Apply nothing."""
        self.transactions.append(txn)
        return CommitResult(applied=True, revision=1)


def _job_with_checkpoints(job_id: str, width: int = 500) -> Job:
    known = job(step(width), job_id=job_id)
    for task in known.steps[(0, 0)].tasks:
        task.checkpoint = f'{task.task_id.ordinal:016x}'
        task.failed_runs.add(1)
    return known


def test_records_of_wide_jobs_do_not_share_one_large_write() -> None:
    """On a narrow link ten of them took longer than a write may take, and no
    record was written from then on."""
    store = KeptStore()
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
    """Each write of it was given up too early, and no end was acknowledged
    any more, whatever job it was of."""
    link = TcpProxy(server.port)
    link.narrow(MIN_LINK_BYTES_PER_S)
    client = connect_kv_store(HttpAddress(HOST, link.port), create_counters())
    guard = Precondition(LEADER_KEY, server.put(LEADER_KEY, {}))
    book = LeaderJobStore(create_leader_store(client, guard), EventLog())
    book.save(split_into_batches([_job_with_checkpoints(JOB_IDS[0], WIDEST)]))
    assert client.read(record_key(JOB_IDS[0])) is not None
    link.close()


class SilentLog(EventLog):
    """Writes no ends of jobs: lines without a reader are kept in memory."""

    def job_state(self, job_id: str, state: str, waited_ms: int) -> None:
        """Write nothing."""


def _end_and_forget(book: LeaderJobStore, round_number: int) -> None:
    """Let some jobs end, and be deleted at once."""
    ids = [f'{round_number:08x}{number:08x}' for number in range(JOBS_A_ROUND)]
    jobs = [job(step(), job_id=job_id) for job_id in ids]
    for each in jobs:
        each.cancel()
    book.save(split_into_batches(jobs))
    while book.delete_ended(deadline_in(1000 + round_number * ROUND_MS)):
        assert book.has_ended(ids[0])


def _kept_bytes() -> int:
    """Return what the book and its parts hold; other threads go on."""
    kept_by = [
        tracemalloc.Filter(True, f'*/cluster/{name}.py')
        for name in ('job_storage', 'expiring_id_set', 'prefix_counts')
    ]
    snapshot = tracemalloc.take_snapshot().filter_traces(kept_by)
    return sum(trace.size for trace in snapshot.traces)


def test_a_long_reign_keeps_nothing_of_jobs_that_were_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each left its id and a revision behind."""
    store = KeptStore()
    book = LeaderJobStore(store, SilentLog())
    sizes = []
    tracemalloc.start()
    for number in range(ROUNDS):
        late_ms = number * ROUND_MS
        monkeypatch.setattr(
            job_storage, 'now_ms', lambda late_ms=late_ms: deadline_in(late_ms)
        )
        _end_and_forget(book, number)
        store.transactions.clear()
        gc.collect()
        sizes.append(_kept_bytes())
    tracemalloc.stop()
    grown = sizes[-1] - sizes[1]
    assert grown < BYTES_LEFT * JOBS_A_ROUND * (ROUNDS - 2)
