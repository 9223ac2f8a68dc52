"""A leader keeps its key while its store calls queue on its own link."""

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

QUEUE_DELAY_S = 0.46
"""Delay each way, so that a call gets its response within its second."""

OBSERVED_S = 7.0
MAX_BLOCK_S = 5.0
MAX_LATENESS_MS = 200
ROUNDING_MS = 2
RESPONSE_DELAY_MS = 100
LEASE = StoreLease(1, 0)


@dataclass(frozen=True)
class LedCluster:
    """A store, the link to it, and the leading instance."""

    store: GridStore
    link: TcpProxy
    instance: PlatformDaemon


@pytest.fixture
def led() -> Iterator[LedCluster]:
    """Return a cluster whose leader has a link without other traffic."""
    store = GridStore()
    store.run_in_background()
    store.put('op/config', cfg_document(3))
    site = Site(store)
    link = TcpProxy(store.port)
    instance = site.add_node(link.port)
    wait_until(lambda: instance.is_leading)
    yield LedCluster(store, link, instance)
    link.queue(0)
    site.close()
    link.close()


def test_renewals_that_wait_behind_other_traffic_keep_the_key(
    led: LedCluster,
) -> None:
    """Renewals must run in parallel and must not wait for reads of offers.

    They used to wait for each other and for these reads, so the key expired.
    """
    key_entry = led.store.item(LEADER_KEY)
    led.link.queue(QUEUE_DELAY_S)
    deadline_s = time.monotonic() + OBSERVED_S
    while time.monotonic() < deadline_s:
        assert led.store.item(LEADER_KEY) == key_entry
        time.sleep(0.05)
    assert led.instance.is_leading


class BlockingRenewals:
    """Renewals whose responses the test releases."""

    def __init__(self) -> None:
        """Block all responses."""
        self.sent_ms: list[int] = []
        self.released = threading.Event()

    def send(self) -> None:
        """Record when a renewal is sent, and wait for its response."""
        self.sent_ms.append(now_ms())
        self.released.wait(MAX_BLOCK_S)


@pytest.mark.parametrize('is_answered', [True, False])
def test_a_renewal_without_an_answer_holds_up_no_other(
    is_answered: bool,
) -> None:
    renewals = BlockingRenewals()
    if is_answered:
        renewals.released.set()
    started_ms = now_ms()
    renewer = LeaseRenewer(renewals.send, started_ms, EventLog())
    wait_until(lambda: len(renewals.sent_ms) == MAX_CONCURRENT_RENEWALS)
    renewer.close()
    renewals.released.set()
    intervals_ms = [
        later_ms - sent_ms
        for sent_ms, later_ms in pairwise((started_ms, *renewals.sent_ms))
    ]
    assert min(intervals_ms) >= RENEW_INTERVAL_MS - ROUNDING_MS
    assert max(intervals_ms) < RENEW_INTERVAL_MS + MAX_LATENESS_MS


class FailingRenewals(BlockingRenewals):
    """Renewals that raise an unexpected error."""

    def send(self) -> None:
        """Record when a renewal is sent, and raise an unexpected error."""
        self.sent_ms.append(now_ms())
        raise ValueError('internal error')


def test_renewals_that_end_by_faults_end_no_thread() -> None:
    """Each error ended one of the threads, and the key expired."""
    renewals = FailingRenewals()
    renewer = LeaseRenewer(renewals.send, now_ms(), EventLog())
    wait_until(lambda: len(renewals.sent_ms) > MAX_CONCURRENT_RENEWALS)
    renewer.close()


def test_a_closed_keeper_sends_no_renewal() -> None:
    renewals = BlockingRenewals()
    renewer = LeaseRenewer(renewals.send, now_ms(), EventLog())
    renewer.close()
    time.sleep(1.5 * RENEW_INTERVAL_MS / MS_PER_SECOND)
    assert not renewals.sent_ms


class ScriptedStore(KvStore):
    """A store that returns a given response to renewals."""

    def __init__(self, answer: StoreLease | StoreError | None) -> None:
        """Store the response; connect nowhere."""
        self._response = answer

    def keep_alive(self, lease: StoreLease) -> StoreLease | None:
        """Return or raise the response after `RESPONSE_DELAY_MS`."""
        time.sleep(RESPONSE_DELAY_MS / MS_PER_SECOND)
        if isinstance(self._response, StoreError):
            raise self._response
        return self._response


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
    leadership = Leadership(sent_ms, sent_ms)
    renewal = LeadershipRenewal(
        ScriptedStore(answer), LEASE, leadership, TIMING
    )
    if isinstance(answer, StoreError):
        with pytest.raises(StoreError):
            renewal.renew_once()
    else:
        renewal.renew_once()
    assert leadership.is_over() is ends
    assert leadership.may_act(sent_ms) is extends
    margin_ms = RESPONSE_DELAY_MS // 2
    assert not leadership.may_act(
        leadership_end_ms(sent_ms, TIMING) + margin_ms
    )
    assert not leadership.is_exclusive(exclusive_end_ms(sent_ms) + margin_ms)


@pytest.mark.parametrize('ends_ms', [(10, 20), (20, 10)])
def test_answers_out_of_order_never_shorten_a_tenure(
    ends_ms: tuple[int, int],
) -> None:
    leadership = Leadership(0, 0)
    for end_ms in ends_ms:
        leadership.extend(end_ms, end_ms - 5)
    assert leadership.may_act(19)
    assert not leadership.may_act(20)
    assert leadership.is_exclusive(14)
    assert not leadership.is_exclusive(15)


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
