"""A site whose leader has a narrow link and speaks with workers by relays."""

from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from gentianpulley.cluster.relay_presence import relay_key
from gentianpulley.platform.daemon import Node
from standins.grid_site import (
    Site,
    call,
    cfg_document,
    fetch,
    job_body,
    state_of,
    wait_until,
)
from standins.grid_store import GridStore

JOB = '/batch/00000000000000a1'
NARROW_MBPS = 0.01
STARTS = 12


@dataclass(frozen=True)
class NarrowSite:
    """Two workers; the first node leads and has a narrow link."""

    site: Site
    leader: Node
    others: tuple[Node, ...]

    def counter(self, node: Node, name: str) -> int:
        """Return a counter of a node."""
        _, text = fetch(node.metrics, '/metrics')
        lines = [line for line in text.splitlines() if f'{name}_total' in line]
        return int(lines[0].rsplit(' ', 1)[1]) if lines else 0

    def run_job(self, path: str = JOB, ms: int = 50) -> None:
        """Submit a job that is too large to be sent along with starts."""
        body = job_body({'count': STARTS}, ms=ms, note='x' * 500)
        assert call(self.others[0], 'POST', path, body)[0] == 200

    def done(self) -> list[str]:
        """Return the tasks that have ended as done."""
        workers = self.site.workers.values()
        return [task for each in workers for task in each.done]

    def started(self) -> list[tuple[str, int]]:
        """Return all runs."""
        workers = self.site.workers.values()
        return [run for each in workers for run in each.started]


@pytest.fixture
def narrow() -> Iterator[NarrowSite]:
    """Return a site once its leader's looks go through relays."""
    store = GridStore()
    store.run_in_background()
    store.put('op/config', cfg_document(3))
    site = Site(store)
    for worker_id in ('w1', 'w2'):
        site.add_worker(worker_id)
    leader = site.add_node(link_mbps=NARROW_MBPS)
    wait_until(lambda: leader.is_leading)
    others = tuple(site.add_node(link_mbps=NARROW_MBPS) for _ in range(2))
    running = NarrowSite(site, leader, others)
    wait_until(lambda: _relayed(running) > 4, 12, 'looks are relayed')
    yield running
    site.close()


def _relayed(narrow: NarrowSite) -> int:
    return narrow.counter(narrow.leader, 'relayed_looks_answered')


def test_a_job_runs_through_relays(narrow: NarrowSite) -> None:
    narrow.run_job()
    wait_until(lambda: state_of(narrow.leader, JOB) == 'completed', 12)
    assert len(narrow.started()) == len(set(narrow.done())) == STARTS
    assert narrow.counter(narrow.leader, 'relayed_orders_answered') >= STARTS
    served = [
        narrow.counter(each, 'relay_calls_served') for each in narrow.others
    ]
    assert sum(served) >= STARTS


def test_a_planned_stop_of_a_relay_withdraws_it_first(
    narrow: NarrowSite,
) -> None:
    store = narrow.site.store
    assert store.item(relay_key('n1')) is not None
    narrow.others[0].shut_down()
    assert store.item(relay_key('n1')) is None
    narrow.site.nodes.remove(narrow.others[0])
    calls = _relayed(narrow)
    wait_until(lambda: _relayed(narrow) > calls + 4, 12, 'others relay')


def test_running_work_survives_relays_that_are_killed(
    narrow: NarrowSite,
) -> None:
    narrow.run_job(ms=7000)
    wait_until(lambda: len(narrow.started()) == STARTS)
    for node in narrow.others:
        node._relays.close()
    wait_until(lambda: len(narrow.done()) == STARTS, 14, 'all are done')
    assert len(narrow.started()) == STARTS


def test_a_reborn_worker_runs_nothing_twice_at_once(
    narrow: NarrowSite,
) -> None:
    narrow.run_job(ms=3000)
    wait_until(lambda: len(narrow.started()) == STARTS)
    narrow.site.workers['w1'].crash()
    wait_until(lambda: len(set(narrow.done())) == STARTS, 20, 'all are done')
    done = narrow.done()
    assert len(done) == len(set(done))


def test_a_wide_link_uses_no_relay() -> None:
    store = GridStore()
    store.run_in_background()
    store.put('op/config', cfg_document(3))
    site = Site(store)
    site.add_worker('w1')
    nodes = [site.add_node() for _ in range(2)]
    running = NarrowSite(site, nodes[0], (nodes[1],))
    running.run_job()
    wait_until(lambda: len(running.done()) == STARTS)
    assert not _relayed(running)
    assert not running.counter(nodes[1], 'relay_calls_served')
    site.close()
