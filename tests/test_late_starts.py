"""Workers carry out starts seconds after they were sent."""

import threading
from collections.abc import Iterator
from typing import Final

import pytest

from standins import grid_worker
from standins.grid_site import Site, call, cfg_document, job_body, wait_until
from standins.grid_store import GridStore
from standins.grid_worker import EventKind, GridWorker

LONG_JOB: Final = '/batch/00000000000000c1'
LATE_JOB: Final = '/batch/00000000000000c2'
OK: Final = 200
LONG_MS: Final = 60_000
MANY: Final = 100
VERBS: Final = ('run-start', 'run-stop', 'hold')
POLLED_S: Final = 2.0
SENT_S: Final = 0.5
LATE_S: Final = 4.2
"""More than `contact_ms` and a heartbeat after the start, for which a capacity
that has shrunk does not count, and less than the lease."""


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> Iterator[Site]:
    """Return a cluster with one worker that carries out starts very late."""
    monkeypatch.setattr(grid_worker, 'LATE_S', LATE_S)
    store = GridStore()
    store.run_in_background()
    store.put('op/config', cfg_document(3))
    running = Site(store)
    running.add_worker('w1')
    running.add_node()
    wait_until(lambda: running.nodes[0].is_leading)
    yield running
    running.close()


def _settle(seconds: float) -> None:
    threading.Event().wait(seconds)


def _starts(worker: GridWorker) -> int:
    return sum(
        event.kind is EventKind.STARTED for event in tuple(worker.events)
    )


@pytest.mark.proof('start-deadline')
def test_a_late_start_overfills_a_worker_that_has_shrunk_since(
    site: Site,
) -> None:
    """It had no reply, and was carried out 4.2 s later (LIMIT)."""
    worker = site.workers['w1']
    long_job = job_body(
        {'count': 1, 'cpu': 30_000, 'long_running': True}, ms=LONG_MS
    )
    assert call(site.nodes[0], 'POST', LONG_JOB, long_job)[0] == OK
    wait_until(lambda: _starts(worker) == 1)
    # The first starts carry the whole lease.
    _settle(POLLED_S)
    # Polls are late as well, so the start is not stopped before it arrives.
    worker.faults = {'late_orders': MANY, 'verbs': VERBS}
    late_job = job_body({'count': 1, 'cpu': 20_000}, ms=LONG_MS)
    assert call(site.nodes[0], 'POST', LATE_JOB, late_job)[0] == OK
    _settle(SENT_S)
    worker.resize(30_000)
    _settle(LATE_S)
    assert _starts(worker) == 1
