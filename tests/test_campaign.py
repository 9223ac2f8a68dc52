"""Elections between instances of different sizes, over a stand-in store."""

import threading
import time
from base64 import b64decode
from collections.abc import Iterator
from dataclasses import replace

import pytest

from gentianpulley.cluster import election_policy
from gentianpulley.cluster.leader_elector import LeaderElector
from gentianpulley.cluster.election_policy import Candidate, decode_candidate
from gentianpulley.cluster.capacity import InstanceCapacity
from gentianpulley.cluster.job_storage import LEADER_KEY, SPEC_PREFIX
from gentianpulley.cluster.leader import LeaderDependencies
from gentianpulley.cluster.takeover_offers import OFFER_KEY, OfferPublisher
from gentianpulley.cluster.timing import Timing, create_timing
from gentianpulley.counters import create_counters
from gentianpulley.errors import StoreAnswerLostError
from gentianpulley.http_conn import HttpAddress
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

SMALL = 516
LARGEST = 8000
LARGE = 2151
JOB = '/batch/00000000000000a1'
TAKE_OVER_S = 18
LOADING_S = 4.0
SHORT_TIMING = Timing(
    lease_ms=500,
    max_lease_ms=500,
    leadership_ms=2500,
    stop_ms=50,
    poll_wait_ms=50,
)


class JoblessStore(KvStore):
    """A store whose answers with jobs never come."""

    def read_page(self, prefix: str, after: str) -> Page:
        """Return a page, or lose it if it holds jobs."""
        if prefix == SPEC_PREFIX:
            time.sleep(0.3)
            raise StoreAnswerLostError(prefix)
        return super().read_page(prefix, after)


class FaultyStore(KvStore):
    """A store whose jobs meet a fault of the program."""

    def read_page(self, prefix: str, after: str) -> Page:
        """Return a page, or fail if it holds jobs."""
        if prefix == SPEC_PREFIX:
            time.sleep(0.3)
            raise ValueError(prefix)
        return super().read_page(prefix, after)


class SlowStore(KvStore):
    """A store whose jobs take long to read."""

    def read_page(self, prefix: str, after: str) -> Page:
        """Return a page, late if it holds jobs."""
        if prefix == SPEC_PREFIX:
            time.sleep(LOADING_S)
        return super().read_page(prefix, after)


class DeafStore(KvStore):
    """A store that renews leases, while its answers never come."""

    def keep_alive(self, lease: StoreLease) -> StoreLease | None:
        """Renew the lease, and lose the answer."""
        super().keep_alive(lease)
        raise StoreAnswerLostError('renewal')


class Race:
    """Campaigns at one store."""

    def __init__(self) -> None:
        """Start the store."""
        self.store = GridStore()
        self.store.run_in_background()
        self.campaigns: list[LeaderElector] = []

    def join_impaired(
        self, name: str, milli: int, store: type[KvStore]
    ) -> LeaderElector:
        """Start a campaign of an instance with such a store."""
        address = HttpAddress(HOST, self.store.port)
        parts = replace(
            self.parts(),
            store=store(address, create_counters()),
            timing=SHORT_TIMING,
        )
        campaign = LeaderElector(_candidate(name, milli), parts, lambda: True)
        self.campaigns.append(campaign)
        campaign.start()
        return campaign

    def join(
        self, name: str, milli: int, is_healthy: bool = True
    ) -> LeaderElector:
        """Start a campaign."""
        campaign = LeaderElector(
            _candidate(name, milli), self.parts(), lambda: is_healthy
        )
        self.campaigns.append(campaign)
        campaign.start()
        return campaign

    def parts(self) -> LeaderDependencies:
        """Return parts of an instance with its own client of the store."""
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
        """Return who holds the leader's key, '' if nobody does."""
        found = self.store.item(LEADER_KEY)
        if found is None:
            return ''
        return decode_candidate(b64decode(found['value'])).instance

    def close(self) -> None:
        """Stop all campaigns, then the store."""
        for campaign in self.campaigns:
            campaign.hand_over()
        self.store.shutdown()
        self.store.server_close()


def _candidate(name: str, milli: int) -> Candidate:
    return Candidate(name, InstanceCapacity(processors_milli=milli))


@pytest.fixture
def race() -> Iterator[Race]:
    """Return a store without a leader."""
    running = Race()
    yield running
    running.close()


@pytest.mark.parametrize('late_s', [0, 0.1, 0.2, 0.3])
def test_the_larger_of_two_that_start_together_leads(
    race: Race, late_s: float
) -> None:
    race.join('small', SMALL)
    time.sleep(late_s)
    race.join('large', LARGE)
    wait_until(race.leader)
    assert race.leader() == 'large'


@pytest.mark.parametrize('milli', [1, SMALL])
def test_a_small_one_leads_when_it_is_alone(race: Race, milli: int) -> None:
    small = race.join('small', milli)
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
    race: Race,
    monkeypatch: pytest.MonkeyPatch,
    first: int,
    second: int,
    is_healthy: bool,
) -> None:
    monkeypatch.setattr(election_policy, 'MIN_HEALTHY_MS', 1)
    leader = race.join('first', first)
    wait_until(lambda: leader.is_leading)
    race.join('second', second, is_healthy)
    deadline_s = time.monotonic() + 4
    while time.monotonic() < deadline_s:
        assert not race.store.keys(OFFER_KEY)
        time.sleep(0.05)
    assert race.leader() == 'first'


def test_one_that_cannot_load_leaves_the_office_to_a_smaller_one(
    race: Race, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It campaigned again at once, and had it handed over as the largest."""
    monkeypatch.setattr(election_policy, 'MIN_HEALTHY_MS', 1)
    race.join_impaired('blind', LARGEST, JoblessStore)
    wait_until(race.leader)
    assert race.leader() == 'blind'
    small = race.join('small', SMALL)
    wait_until(lambda: small.is_leading, 8)
    held = race.store.item(LEADER_KEY)
    time.sleep(7)
    assert race.store.item(LEADER_KEY) == held
    assert not race.store.keys(OFFER_KEY)


def test_one_whose_renewals_are_not_answered_frees_the_key(
    race: Race,
) -> None:
    """The store kept the key for it, and it never acted again."""
    deaf = race.join_impaired('deaf', LARGEST, DeafStore)
    wait_until(lambda: deaf.is_leading)
    small = race.join('small', SMALL)
    wait_until(lambda: small.is_leading, 8)
    assert not deaf.is_leading


def test_one_that_cannot_load_goes_on_trying_if_it_is_alone(
    race: Race,
) -> None:
    race.join_impaired('blind', LARGEST, JoblessStore)
    wait_until(race.leader)
    first = race.store.item(LEADER_KEY)
    wait_until(lambda: race.store.item(LEADER_KEY) not in (None, first), 5)


def test_one_that_cannot_load_by_a_fault_calls_no_worker_any_more(
    race: Race,
) -> None:
    """Sessions are open before the jobs are read, and stayed open."""
    worker = GridWorker(race.store, 'w1')
    worker.run_in_background()
    race.join_impaired('faulty', LARGEST, FaultyStore)
    wait_until(lambda: _sessions('w1'))
    opened = _sessions('w1')
    wait_until(lambda: not any(each.is_alive() for each in opened), 5)
    worker.shutdown()
    worker.server_close()


def _sessions(worker_id: str) -> list[threading.Thread]:
    name = f'look-{worker_id}'
    return [each for each in threading.enumerate() if each.name == name]


def test_one_that_stops_while_it_loads_frees_the_key(race: Race) -> None:
    """It went on loading, and kept the key for a reign that never came."""
    stopping = race.join_impaired('stopping', LARGEST, SlowStore)
    wait_until(race.leader)
    time.sleep(0.5)
    stopping.hand_over()
    wait_until(lambda: not race.leader(), 1)
    time.sleep(LOADING_S)
    assert not race.leader()
    assert not stopping.is_leading


def test_an_offer_whose_owner_died_is_not_acted_on(race: Race) -> None:
    leader = race.join('small', SMALL)
    wait_until(lambda: leader.is_leading)
    held = race.store.item(LEADER_KEY)
    parts = race.parts()
    OfferPublisher(parts.store, _candidate('dead', LARGE), parts.log).update(
        True
    )
    assert race.store.keys(OFFER_KEY)
    wait_until(lambda: not race.store.keys(OFFER_KEY), 5)
    time.sleep(2)
    assert race.store.item(LEADER_KEY) == held
    assert leader.is_leading


def test_an_instance_that_drains_while_it_waits_does_not_lead(
    race: Race,
) -> None:
    draining = race.join('draining', SMALL)
    time.sleep(0.2)
    draining.hand_over()
    time.sleep(1.5)
    assert not race.leader()
    assert not draining.is_leading


def test_a_larger_one_that_joins_later_takes_over_and_runs_go_on() -> None:
    """A small leader kept the site for good, whoever joined later."""
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
    wait_until(lambda: large.is_leading, TAKE_OVER_S)
    assert not small.is_leading
    wait_until(lambda: state_of(large, JOB) == 'completed', TAKE_OVER_S)
    started = len(worker.started)
    leads = large.is_leading
    site.close()
    assert started == 4
    assert leads
