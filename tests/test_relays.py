"""Calls to a worker through a relay, and what each failure of it proves."""

import threading
import time
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from gentianpulley.cluster.link import (
    StartOrder,
    StartReply,
    StartVerdict,
    WorkerLink,
)
from gentianpulley.cluster.relay_line import RelayLine
from gentianpulley.cluster.relayed_link import ANSWER_WITHIN_MS
from gentianpulley.deadline import now_ms
from gentianpulley.errors import (
    WorkerError,
    WorkerSilentError,
    WorkerUnreachableError,
)
from gentianpulley.relay_gen import ttypes
from standins.grid_site import wait_until
from standins.grid_store import GridStore
from standins.grid_worker import GridWorker
from standins.relay_site import RelaySite
from standins.tcp_proxy import LinkState, TcpProxy
from tests.scripted_server import free_port
from tests.contracts.link_contract import (
    LOOK,
    PAYLOAD,
    SENT,
    start_order,
    store_job,
    worker_facts,
)

LARGE = PAYLOAD + ' ' * 4000
LEASE_MS = 5500


@pytest.fixture
def site(grid_store: GridStore) -> Iterator[RelaySite]:
    running = RelaySite(grid_store)
    yield running
    running.close()


@pytest.fixture
def link(site: RelaySite, grid_worker: GridWorker) -> WorkerLink:
    opened = site.connect(worker_facts(grid_worker))
    wait_until(lambda: _looks(opened) and site.relayed('looks'))
    return opened


def test_the_payload_is_read_once_by_the_relay(
    site: RelaySite,
    link: WorkerLink,
    grid_worker: GridWorker,
    grid_store: GridStore,
) -> None:
    store_job(grid_store)
    for number in range(3):
        reply = link.start(start_order(number), SENT)
        assert reply.verdict is StartVerdict.ACCEPTED
    assert len(grid_worker.started) == 3
    assert site.relayed('orders') == 3
    assert site.served.count('store_calls') == 1


@pytest.mark.parametrize('stored', ['nothing', 'another payload'])
def test_a_payload_that_cannot_be_read_is_sent_along(
    site: RelaySite,
    link: WorkerLink,
    grid_worker: GridWorker,
    grid_store: GridStore,
    stored: str,
) -> None:
    if stored != 'nothing':
        store_job(grid_store, LARGE)
    reply = link.start(start_order(), SENT)
    assert reply.verdict is StartVerdict.ACCEPTED
    assert len(grid_worker.started) == 1
    assert site.served.count('relay_payload_unread') == 1


@pytest.mark.proof('payload-digest')
def test_a_job_under_the_id_of_a_former_one_has_its_own_payload(
    link: WorkerLink, grid_worker: GridWorker, grid_store: GridStore
) -> None:
    store_job(grid_store)
    link.start(start_order(), SENT)
    other = PAYLOAD.replace('x', 'y')
    store_job(grid_store, other)
    link.start(start_order(1, other), SENT)
    notes = [run.work['note'][0] for run in grid_worker._runs.values()]
    assert notes == ['x', 'y']


def test_a_relay_without_the_store_still_relays(
    site: RelaySite, link: WorkerLink, grid_worker: GridWorker
) -> None:
    site.store_link.switch(LinkState.CUT)
    for number in range(2):
        reply = link.start(start_order(number), SENT)
        assert reply.verdict is StartVerdict.ACCEPTED
    assert len(grid_worker.started) == 2
    assert site.relayed('orders') == 2


def test_a_silent_store_costs_one_start_through_a_relay(
    site: RelaySite, link: WorkerLink, grid_worker: GridWorker
) -> None:
    """Its time is over before the payload is known, so nothing is sent."""
    site.store_link.switch(LinkState.SILENT)
    reply = link.start(start_order(), SENT)
    assert reply.verdict is StartVerdict.NOT_SENT
    assert not grid_worker.started
    again = link.start(start_order(), SENT)
    assert again.verdict is StartVerdict.ACCEPTED
    assert len(grid_worker.started) == 1


def test_nothing_is_sent_to_a_relay_that_is_gone(
    site: RelaySite, link: WorkerLink, grid_worker: GridWorker
) -> None:
    site.link.switch(LinkState.CUT)
    reply = link.start(start_order(payload='{}'), SENT)
    assert reply.verdict is StartVerdict.NOT_SENT
    assert site.relayed('orders', 'relay_unreachable') == 1
    again = link.start(start_order(payload='{}'), SENT)
    assert again.verdict is StartVerdict.ACCEPTED
    assert len(grid_worker.started) == 1
    assert link.look(LOOK).clock_worker_ms


@pytest.mark.proof('relay-silence')
@pytest.mark.parametrize('state', [LinkState.SILENT, LinkState.ONE_WAY])
def test_a_start_without_an_answer_of_the_relay_is_unknown(
    site: RelaySite, link: WorkerLink, grid_worker: GridWorker, state: LinkState
) -> None:
    _start_relayed(site, link)
    site.link.switch(state)
    order = start_order(1, '{"ms":60000}')
    assert link.start(order, SENT).verdict is StartVerdict.LOST
    assert link.start(order, SENT).verdict is StartVerdict.ACCEPTED
    tasks = [task for task, _ in grid_worker.started]
    assert len(tasks) == len(set(tasks)) == 2


def test_a_silent_relay_does_not_cost_the_lease(
    site: RelaySite, link: WorkerLink
) -> None:
    site.link.switch(LinkState.SILENT)
    began_ms = now_ms()
    with pytest.raises(WorkerSilentError):
        link.look(replace(LOOK, wait_ms=1500))
    assert link.look(LOOK).clock_worker_ms
    assert now_ms() - began_ms < LEASE_MS - 1500


def test_a_relay_killed_in_a_call_leaves_it_unknown(
    site: RelaySite, link: WorkerLink
) -> None:
    threading.Timer(0.3, site.link.switch, (LinkState.CUT,)).start()
    with pytest.raises(WorkerSilentError):
        link.look(replace(LOOK, wait_ms=1500))
    wait_until(lambda: _looks(link), 1)


@pytest.mark.proof('relay-direct')
def test_a_relay_that_is_cut_from_the_worker(
    site: RelaySite, grid_worker: GridWorker
) -> None:
    """It proves that nothing was sent; the next call goes directly."""
    path = TcpProxy(grid_worker.port)
    link = site.connect(worker_facts(grid_worker, path.port))
    link.look(LOOK)
    path.switch(LinkState.CUT)
    with pytest.raises(WorkerError):
        link.look(LOOK)
    path.switch(LinkState.UP)
    assert link.look(LOOK).clock_worker_ms
    assert site.relayed('looks') == 1
    path.close()


def test_a_relay_says_what_its_call_to_the_worker_proves(
    site: RelaySite, grid_worker: GridWorker
) -> None:
    link = site.connect(worker_facts(grid_worker, free_port()))
    with pytest.raises(WorkerUnreachableError):
        link.look(LOOK)
    assert site.relayed('looks', 'unreachable') == 1


@pytest.mark.proof('relay-deadline')
def test_an_order_past_its_deadline_is_not_sent(
    site: RelaySite, grid_worker: GridWorker
) -> None:
    line = RelayLine(str(site.server.address), worker_facts(grid_worker))
    run = ttypes.Run('a' * 16, 0, 0, 0, 1)
    late = ttypes.Order(line.on_relay_ms(now_ms() - 1), 7, 60_000, run)
    start = ttypes.Start('', '', payload='{}')
    answer = line.call(
        lambda client: client.start(late, start), now_ms() + 1000
    )
    assert answer.answer.outcome == ttypes.Outcome.LATE
    assert not grid_worker.started


@pytest.mark.proof('relay-deadline')
def test_an_order_that_was_held_up_on_its_way_is_not_sent(
    site: RelaySite, link: WorkerLink, grid_worker: GridWorker
) -> None:
    """It arrives after the caller has given it up."""
    _start_relayed(site, link)
    site.link.narrow(20)
    reply = link.start(start_order(1, '{}'), SENT)
    assert reply.verdict is StartVerdict.LOST
    time.sleep(2 * ANSWER_WITHIN_MS / 1000 + 2)
    assert len(grid_worker.started) == 1


def test_starts_by_both_ways_run_once(
    site: RelaySite, link: WorkerLink, grid_worker: GridWorker
) -> None:
    """The relay's start is carried out late, after that of the next try."""
    order = start_order(payload='{"ms":60000}')
    grid_worker.faults = {'late_orders': 1}
    assert link.start(order, SENT).verdict is StartVerdict.LOST
    assert link.start(order, SENT).verdict is StartVerdict.ACCEPTED
    time.sleep(1.5)
    assert len(grid_worker.started) == 1


@pytest.mark.proof('relay-starts')
def test_a_leader_without_the_store_starts_nothing_through_relays(
    site: RelaySite, link: WorkerLink, grid_worker: GridWorker
) -> None:
    """The relay counts as in touch, and the leader may miss cancellations."""
    _start_relayed(site, link)
    site.is_store_cut = True
    wait_until(lambda: not site.table.may_start(), 4)
    orders = site.relayed('orders')
    reply = link.start(start_order(1, '{}'), SENT)
    assert reply.verdict is StartVerdict.ACCEPTED
    assert site.relayed('orders') == orders
    looks = site.relayed('looks')
    link.look(LOOK)
    assert site.relayed('looks') == looks + 1


def test_calls_go_through_the_relay_again_after_a_rest(
    site: RelaySite, link: WorkerLink
) -> None:
    site.link.switch(LinkState.CUT)
    with pytest.raises(WorkerError):
        link.look(LOOK)
    site.link.switch(LinkState.UP)
    calls = site.relayed('looks')

    wait_until(lambda: _looks(link) and site.relayed('looks') > calls, 8)


def test_a_load_that_a_narrow_link_cannot_carry_goes_through_relays(
    site: RelaySite, grid_worker: GridWorker, grid_store: GridStore
) -> None:
    """A start of 4 kB takes 0.4 s on this link; 20 of them are made."""
    store_job(grid_store, LARGE)
    path = TcpProxy(grid_worker.port)
    path.narrow(10_000)
    site.link.narrow(10_000)
    relay_facts = worker_facts(grid_worker)
    link = site.connect(relay_facts)
    link.look(LOOK)
    relayed = _load(link)
    assert len(grid_worker.started) == 20
    direct = site._links._direct.connect(worker_facts(grid_worker, path.port))
    slow = _load(direct, 20)
    path.close()
    assert relayed.seconds < 3 < slow.seconds
    assert set(relayed.verdicts) == {StartVerdict.ACCEPTED}


class _Load:
    """How a number of starts and looks went."""

    def __init__(self) -> None:
        self.verdicts: list[StartVerdict] = []
        self.seconds: float = 0


def _load(link: WorkerLink, first: int = 0) -> _Load:
    load = _Load()
    began_s = time.monotonic()
    for number in range(first, first + 20):
        reply = _started(link, start_order(number, LARGE))
        load.verdicts.append(reply.verdict)
        try:
            listing: Any = link.look(LOOK)
        except WorkerError:
            continue
        assert len(listing.running) >= len(load.verdicts) - 1
    load.seconds = time.monotonic() - began_s
    return load


def _start_relayed(site: RelaySite, link: WorkerLink) -> None:
    """Start the first run until the relay has answered."""
    order = start_order(payload='{}')
    wait_until(lambda: link.start(order, SENT) and site.relayed('orders'))


def _looks(link: WorkerLink) -> bool:
    """Look; tells whether the worker answered."""
    try:
        return bool(link.look(LOOK).clock_worker_ms)
    except WorkerError:
        return False


def _started(link: WorkerLink, order: StartOrder) -> StartReply:
    return link.start(order, SENT)
