"""Elections between instances of different sizes, over a fake store."""

import json
import threading
import time
from base64 import b64decode
from collections.abc import Iterator
from dataclasses import replace

import pytest

from gentianpulley.cluster import election_policy
from gentianpulley.cluster.session_loop import THREAD_NAME
from gentianpulley.cluster.leader_elector import LeaderElector
from gentianpulley.cluster.election_policy import (
    Candidate,
    decode_candidate,
    encode_candidate,
)
from gentianpulley.cluster.capacity import InstanceCapacity
from gentianpulley.cluster.handover_state import ROSTER_KEY
from gentianpulley.cluster.job_storage import (
    LEADER_KEY,
    SPEC_PREFIX,
    LeaderJobStore,
    LoadedJobs,
    job_key,
)
from gentianpulley.cluster.leader import Leader, LeaderDependencies
from gentianpulley.cluster.roster import Roster, encode_roster
from gentianpulley.cluster.takeover_offers import (
    OFFER_KEY,
    OfferPublisher,
    create_leased_key,
)
from gentianpulley.cluster.timing import LEADER_TTL_S, Timing, create_timing
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreAnswerLostError
from gentianpulley.http_conn import HttpAddress
from gentianpulley.jobs.spec import encode_job
from gentianpulley.logs import EventLog
from gentianpulley.platform.directory import create_directory
from gentianpulley.platform.kv_store import KvStore, connect_kv_store
from gentianpulley.platform.worker_client import HttpWorkerClientFactory
from gentianpulley.store import Page, StoreLease
from standins.grid_site import (
    Site,
    call,
    cfg_document,
    job_body,
    state_of,
    wait_until,
)
from standins.grid_store import HOST, GridStore
from standins.grid_worker import GridWorker
from tests.scheduling.harness import customers_with, job, step

SMALL = 516
LARGEST = 8000
LARGE = 2151
JOB = '/batch/00000000000000a1'
TAKEOVER_S = 18
MAX_HAND_OVER_S = 1.8
LOADING_S = 4.0
PAUSE_S = 1.0
UNOPPOSED_S = 4.0
SHORT_TIMING = Timing(
    lease_ms=500,
    max_lease_ms=500,
    leadership_ms=2500,
    stop_ms=50,
    poll_wait_ms=50,
)


class JobLosingStore(KvStore):
    """A store whose responses with jobs never arrive."""

    def read_page(self, prefix: str, after: str) -> Page:
        """Return a page, or lose it if it holds jobs."""
        if prefix == SPEC_PREFIX:
            time.sleep(0.3)
            raise StoreAnswerLostError(prefix)
        return super().read_page(prefix, after)


class FaultyStore(KvStore):
    """A store that raises an unexpected error when jobs are read."""

    def read_page(self, prefix: str, after: str) -> Page:
        """Return a page, or fail if it holds jobs."""
        if prefix == SPEC_PREFIX:
            time.sleep(0.3)
            raise ValueError(prefix)
        return super().read_page(prefix, after)


class SlowStore(KvStore):
    """A store whose jobs take a long time to read."""

    def read_page(self, prefix: str, after: str) -> Page:
        """Return a page, late if it holds jobs."""
        if prefix == SPEC_PREFIX:
            time.sleep(LOADING_S)
        return super().read_page(prefix, after)


class RenewalLosingStore(KvStore):
    """A store that renews leases, but whose responses never arrive."""

    def keep_alive(self, lease: StoreLease) -> StoreLease | None:
        """Renew the lease and lose the response."""
        super().keep_alive(lease)
        raise StoreAnswerLostError('renewal')


class Election:
    """Electors of several instances over one store."""

    def __init__(self) -> None:
        """Start the store."""
        self.store = GridStore()
        self.store.run_in_background()
        self.electors: list[LeaderElector] = []

    def join_impaired(
        self, name: str, milli: int, store: type[KvStore]
    ) -> LeaderElector:
        """Start the elector of an instance with such a store client."""
        address = HttpAddress(HOST, self.store.port)
        dependencies = replace(
            self.dependencies(),
            store=store(address, create_counters()),
            timing=SHORT_TIMING,
        )
        elector = LeaderElector(
            _candidate(name, milli), dependencies, lambda: True
        )
        self.electors.append(elector)
        elector.replace_closed_domains(frozenset())
        elector.start()
        return elector

    def join(
        self, name: str, milli: int, is_healthy: bool = True
    ) -> LeaderElector:
        """Start the elector of an instance."""
        elector = self.create(name, milli, is_healthy)
        elector.replace_closed_domains(frozenset())
        elector.start()
        return elector

    def create(
        self, name: str, milli: int, is_healthy: bool = True
    ) -> LeaderElector:
        """Create an elector that knows of no operators' requests yet."""
        elector = LeaderElector(
            _candidate(name, milli), self.dependencies(), lambda: is_healthy
        )
        self.electors.append(elector)
        return elector

    def dependencies(self) -> LeaderDependencies:
        """Return dependencies of an instance with its own store client."""
        counters = create_counters()
        log = EventLog()
        client = connect_kv_store(HttpAddress(HOST, self.store.port), counters)
        return LeaderDependencies(
            store=client,
            directory=create_directory(client, log),
            worker_client_factory=HttpWorkerClientFactory(),
            advice_service=None,
            machine_provider=None,
            timing=create_timing(6000, 3000, 900, 1000),
            status_ms=120_000,
            maintenance_ms=2000,
            counters=counters,
            log=log,
        )

    def leader(self) -> str:
        """Return the instance that holds the leader's key, or '' if none."""
        found = self.store.item(LEADER_KEY)
        if found is None:
            return ''
        return decode_candidate(b64decode(found['value'])).instance

    def close(self) -> None:
        """Stop all electors, then the store."""
        for elector in self.electors:
            elector.hand_over()
        self.store.shutdown()
        self.store.server_close()


@pytest.mark.proof('domains-amid-load')
def test_a_domain_closed_while_the_leader_loads_got_a_start(
    election: Election, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first plan used the domains that were closed before the load."""
    spec = replace(job(step()).spec, payload='{}')
    election.store.put(job_key(spec.job_id), encode_job(spec))
    roster = json.loads(encode_roster(Roster()))
    election.store.put(ROSTER_KEY, roster)
    worker = GridWorker(election.store, 'w1', 'a')
    worker.run_in_background()
    load, leader_open = LeaderJobStore.load, Leader.open

    def slow_load(job_store: LeaderJobStore) -> LoadedJobs:
        loaded = load(job_store)
        election.electors[0].replace_closed_domains(frozenset('a'))
        return loaded

    def slow_open(leader: Leader) -> None:
        leader_open(leader)
        time.sleep(PAUSE_S)

    monkeypatch.setattr(LeaderJobStore, 'load', slow_load)
    monkeypatch.setattr(Leader, 'open', slow_open)
    elector = election.join('only', SMALL)
    wait_until(lambda: elector.is_leading)
    assert not worker.started
    elector.replace_closed_domains(frozenset())
    wait_until(lambda: worker.started)
    worker.shutdown()
    worker.server_close()


@pytest.mark.proof('customers-amid-load')
def test_a_ceiling_changed_while_the_leader_loads_has_no_effect(
    election: Election, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a leader that keeps the customers it began with."""
    elector = election.create('only', SMALL)
    load = LeaderJobStore.load

    def slow_load(job_store: LeaderJobStore) -> LoadedJobs:
        loaded = load(job_store)
        elector.replace_customers(customers_with(2, c=2000))
        return loaded

    monkeypatch.setattr(LeaderJobStore, 'load', slow_load)
    elector.replace_customers(customers_with(1, c=1000))
    elector.replace_closed_domains(frozenset())
    elector.start()
    wait_until(lambda: elector.is_leading)
    leader = elector._leader
    assert leader is not None
    assert leader.scheduler_service is not None
    usage = leader.scheduler_service.scheduler.usage
    assert usage.ceiling_of('c').processors_milli == 2000
    elector.replace_customers(customers_with(3))
    assert usage.customers.version == 3
    assert usage.ceiling_of('c').processors_milli == 2000


@pytest.mark.proof('domains-first')
def test_one_that_has_not_read_the_closed_domains_does_not_lead(
    election: Election,
) -> None:
    """It would start runs in a domain that was closed before it began."""
    elector = election.create('only', SMALL)
    elector.start()
    time.sleep(UNOPPOSED_S)
    assert not election.leader()
    elector.replace_closed_domains(frozenset())
    wait_until(lambda: elector.is_leading)


@pytest.mark.proof('ended-term')
def test_the_key_of_a_killed_leader_was_waited_for_beside_its_next_process(
    election: Election,
) -> None:
    """Nobody led before the key's lease had expired."""
    own = _candidate('killed', SMALL)
    election.store.put(LEADER_KEY, json.loads(encode_candidate(own)))
    elector = election.create('killed', SMALL)
    elector.start()
    wait_until(lambda: not election.leader(), 1)
    elector.replace_closed_domains(frozenset())
    wait_until(lambda: elector.is_leading)


def test_the_lease_of_an_ended_term_leaves_the_next_leaders_key(
    election: Election,
) -> None:
    """The stand-in deleted the key of the next leader, and so on for ever."""
    own = _candidate('killed', SMALL)
    client = election.dependencies().store
    body = encode_candidate(own)
    assert create_leased_key(client, LEADER_KEY, body, LEADER_TTL_S)
    elector = election.join('killed', SMALL)
    wait_until(lambda: elector.is_leading)
    key_entry = election.store.item(LEADER_KEY)
    time.sleep(LEADER_TTL_S + PAUSE_S)
    assert election.store.item(LEADER_KEY) == key_entry


@pytest.mark.proof('same-machine')
def test_the_key_of_a_machine_of_the_same_name_stays(
    election: Election,
) -> None:
    own = replace(_candidate('replaced', SMALL), address='10.0.0.1:80')
    election.store.put(LEADER_KEY, json.loads(encode_candidate(own)))
    key_entry = election.store.item(LEADER_KEY)
    election.join('replaced', LARGE)
    time.sleep(PAUSE_S)
    assert election.store.item(LEADER_KEY) == key_entry


def test_other_instances_go_before_one_whose_process_was_killed(
    election: Election,
) -> None:
    """One that is killed each time it leads does not lead again at once."""
    own = _candidate('killed', LARGE)
    election.store.put(LEADER_KEY, json.loads(encode_candidate(own)))
    other = election.join('other', LARGE)
    time.sleep(PAUSE_S)
    election.join('killed', LARGE)
    wait_until(lambda: other.is_leading)


def _candidate(name: str, milli: int) -> Candidate:
    capacity = InstanceCapacity(processors_milli=milli)
    return Candidate(name, capacity, f'{name}:80')


@pytest.fixture
def election() -> Iterator[Election]:
    """Return a store without a leader."""
    running = Election()
    yield running
    running.close()


@pytest.mark.parametrize('late_s', [0, 0.1, 0.2, 0.3])
def test_the_larger_of_two_that_start_together_leads(
    election: Election, late_s: float
) -> None:
    election.join('small', SMALL)
    time.sleep(late_s)
    election.join('large', LARGE)
    wait_until(election.leader)
    assert election.leader() == 'large'


@pytest.mark.parametrize('milli', [1, SMALL])
def test_a_small_one_leads_when_it_is_alone(
    election: Election, milli: int
) -> None:
    small = election.join('small', milli)
    wait_until(lambda: small.is_leading, 3)


@pytest.mark.parametrize(
    ('first', 'second', 'is_healthy'),
    [
        (SMALL, SMALL, True),
        (LARGE, LARGE, True),
        (SMALL, 2 * SMALL - 1, True),
        (LARGE, SMALL, True),
        (SMALL, LARGE, False),
    ],
)
def test_equals_smaller_and_sick_ones_never_offer(
    election: Election,
    monkeypatch: pytest.MonkeyPatch,
    first: int,
    second: int,
    is_healthy: bool,
) -> None:
    monkeypatch.setattr(election_policy, 'MIN_HEALTHY_MS', 1)
    leader = election.join('first', first)
    wait_until(lambda: leader.is_leading)
    election.join('second', second, is_healthy)
    deadline_s = time.monotonic() + 4
    while time.monotonic() < deadline_s:
        assert not election.store.keys(OFFER_KEY)
        time.sleep(0.05)
    assert election.leader() == 'first'


def test_one_that_cannot_load_leaves_the_office_to_a_smaller_one(
    election: Election, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It used to run again at once and, as the largest, to lead again."""
    monkeypatch.setattr(election_policy, 'MIN_HEALTHY_MS', 1)
    election.join_impaired('blind', LARGEST, JobLosingStore)
    wait_until(election.leader)
    assert election.leader() == 'blind'
    small = election.join('small', SMALL)
    wait_until(lambda: small.is_leading, 8)
    key_entry = election.store.item(LEADER_KEY)
    time.sleep(7)
    assert election.store.item(LEADER_KEY) == key_entry
    assert not election.store.keys(OFFER_KEY)


def test_one_whose_renewals_are_not_answered_frees_the_key(
    election: Election,
) -> None:
    """The store kept the key for it, but it never acted again."""
    deaf = election.join_impaired('deaf', LARGEST, RenewalLosingStore)
    wait_until(lambda: deaf.is_leading)
    small = election.join('small', SMALL)
    wait_until(lambda: small.is_leading, 8)
    assert not deaf.is_leading


def test_one_that_cannot_load_goes_on_trying_if_it_is_alone(
    election: Election,
) -> None:
    election.join_impaired('blind', LARGEST, JobLosingStore)
    wait_until(election.leader)
    first = election.store.item(LEADER_KEY)
    wait_until(lambda: election.store.item(LEADER_KEY) not in (None, first), 5)


def test_one_that_cannot_load_by_a_fault_calls_no_worker_any_more(
    election: Election,
) -> None:
    """Sessions are open before the jobs are read, and stayed open."""
    worker = GridWorker(election.store, 'w1')
    worker.run_in_background()
    earlier = _session_threads()
    election.join_impaired('faulty', LARGEST, FaultyStore)
    wait_until(lambda: _session_threads() - earlier)
    opened = _session_threads() - earlier
    wait_until(lambda: not any(each.is_alive() for each in opened), 5)
    worker.shutdown()
    worker.server_close()


def _session_threads() -> set[threading.Thread]:
    """Return the threads that run sessions; they end with the last one."""
    return {each for each in threading.enumerate() if each.name == THREAD_NAME}


class MuteStore(KvStore):
    """A store that answers no renewal of a lease while `is_mute` is set."""

    is_mute = threading.Event()

    def keep_alive(self, lease: StoreLease) -> StoreLease | None:
        """Renew the lease, or lose the response."""
        renewed = super().keep_alive(lease)
        if self.is_mute.is_set():
            raise StoreAnswerLostError('renewal')
        return renewed


@pytest.fixture
def muted() -> Iterator[threading.Event]:
    yield MuteStore.is_mute
    MuteStore.is_mute.clear()


@pytest.mark.parametrize(
    ('mute_s', 'grace_s', 'ends_s'), [(0.5, 3, 0.5), (60, 1, 1), (0, 3, 0)]
)
def test_a_stop_without_the_store_waits_to_hand_over(
    election: Election,
    muted: threading.Event,
    mute_s: float,
    grace_s: float,
    ends_s: float,
) -> None:
    """It gave no lease from then on, and what ran lapsed in a store outage."""
    leader = election.join_impaired('leader', LARGEST, MuteStore)
    wait_until(lambda: leader.is_leading)
    if mute_s:
        muted.set()
        time.sleep(LEADER_TTL_S)
    threading.Timer(mute_s, muted.clear).start()
    started_s = time.monotonic()
    leader.hand_over(now_ms() + int(grace_s * 1000))
    took_s = time.monotonic() - started_s
    assert ends_s <= took_s < ends_s + MAX_HAND_OVER_S
    assert not election.leader()


def test_one_that_stops_while_it_loads_frees_the_key(
    election: Election,
) -> None:
    """It went on loading and kept the key for a term that never started."""
    stopping = election.join_impaired('stopping', LARGEST, SlowStore)
    wait_until(election.leader)
    time.sleep(0.5)
    stopping.hand_over()
    wait_until(lambda: not election.leader(), 1)
    time.sleep(LOADING_S)
    assert not election.leader()
    assert not stopping.is_leading


def test_an_offer_whose_owner_died_is_not_acted_on(election: Election) -> None:
    leader = election.join('small', SMALL)
    wait_until(lambda: leader.is_leading)
    key_entry = election.store.item(LEADER_KEY)
    dependencies = election.dependencies()
    OfferPublisher(
        dependencies.store, _candidate('dead', LARGE), dependencies.log
    ).update(True)
    assert election.store.keys(OFFER_KEY)
    wait_until(lambda: not election.store.keys(OFFER_KEY), 5)
    time.sleep(2)
    assert election.store.item(LEADER_KEY) == key_entry
    assert leader.is_leading


def test_an_instance_that_drains_while_it_waits_does_not_lead(
    election: Election,
) -> None:
    draining = election.join('draining', SMALL)
    time.sleep(0.2)
    draining.hand_over()
    time.sleep(1.5)
    assert not election.leader()
    assert not draining.is_leading


def test_a_larger_one_that_joins_later_takes_over_and_runs_go_on() -> None:
    """A small leader used to lead for ever, whatever instances joined later."""
    store = GridStore()
    store.run_in_background()
    store.put('op/config', cfg_document(3))
    site = Site(store)
    worker = site.add_worker('w1')
    small = site.add_node(cpu_share=0.516)
    wait_until(lambda: small.is_leading)
    body = job_body({'count': 4}, ms=14_000)
    assert call(small, 'POST', JOB, body)[0] == 200
    wait_until(lambda: len(worker.running()) == 4)
    large = site.add_node(cpu_share=2.0)
    wait_until(lambda: large.is_leading, TAKEOVER_S)
    assert not small.is_leading
    wait_until(lambda: state_of(large, JOB) == 'completed', TAKEOVER_S)
    started = len(worker.started)
    leads = large.is_leading
    site.close()
    assert started == 4
    assert leads
