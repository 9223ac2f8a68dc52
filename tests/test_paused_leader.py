"""What a leader that was paused may do with the answers of the store.

Elections and renewals count from before the pause; writes fail once another
instance leads.
"""

import threading
from collections.abc import Callable, Iterator
from typing import Final

import pytest

from gentianpulley.cluster.capacity import InstanceCapacity
from gentianpulley.cluster.election_policy import Candidate
from gentianpulley.cluster.handover_state import HandoverState
from gentianpulley.cluster.job_storage import (
    LEADER_KEY,
    LeaderJobStore,
    split_into_batches,
)
from gentianpulley.cluster.leader_elector import LeaderElector
from gentianpulley.cluster.leader_store import (
    DeposedError,
    LeaderStore,
    create_leader_store,
)
from gentianpulley.cluster.lease_renewer import LeadershipRenewal
from gentianpulley.cluster.roster import Roster
from gentianpulley.cluster.scheduler_service import Leadership
from gentianpulley.cluster.wave_records import WaveProgress, WaveRecords
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreAnswerLostError
from gentianpulley.http_conn import HttpAddress, parse_address
from gentianpulley.logs import EventLog
from gentianpulley.platform.kv_store import KvStore
from gentianpulley.platform.machine_client import HttpMachineProvider
from gentianpulley.store import (
    CommitResult,
    Precondition,
    StoreLease,
    Transaction,
)
from standins.grid_site import wait_until
from standins.grid_store import HOST, GridStore
from standins.grid_worker import GridWorker
from standins.http_server import Call, Reply
from tests.leader_bench import create_leader
from tests.scheduling.harness import JOB_ID, TIMING, job, step
from tests.scheduling.paused_process import PausableClock, install_clock

PAUSE_MS: Final = 10_000
"""Longer than a leader may act."""

SETTLE_S: Final = 0.5
LEASE: Final = StoreLease(1, 0)
ADDRESS: Final = parse_address('127.0.0.1:1')


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> PausableClock:
    """Return the clock of the process."""
    return install_clock(monkeypatch)


class PausingStore(KvStore):
    """A store client whose process is paused while it sends."""

    def __init__(self, clock: PausableClock, address: HttpAddress) -> None:
        """Pause whenever the leader's key is renewed or created."""
        super().__init__(address, create_counters())
        self._clock = clock

    def with_own_conns(self) -> 'PausingStore':
        """Return a client that pauses too."""
        return PausingStore(self._clock, self._conn.address)

    def keep_alive(self, lease: StoreLease) -> StoreLease | None:
        """Pause after the store has renewed the lease."""
        self._clock.pause(PAUSE_MS)
        return lease

    def commit(self, txn: Transaction) -> CommitResult:
        """Pause after the store has applied the transaction."""
        commit = super().commit(txn)
        if any(put.key == LEADER_KEY for put in txn.puts):
            self._clock.pause(PAUSE_MS)
        return commit


@pytest.mark.proof('sent-time')
def test_a_renewal_counts_from_before_a_pause(clock: PausableClock) -> None:
    leadership = Leadership(now_ms(), now_ms())
    store = PausingStore(clock, ADDRESS)
    LeadershipRenewal(store, LEASE, leadership, TIMING).renew_once()
    assert not leadership.is_over()
    assert not leadership.may_act(now_ms())
    assert not leadership.is_exclusive(now_ms())


class CreatingStore(PausingStore):
    """A store client that is paused in an election; renewals go astray."""

    def with_own_conns(self) -> 'CreatingStore':
        """Return a client that pauses too."""
        return CreatingStore(self._clock, self._conn.address)

    def keep_alive(self, lease: StoreLease) -> StoreLease | None:
        """Lose the answer."""
        raise StoreAnswerLostError('renewal')


class RecordingWorker(GridWorker):
    """A worker that records the calls to it."""

    def __init__(self, store: GridStore, worker_id: str) -> None:
        """Register without calls."""
        super().__init__(store, worker_id)
        self.calls: list[Call] = []

    def serve(self, call: Call) -> Reply:
        """Record a call and handle it."""
        self.calls.append(call)
        return super().serve(call)


@pytest.fixture
def store() -> Iterator[GridStore]:
    """Return an empty store."""
    running = GridStore()
    running.run_in_background()
    yield running
    running.shutdown()
    running.server_close()


@pytest.mark.proof('sent-time')
def test_an_election_won_before_a_pause_gives_no_permission_after_it(
    clock: PausableClock, store: GridStore
) -> None:
    worker = RecordingWorker(store, 'w1')
    worker.run_in_background()
    client = CreatingStore(clock, HttpAddress(HOST, store.port))
    dependencies = create_leader(store, client)._dependencies
    store.remove(LEADER_KEY)
    own = Candidate('n1', InstanceCapacity(processors_milli=8000))
    elector = LeaderElector(own, dependencies, lambda: True)
    elector.replace_closed_domains(frozenset())
    elector.start()
    wait_until(lambda: store.item(LEADER_KEY))
    threading.Event().wait(SETTLE_S)
    assert not worker.calls
    elector.hand_over()
    worker.shutdown()
    worker.server_close()


def _save_records(store: LeaderStore) -> None:
    LeaderJobStore(store, EventLog()).save(split_into_batches([job(step())]))


def _delete_ended(store: LeaderStore) -> None:
    job_store = LeaderJobStore(store, EventLog())
    job_store._ended[JOB_ID] = (0, 'queue')
    job_store.delete_ended(now_ms())


def _save_roster(store: LeaderStore) -> None:
    roster = Roster(in_use=frozenset(('w1',)))
    HandoverState(store, EventLog()).save_roster(roster)


def _save_interference(store: LeaderStore) -> None:
    HandoverState(store, EventLog()).save_interference(b'{}')


def _save_wave(store: LeaderStore) -> None:
    WaveRecords(store, EventLog()).save(1, WaveProgress(ordered=('m1',)))


def _report_wave(store: LeaderStore) -> None:
    provider = HttpMachineProvider(ADDRESS, 'n1')
    provider.report_wave(1, store, is_completed=False)


@pytest.mark.proof('leader-key')
@pytest.mark.parametrize(
    'write',
    [
        _save_records,
        _delete_ended,
        _save_roster,
        _save_interference,
        _save_wave,
        _report_wave,
    ],
)
def test_a_leader_that_was_replaced_in_a_pause_writes_nothing(
    store: GridStore, write: Callable[[LeaderStore], None]
) -> None:
    """A successor got the key between the decision and the write."""
    client = KvStore(HttpAddress(HOST, store.port), create_counters())
    key = Precondition(LEADER_KEY, store.put(LEADER_KEY, {}))
    revision = store.put(LEADER_KEY, {'successor': 1})
    with pytest.raises(DeposedError):
        write(create_leader_store(client, key))
    assert client.read_prefix('gp/').revision == revision
