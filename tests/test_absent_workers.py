"""Absent workers over loopback: they are asked at their stored addresses."""

import json
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from gentianpulley.cluster.handover_state import ROSTER_KEY
from gentianpulley.cluster.job_storage import job_key
from gentianpulley.cluster.leader import Leader
from gentianpulley.cluster.roster import Roster, encode_roster
from gentianpulley.cluster.scheduler_service import SchedulerService
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.http_conn import HttpAddress
from gentianpulley.jobs.spec import encode_job
from gentianpulley.platform.directory import SERVERS_PREFIX
from gentianpulley.platform.kv_store import connect_kv_store
from standins.grid_site import wait_until
from standins.grid_store import HOST, GridStore
from standins.grid_worker import GridWorker
from tests.leader_bench import TIMING, create_leader
from tests.scheduling.harness import job, step

WORKER_ID = 'w1'
RUN_MS = 60_000


@pytest.fixture
def store() -> Iterator[GridStore]:
    """Return a running store."""
    running = GridStore()
    running.run_in_background()
    yield running
    running.shutdown()
    running.server_close()


@pytest.fixture
def worker(store: GridStore) -> Iterator[GridWorker]:
    """Return a running worker, which is in the directory."""
    running = GridWorker(store, WORKER_ID)
    running.run_in_background()
    yield running
    running.shutdown()
    running.server_close()


@contextmanager
def _leading(store: GridStore) -> Iterator[SchedulerService]:
    """Yield the service of a leader under a new token."""
    address = HttpAddress(HOST, store.port)
    client = connect_kv_store(address, create_counters())
    leader: Leader = create_leader(store, client)
    leader.open()
    service = leader.scheduler_service
    assert service is not None
    yield service
    leader.close()


def _add_job(store: GridStore) -> None:
    """Store a job whose only task lasts."""
    spec = job(step(estimated_ms=RUN_MS)).spec
    document = json.loads(encode_job(spec))
    document['payload'] = json.dumps({'ms': RUN_MS})
    store.put(job_key(spec.job_id), document)


def test_what_runs_on_an_unregistered_worker_is_adopted(
    store: GridStore, worker: GridWorker
) -> None:
    """A worker that was cut off from the store alone lost its runs with its
    leader, as the next one did not renew its lease."""
    _add_job(store)
    with _leading(store):
        wait_until(worker.running)
    store.remove(SERVERS_PREFIX + WORKER_ID)
    with _leading(store) as service:
        wait_until(lambda: WORKER_ID in service.scheduler.workers)
        adopted = service.scheduler.workers[WORKER_ID]
        wait_until(lambda: adopted.reservations)
        assert not adopted.is_registered
        assert service.scheduler.is_handover_complete(now_ms())
        wait_until(lambda: adopted.clock.lease_deadline_worker_ms)
        worker.register('ready')
        wait_until(lambda: adopted.is_registered)
        assert service.scheduler.workers[WORKER_ID] is adopted
    assert len(worker.started) == 1


def test_a_replaced_worker_is_not_waited_for(
    store: GridStore, worker: GridWorker
) -> None:
    """It came back under another id before the next leader asked for it."""
    addresses = {'w0': f'{HOST}:{worker.port}'}
    left = Roster(frozenset(), {'w0': TIMING.lease_ms}, addresses)
    store.put(ROSTER_KEY, json.loads(encode_roster(left)))
    with _leading(store) as service:
        wait_until(
            lambda: service.scheduler.is_handover_complete(now_ms()), seconds=3
        )
        wait_until(lambda: not _has_stored(store, 'w0'))
        assert WORKER_ID in service.scheduler.workers


def _has_stored(store: GridStore, worker_id: str) -> bool:
    """Return whether the stored roster names a worker."""
    return worker_id in store.text(ROSTER_KEY)


def test_a_worker_that_refuses_connections_is_waited_for(
    store: GridStore, worker: GridWorker
) -> None:
    """A cut may refuse connections too."""
    worker.shutdown()
    worker.server_close()
    store.remove(SERVERS_PREFIX + WORKER_ID)
    addresses = {WORKER_ID: f'{HOST}:{worker.port}'}
    left = Roster(frozenset(), {WORKER_ID: TIMING.lease_ms}, addresses)
    store.put(ROSTER_KEY, json.loads(encode_roster(left)))
    with _leading(store) as service:
        counters = service.counters
        wait_until(lambda: counters.count('absent_unanswered') > 1)
        assert not service.scheduler.is_handover_complete(now_ms())
