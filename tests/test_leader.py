"""The state that one leader hands over to the next, over a fake store."""

import json
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

import pytest

from gentianpulley.cluster.job_storage import (
    CANCELLATION_PREFIX,
    LEADER_KEY,
    SPEC_PREFIX,
    LeaderJobStore,
    cancellation_key,
    job_key,
)
from gentianpulley.cluster.leader import (
    Leader,
    exclusive_end_ms,
    leadership_end_ms,
)
from gentianpulley.cluster.handover_state import (
    INTERFERENCE_KEY,
    ROSTER_KEY,
    HandoverState,
)
from gentianpulley.cluster.leader_store import create_leader_store
from gentianpulley.cluster.scheduler_service import SchedulerService, Leadership
from gentianpulley.cluster.roster import Roster, encode_roster
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreAnswerLostError, StoreError
from gentianpulley.http_conn import HttpAddress
from gentianpulley.jobs.job import JobState
from gentianpulley.jobs.spec import encode_job
from gentianpulley.platform.directory import SERVERS_PREFIX
from gentianpulley.platform.kv_store import KvStore, connect_kv_store
from gentianpulley.logs import EventLog
from gentianpulley.store import (
    ChangeBatch,
    CommitResult,
    Entry,
    Precondition,
    Page,
    Transaction,
)
from standins.grid_site import wait_until
from standins.grid_store import HOST, GridStore
from standins.grid_worker import GridWorker
from tests.leader_bench import TIMING, await_store, create_leader
from tests.scheduling.harness import JOB_ID, job, step


WORKER_ID = 'w1'
SHORT_TERM_S = 3.0
OTHER_ID = 'b' * 16
SLOW_S = 0.5
TASKS_OF_TWO = 16
GATED = pytest.mark.proof('cancellations-first')


@pytest.fixture
def store() -> Iterator[GridStore]:
    """Return a running store."""
    running = GridStore()
    running.run_in_background()
    yield running
    running.shutdown()
    running.server_close()


def _leader(store: GridStore, leadership: Leadership | None = None) -> Leader:
    """Return a leader under a new token."""
    address = HttpAddress(HOST, store.port)
    client = connect_kv_store(address, create_counters())
    return create_leader(store, client, leadership)


def _open_service(leader: Leader) -> SchedulerService:
    leader.open()
    service = leader.scheduler_service
    assert service is not None
    return service


def _handover_state(store: GridStore) -> HandoverState:
    """Return the handover state under the token of the current leader."""
    client = connect_kv_store(HttpAddress(HOST, store.port), create_counters())
    entry = client.read(LEADER_KEY)
    revision = entry.revision if entry else store.put(LEADER_KEY, {})
    precondition = Precondition(LEADER_KEY, revision)
    return HandoverState(create_leader_store(client, precondition), EventLog())


@contextmanager
def _worker(
    store: GridStore, worker_id: str = WORKER_ID
) -> Iterator[GridWorker]:
    """Yield a running worker."""
    worker = GridWorker(store, worker_id)
    worker.run_in_background()
    yield worker
    worker.shutdown()
    worker.server_close()


def _learn_interference(service: SchedulerService) -> float:
    with service.lock:
        for _ in range(40):
            service.scheduler.interference.observe('serves', 10, {})
            service.scheduler.interference.observe('serves', 80, {'fill': 0.15})
        return service.scheduler.interference.coefficient('serves', 'fill')


@pytest.mark.parametrize('is_planned', [True, False])
def test_the_learned_harm_goes_to_the_next_leader(
    store: GridStore, is_planned: bool
) -> None:
    """Learning it again lowered the score of Tuul's trouble-2 scenario, in
    which all instances restart."""
    first = _leader(store)
    learned = _learn_interference(_open_service(first))
    if is_planned:
        first.hand_over()
    else:
        wait_until(lambda: store.keys(INTERFERENCE_KEY))
    second = _leader(store)
    scheduler = _open_service(second).scheduler
    first.close()
    second.close()
    assert scheduler.interference.coefficient(
        'serves', 'fill'
    ) == pytest.approx(learned, abs=0.01)


def test_a_damaged_hand_over_is_left_out(
    store: GridStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    await_store(monkeypatch)
    store.put(INTERFERENCE_KEY, b'{"serving"')
    leader = _leader(store)
    service = _open_service(leader)
    leader.close()
    assert service.scheduler.interference.coefficient('serves', 'fill') > 0


@pytest.mark.parametrize('body', [b'{"used"', b'[' * 100_000, b'7'])
def test_a_leader_with_a_damaged_roster_waits_for_any_run(
    store: GridStore, body: bytes
) -> None:
    """No instance was able to lead as long as the roster was damaged."""
    store.put(ROSTER_KEY, body)
    leader = _leader(store)
    service = _open_service(leader)
    leader.close()
    scheduler = service.scheduler
    until_ms = scheduler.term.handover_until_ms
    assert not scheduler.is_handover_complete(until_ms)
    assert scheduler.is_handover_complete(until_ms + 1)


def test_records_are_written_after_a_fault(
    store: GridStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A fault used to end the writer thread; no end was acknowledged then."""
    calls_ms: list[int] = []

    def faulty(job_store: LeaderJobStore, before_ms: int) -> int:
        calls_ms.append(before_ms)
        raise ValueError('internal error')

    monkeypatch.setattr(LeaderJobStore, 'delete_ended', faulty)
    leader = _leader(store)
    leader.open()
    wait_until(lambda: len(calls_ms) > 1)
    leader.close()


class FirstResponseLosingStore(KvStore):
    """A store that loses the first response to each different call."""

    def __init__(self, server: GridStore) -> None:
        """Connect to a fake store."""
        super().__init__(HttpAddress(HOST, server.port), create_counters())
        self.lost: set[str] = set()

    def read(self, key: str) -> Entry | None:
        """Return an entry from the second call on."""
        self._lose_first(key)
        return super().read(key)

    def read_page(self, prefix: str, after: str) -> Page:
        """Return a page from the second call on."""
        self._lose_first(prefix)
        return super().read_page(prefix, after)

    def commit(self, txn: Transaction) -> CommitResult:
        """Apply a transaction; lose the first response to a roster write."""
        commit = super().commit(txn)
        if any(put.key == ROSTER_KEY for put in txn.puts):
            self._lose_first('commit')
        return commit

    def _lose_first(self, call: str) -> None:
        if call not in self.lost:
            self.lost.add(call)
            raise StoreAnswerLostError(call)


def test_one_lost_answer_ends_no_reign_before_it_began(
    store: GridStore,
) -> None:
    """The key was given up, and the cluster waited until another leader had
    loaded."""
    with _worker(store):
        client = FirstResponseLosingStore(store)
        leader = create_leader(store, client)
        service = _open_service(leader)
        leader.close()
    assert WORKER_ID in service.scheduler.workers
    assert {
        ROSTER_KEY,
        INTERFERENCE_KEY,
        SERVERS_PREFIX,
        'commit',
    } <= client.lost


def test_a_short_reign_leaves_what_it_waited_out(store: GridStore) -> None:
    """Inherited work waited for workers that had left before both terms."""
    store.put(ROSTER_KEY, [WORKER_ID])
    first = _leader(store)
    first_term = _open_service(first).term
    time.sleep(SHORT_TERM_S)
    first.close()
    second = _leader(store)
    scheduler = _open_service(second).scheduler
    second.close()
    until_ms = scheduler.term.since_ms + TIMING.handover_ms
    assert scheduler.is_handover_complete(until_ms - 1000)
    assert not scheduler.is_handover_complete(first_term.handover_until_ms)


def test_inherited_work_waited_for_a_worker_that_nobody_had_used(
    store: GridStore,
) -> None:
    """The worker is listed, but has left and does not respond.

    All inherited work used to wait for it.
    """
    store.put(ROSTER_KEY, json.loads(encode_roster(Roster())))
    with _worker(store):
        leader = _leader(store)
    service = _open_service(leader)
    assert WORKER_ID in service.scheduler.workers
    assert service.scheduler.is_handover_complete(now_ms())
    leader.close()


def test_a_worker_that_comes_back_is_noted_as_used(store: GridStore) -> None:
    """The roster must show that the worker is in use again.

    A leader that relies on the old roster starts its tasks a second time.
    """
    left = Roster(remaining_ms={WORKER_ID: TIMING.handover_ms})
    store.put(ROSTER_KEY, json.loads(encode_roster(left)))
    with _worker(store) as worker:
        leader = _leader(store)
        leader.open()
        roster = _handover_state(store).load_roster()
        service = leader.scheduler_service
        assert service is not None
        assert roster.term is not None
        assert roster.term.token == service.term.token
        addresses = {WORKER_ID: f'{HOST}:{worker.port}'}
        assert roster == Roster(
            frozenset((WORKER_ID,)), addresses=addresses, term=roster.term
        )
        leader.close()


@pytest.mark.proof('roster-revision')
def test_a_roster_written_late_undoes_no_newer_one(store: GridStore) -> None:
    """A write without a response may be applied after the next one."""
    late, current = _handover_state(store), _handover_state(store)
    older = Roster(frozenset(('w0',)))
    newer = Roster(frozenset((WORKER_ID,)))
    current.save_roster(newer)
    with pytest.raises(StoreError):
        late.save_roster(older)
    assert not late.has_marked_used(older.in_use)
    assert current.load_roster() == newer
    late.save_roster(older)
    assert late.has_marked_used(older.in_use)
    assert current.load_roster() == older


@pytest.mark.proof('certainty')
def test_a_leader_that_lost_its_key_while_it_loaded_began_new_jobs(
    store: GridStore,
) -> None:
    """A leader must start no job that arrived after it had lost its key.

    It used to read such jobs while it loaded; the next leader starts them
    too.
    """
    store.put(job_key(JOB_ID), encode_job(job(step()).spec))
    at_ms = now_ms()
    leadership = Leadership(leadership_end_ms(at_ms, TIMING), at_ms)
    leader = _leader(store, leadership)
    opening = threading.Thread(target=leader.open, daemon=True)
    opening.start()
    wait_until(lambda: leader.scheduler_service is not None)
    opening.join(0.4)
    service = leader.scheduler_service
    assert service is not None
    assert not service.scheduler.jobs
    later_ms = now_ms()
    leadership.extend(
        leadership_end_ms(later_ms, TIMING), exclusive_end_ms(later_ms)
    )
    wait_until(lambda: JOB_ID in service.scheduler.jobs)
    opening.join()
    leader.close()


@pytest.mark.proof('certainty')
def test_a_leader_whose_key_may_be_gone_takes_up_no_job(
    store: GridStore,
) -> None:
    """The next leader starts such a job at once: in one scenario a job ran
    twice."""
    at_ms = now_ms()
    leadership = Leadership(leadership_end_ms(at_ms, TIMING), at_ms)
    leader = _leader(store, leadership)
    service = _open_service(leader)
    store.put(job_key(JOB_ID), encode_job(job(step()).spec))
    time.sleep(0.4)
    assert not service.scheduler.jobs
    later_ms = now_ms()
    leadership.extend(
        leadership_end_ms(later_ms, TIMING), exclusive_end_ms(later_ms)
    )
    wait_until(lambda: JOB_ID in service.scheduler.jobs)
    leader.close()


class CancellingStore(KvStore):
    """A slow store in which a caller cancels a job during one read of it."""

    def __init__(self, server: GridStore, prefix: str) -> None:
        """Cancel when the first page below `prefix` has been read."""
        super().__init__(HttpAddress(HOST, server.port), create_counters())
        self._server = server
        self._prefix = prefix
        self.is_compacting = False
        self.is_losing = False

    def read_page(self, prefix: str, after: str) -> Page:
        """Return a page, which is older than the cancellation."""
        page = super().read_page(prefix, after)
        if prefix == self._prefix:
            self._prefix = ''
            self._server.put(cancellation_key(JOB_ID), b'')
            if self.is_compacting:
                self._server.forget_history()
        return page

    def watch(self, prefix: str, revision: int) -> Iterator[ChangeBatch]:
        """Report cancellations late, and lose the first report if told to."""
        if prefix == CANCELLATION_PREFIX:
            time.sleep(SLOW_S)
            if self.is_losing:
                self.is_losing = False
                raise StoreAnswerLostError(prefix)
        return super().watch(prefix, revision)

    def read_changes(self, prefix: str, revision: int) -> ChangeBatch:
        """Return the changes since a revision, late as well."""
        return next(self.watch(prefix, revision))


@pytest.mark.parametrize(
    ('prefix', 'is_compacting', 'is_losing'),
    [
        (SPEC_PREFIX, False, False),
        pytest.param(CANCELLATION_PREFIX, False, False, marks=GATED),
        pytest.param(CANCELLATION_PREFIX, True, False, marks=GATED),
        pytest.param(CANCELLATION_PREFIX, False, True, marks=GATED),
    ],
)
def test_a_job_cancelled_while_the_leader_loads_was_started(
    store: GridStore, prefix: str, is_compacting: bool, is_losing: bool
) -> None:
    """Its copy was read before the cancellation, which came by watch only."""
    for job_id in (JOB_ID, OTHER_ID):
        spec = replace(job(step(), job_id=job_id).spec, payload='{}')
        store.put(job_key(job_id), encode_job(spec))
    store.put(ROSTER_KEY, json.loads(encode_roster(Roster())))
    client = CancellingStore(store, prefix)
    client.is_compacting = is_compacting
    client.is_losing = is_losing
    with _worker(store) as worker:
        leader = create_leader(store, client)
        service = _open_service(leader)
        wait_until(lambda: worker.started)
        cancelled = service.scheduler.jobs[JOB_ID]
        wait_until(lambda: cancelled.state.is_final)
        leader.close()
        started = {task.partition('.')[0] for task, _ in worker.started}
    assert started == {OTHER_ID}
    assert cancelled.state is JobState.CANCELLED


class SlowDirectoryStore(KvStore):
    """A store in which a worker drains while the jobs are read."""

    def __init__(self, server: GridStore, worker: GridWorker) -> None:
        """Drain `worker` when the first page of jobs has been read."""
        super().__init__(HttpAddress(HOST, server.port), create_counters())
        self._worker = worker

    def read_page(self, prefix: str, after: str) -> Page:
        """Return a page; that of the jobs is older than the drain."""
        page = super().read_page(prefix, after)
        if prefix == SPEC_PREFIX:
            self._worker.register('draining')
        return page

    def watch(self, prefix: str, revision: int) -> Iterator[ChangeBatch]:
        """Report changes of the directory late."""
        if prefix == SERVERS_PREFIX:
            time.sleep(SLOW_S)
        return super().watch(prefix, revision)


@pytest.mark.proof('workers-first')
def test_a_worker_that_drained_while_the_leader_loaded_got_starts(
    store: GridStore,
) -> None:
    """The directory was read before the jobs and watched only after them."""
    spec = replace(job(step(count=TASKS_OF_TWO)).spec, payload='{"ms": 9000}')
    store.put(job_key(JOB_ID), encode_job(spec))
    store.put(ROSTER_KEY, json.loads(encode_roster(Roster())))
    with _worker(store) as leaving, _worker(store, 'w2') as staying:
        leader = create_leader(store, SlowDirectoryStore(store, leaving))
        leader.open()
        wait_until(lambda: len(staying.started) == TASKS_OF_TWO // 2)
        leader.close()
    assert not leaving.started
