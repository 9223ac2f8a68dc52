"""Queues whose steps run only with a ticket from the advice service."""

from collections.abc import Iterator

import pytest

from standins.grid_adviser import GridAdviser
from standins.grid_site import (
    Site,
    call,
    cfg_document,
    job_body,
    state_of,
    wait_until,
)
from standins.grid_store import GridStore

JOB = '/advised/00000000000000a1'


@pytest.fixture
def site() -> Iterator[Site]:
    """Return a cluster whose workers require tickets; only `w2` gets them."""
    store = GridStore()
    store.run_in_background()
    store.put('op/config', cfg_document(3))
    adviser = GridAdviser({'w2'})
    adviser.run_in_background()
    running = Site(store, adviser=adviser)
    for worker_id in ('w1', 'w2'):
        running.add_worker(worker_id).needs_tickets = True
    running.add_node()
    # A worker that the leader has not heard from yet is in no query.
    wait_until(lambda: all(each.has_lease for each in running.workers.values()))
    yield running
    running.close()


@pytest.mark.parametrize('busy', [0, 2])
def test_steps_run_only_where_they_are_allowed(site: Site, busy: int) -> None:
    assert site.adviser is not None
    site.adviser.busy = busy
    body = job_body({'count': 3}, {'count': 2, 'after': [0]}, ms=50)
    assert call(site.nodes[0], 'POST', JOB, body)[0] == 200
    wait_until(lambda: state_of(site.nodes[0], JOB) == 'completed')
    assert len(site.workers['w2'].started) == 5
    assert not site.workers['w1'].started
    # One query for each step: its ticket is valid for all its tasks.
    assert len(site.adviser.questions) == 2


def test_another_life_of_a_worker_is_asked_about_anew(site: Site) -> None:
    assert site.adviser is not None
    body = job_body({'count': 1}, ms=1500)
    call(site.nodes[0], 'POST', JOB, body)
    wait_until(lambda: site.workers['w2'].running())
    query_count = len(site.adviser.questions)
    site.workers['w2'].crash()
    wait_until(lambda: state_of(site.nodes[0], JOB) == 'completed')
    assert len(site.adviser.questions) > query_count
