"""A leader whose calls to the store wait on its own link keeps its key."""

import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import pairwise

import pytest

from gentianpulley.cluster.job_storage import LEADER_KEY
from gentianpulley.cluster.lease_renewer import (
    RENEW_INTERVAL_MS,
    MAX_CONCURRENT_RENEWALS,
    LeaseRenewer,
    LeadershipRenewal,
)
from gentianpulley.cluster.leader import exclusive_end_ms, leadership_end_ms
from gentianpulley.cluster.scheduler_service import Leadership
from gentianpulley.counters import create_counters
from gentianpulley.deadline import MS_PER_SECOND, now_ms
from gentianpulley.errors import (
    StoreAnswerLostError,
    StoreError,
    StoreRefusedError,
    StoreUnreachableError,
)
from gentianpulley.http_conn import HttpAddress
from gentianpulley.logs import EventLog
from gentianpulley.platform.daemon import PlatformDaemon
from gentianpulley.platform.kv_store import KvStore, connect_kv_store
from gentianpulley.store import Put, StoreLease, Transaction
from standins.grid_site import Site, cfg_document, wait_until
from standins.grid_store import HOST, GridStore
from standins.tcp_proxy import TcpProxy
from tests.leader_bench import TIMING

QUEUED_S = 0.46
"""Each way, so that a call is answered within its second."""

KEPT_S = 7.0
HELD_S = 5.0
LATE_MS = 200
ROUNDING_MS = 2
ANSWER_MS = 100
LEASE = StoreLease(1, 0)


@dataclass(frozen=True)
class LedSite:
    """A store, the link to it, and the node that leads."""

    store: GridStore
    link: TcpProxy
    node: PlatformDaemon


@pytest.fixture
def led() -> Iterator[LedSite]:
    """Return a site that is led over a link without other traffic."""
    store = GridStore()
    store.run_in_background()
    store.put('op/config', cfg_document(3))
    site = Site(store)
    link = TcpProxy(store.port)
    node = site.add_node(link.port)
    wait_until(lambda: node.is_leading)
    yield LedSite(store, link, node)
    link.queue(0)
    site.close()
    link.close()


def test_renewals_that_wait_behind_other_traffic_keep_the_key(
    led: LedSite,
) -> None:
    """One came after the other and after looks for offers: the key lapsed."""
    held = led.store.item(LEADER_KEY)
    led.link.queue(QUEUED_S)
    deadline_s = time.monotonic() + KEPT_S
    while time.monotonic() < deadline_s:
        assert led.store.item(LEADER_KEY) == held
        time.sleep(0.05)
    assert led.node.is_leading


class Renewals:
    """Renewals whose answers come when the test lets them."""

    def __init__(self) -> None:
        """Hold all answers back."""
        self.sent_ms: list[int] = []
        self.released = threading.Event()

    def send(self) -> None:
        """Note when a renewal is sent, and wait for its answer."""
        self.sent_ms.append(now_ms())
        self.released.wait(HELD_S)


@pytest.mark.parametrize('is_answered', [True, False])
def test_a_renewal_without_an_answer_holds_up_no_other(
    is_answered: bool,
) -> None:
    renewals = Renewals()
    if is_answered:
        renewals.released.set()
    began_ms = now_ms()
    keeper = LeaseRenewer(renewals.send, began_ms, EventLog())
    wait_until(lambda: len(renewals.sent_ms) == MAX_CONCURRENT_RENEWALS)
    keeper.close()
    renewals.released.set()
    gaps_ms = [
        later_ms - sent_ms
        for sent_ms, later_ms in pairwise((began_ms, *renewals.sent_ms))
    ]
    assert min(gaps_ms) >= RENEW_INTERVAL_MS - ROUNDING_MS
    assert max(gaps_ms) < RENEW_INTERVAL_MS + LATE_MS


class FaultyRenewals(Renewals):
    """Renewals that end by a fault of the program."""

    def send(self) -> None:
        """Note when a renewal is sent, and fail."""
        self.sent_ms.append(now_ms())
        raise ValueError('a fault of the program')


def test_renewals_that_end_by_faults_end_no_thread() -> None:
    """Each took one of the threads along, and the key lapsed."""
    renewals = FaultyRenewals()
    keeper = LeaseRenewer(renewals.send, now_ms(), EventLog())
    wait_until(lambda: len(renewals.sent_ms) > MAX_CONCURRENT_RENEWALS)
    keeper.close()


def test_a_closed_keeper_sends_no_renewal() -> None:
    renewals = Renewals()
    keeper = LeaseRenewer(renewals.send, now_ms(), EventLog())
    keeper.close()
    time.sleep(1.5 * RENEW_INTERVAL_MS / MS_PER_SECOND)
    assert not renewals.sent_ms


class TellingStore(KvStore):
    """A store that answers renewals as the test tells it to."""

    def __init__(self, answer: StoreLease | StoreError | None) -> None:
        """Keep the answer; connect nowhere."""
        self._answer = answer

    def keep_alive(self, lease: StoreLease) -> StoreLease | None:
        """Answer after a while."""
        time.sleep(ANSWER_MS / MS_PER_SECOND)
        if isinstance(self._answer, StoreError):
            raise self._answer
        return self._answer


@pytest.mark.parametrize(
    ('answer', 'extends', 'ends'),
    [
        (LEASE, True, False),
        (None, False, True),
        (StoreAnswerLostError('renewal'), False, False),
        (StoreUnreachableError('renewal'), False, False),
        (StoreRefusedError('renewal'), False, False),
    ],
)
def test_only_an_answered_renewal_extends_a_tenure_from_its_sending(
    answer: StoreLease | StoreError | None, extends: bool, ends: bool
) -> None:
    sent_ms = now_ms()
    tenure = Leadership(sent_ms, sent_ms)
    renewal = LeadershipRenewal(TellingStore(answer), LEASE, tenure, TIMING)
    if isinstance(answer, StoreError):
        with pytest.raises(StoreError):
            renewal.renew_once()
    else:
        renewal.renew_once()
    assert tenure.is_over() is ends
    assert tenure.may_act(sent_ms) is extends
    slack_ms = ANSWER_MS // 2
    assert not tenure.may_act(leadership_end_ms(sent_ms, TIMING) + slack_ms)
    assert not tenure.is_exclusive(exclusive_end_ms(sent_ms) + slack_ms)


@pytest.mark.parametrize('ends_ms', [(10, 20), (20, 10)])
def test_answers_out_of_order_never_shorten_a_tenure(
    ends_ms: tuple[int, int],
) -> None:
    tenure = Leadership(0, 0)
    for end_ms in ends_ms:
        tenure.extend(end_ms, end_ms - 5)
    assert tenure.may_act(19)
    assert not tenure.may_act(20)
    assert tenure.is_exclusive(14)
    assert not tenure.is_exclusive(15)


def test_a_failed_call_closes_no_connection_of_the_renewals() -> None:
    store = GridStore()
    store.run_in_background()
    link = TcpProxy(store.port)
    client = connect_kv_store(HttpAddress(HOST, link.port), create_counters())
    renewals = client.with_own_conns()
    lease = renewals.grant_lease(60)
    opened = link.opened
    store.faults = {'lose_answers': 1}
    with pytest.raises(StoreAnswerLostError):
        client.commit(Transaction((), (Put('key', b''),)))
    assert renewals.keep_alive(lease) is not None
    link.close()
    store.shutdown()
    store.server_close()
    assert link.opened == opened + 1
