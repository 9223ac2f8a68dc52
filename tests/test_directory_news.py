"""Handling of registrations that change between two watch responses."""

import time
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from gentianpulley.cluster.leader import Leader
from gentianpulley.cluster.scheduler_service import Leadership
from gentianpulley.counters import create_counters
from gentianpulley.deadline import MS_PER_SECOND, deadline_in, now_ms
from gentianpulley.http_conn import HttpAddress
from gentianpulley.platform.kv_store import (
    WATCH_WAIT_MS,
    connect_kv_store,
)
from standins.grid_site import wait_until
from standins.grid_store import HOST, GridStore
from standins.grid_worker import GridWorker
from tests.leader_bench import create_leader

WORKER_ID = 'w1'
LATER_WORKER_ID = 'w2'
KEY = f'servers/{WORKER_ID}'
LEADER_TERM_MS = 60_000
SETTLE_DELAY_S = 0.3
WATCH_END_DELAY_S = WATCH_WAIT_MS / MS_PER_SECOND + 0.2


@pytest.fixture
def store() -> Iterator[GridStore]:
    """Return a running store."""
    running = GridStore()
    running.run_in_background()
    yield running
    running.shutdown()
    running.server_close()


@contextmanager
def _worker(store: GridStore, worker_id: str) -> Iterator[GridWorker]:
    """Yield a running worker."""
    worker = GridWorker(store, worker_id)
    worker.run_in_background()
    yield worker
    worker.shutdown()
    worker.server_close()


@contextmanager
def _leader(store: GridStore) -> Iterator[Leader]:
    """Yield a running leader."""
    client = connect_kv_store(HttpAddress(HOST, store.port), create_counters())
    until_ms = deadline_in(LEADER_TERM_MS)
    running = create_leader(store, client, Leadership(until_ms, until_ms))
    running.open()
    yield running
    running.close()


def _accepts(leader: Leader, worker_id: str) -> bool:
    service = leader.scheduler_service
    worker = service.scheduler.workers.get(worker_id) if service else None
    return worker is not None and worker.accepts_runs(now_ms())


@pytest.mark.parametrize('is_reborn', [False, True])
def test_a_worker_whose_entry_expired_and_came_back_is_used(
    store: GridStore, *, is_reborn: bool
) -> None:
    """A worker must not be skipped for the rest of a leader term.

    This happened when one watch response held both the deletion of its entry
    and the new registration.
    """
    with _worker(store, WORKER_ID) as worker, _leader(store) as leader:
        wait_until(lambda: _accepts(leader, WORKER_ID))
        store.faults['down'] = 1
        time.sleep(WATCH_END_DELAY_S)
        store.remove(KEY)
        if is_reborn:
            worker.crash()
        else:
            worker.register('ready')
        with _worker(store, LATER_WORKER_ID):
            store.faults['down'] = 0
            wait_until(lambda: _accepts(leader, LATER_WORKER_ID))
            time.sleep(SETTLE_DELAY_S)
            assert _accepts(leader, WORKER_ID)
