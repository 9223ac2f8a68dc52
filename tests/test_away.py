"""What changes while a process is away and the store forgets its history."""

import json
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any, Final

import pytest

from gentianpulley.cluster.job_storage import cancellation_key, job_key
from gentianpulley.cluster.queues import QueueTable
from gentianpulley.cluster.read_freshness import Reread
from gentianpulley.cluster.scheduler import Scheduler
from gentianpulley.cluster.scheduler_service import Leadership
from gentianpulley.counters import create_counters
from gentianpulley.deadline import deadline_in
from gentianpulley.http_conn import HttpAddress
from gentianpulley.jobs.spec import encode_job
from gentianpulley.logs import EventLog
from gentianpulley.platform.kv_store import connect_kv_store
from gentianpulley.platform.operator_watch import (
    CFG_KEY,
    EVACUATE_PREFIX,
    WAVE_PREFIX,
    OperatorWatch,
)
from standins.grid_site import cfg_document, wait_until
from standins.grid_store import HOST, GridStore
from standins.grid_worker import GridWorker
from tests.leader_bench import create_leader
from tests.scheduling.harness import JOB_ID, job, step
from tests.test_operator_input import Listener

TERM_MS: Final = 60_000
NEW_ID: Final = 'c' * 16
WAVE: Final = {'wave': 2, 'machines': ['m'], 'within_s': 5, 'at_most': 1}


def _spec(job_id: str) -> Any:
    spec = replace(job(step(), job_id=job_id).spec, payload='{}')
    return json.loads(encode_job(spec))


@pytest.fixture
def store() -> Iterator[GridStore]:
    """Return a store with a job that no worker can run yet."""
    running = GridStore()
    running.run_in_background()
    running.put(job_key(JOB_ID), _spec(JOB_ID))
    yield running
    running.shutdown()
    running.server_close()


def _change_and_forget(store: GridStore, change: Callable[[], object]) -> None:
    """Change keys in such a way that no watch can tell of it."""
    with store._changed:
        change()
        store.forget_history()


def _worker_is_left_out(scheduler: Scheduler) -> bool:
    worker = scheduler.workers.get('w1')
    return worker is None or not worker.is_registered


def _worker_drains(scheduler: Scheduler) -> bool:
    worker = scheduler.workers.get('w1')
    return worker is not None and worker.registration.is_draining


def _job_is_cancelled(scheduler: Scheduler) -> bool:
    live = scheduler.jobs.get(JOB_ID)
    return live is None or live.state.is_final


READ_ANEW: Final = pytest.mark.proof('read-anew')


@pytest.mark.parametrize(
    ('change', 'is_known'),
    [
        pytest.param(
            lambda store, _: store.remove('servers/w1'),
            _worker_is_left_out,
            id='worker left',
            marks=READ_ANEW,
        ),
        pytest.param(
            lambda _, worker: worker.register('draining'),
            _worker_drains,
            id='worker drains',
            marks=READ_ANEW,
        ),
        pytest.param(
            lambda store, _: store.put(cancellation_key(JOB_ID), b''),
            _job_is_cancelled,
            id='job cancelled',
        ),
        pytest.param(
            lambda store, _: store.put(job_key(NEW_ID), _spec(NEW_ID)),
            lambda scheduler: NEW_ID in scheduler.jobs,
            id='new job',
            marks=READ_ANEW,
        ),
    ],
)
def test_a_leader_that_was_away_learns_what_changed(
    store: GridStore,
    change: Callable[[GridStore, GridWorker], object],
    is_known: Callable[[Scheduler], bool],
) -> None:
    worker = GridWorker(store, 'w1')
    worker.run_in_background()
    client = connect_kv_store(HttpAddress(HOST, store.port), create_counters())
    term = Leadership(deadline_in(TERM_MS), deadline_in(TERM_MS))
    leader = create_leader(store, client, term)
    leader.open()
    service = leader.scheduler_service
    assert service is not None
    scheduler = service.scheduler
    wait_until(lambda: 'w1' in scheduler.workers and JOB_ID in scheduler.jobs)
    freshness = service.read_freshness
    wait_until(lambda: not any(map(freshness.is_outdated, Reread)))
    assert not is_known(scheduler)
    store.put(f'gp/waiting/queue/{NEW_ID}', b'')
    _change_and_forget(store, lambda: change(store, worker))
    wait_until(lambda: is_known(scheduler), 4)
    leader.close()
    worker.shutdown()
    worker.server_close()


@pytest.mark.proof('cfg-version')
def test_an_instance_that_was_away_learns_what_operators_changed(
    store: GridStore,
) -> None:
    """A domain was closed, a wave withdrawn, an older cfg written."""
    store.put(CFG_KEY, cfg_document(5))
    store.put(f'{WAVE_PREFIX}2', WAVE)
    store.put(f'{EVACUATE_PREFIX}b', {})
    client = connect_kv_store(HttpAddress(HOST, store.port), create_counters())
    listener = Listener()
    table = QueueTable(EventLog())
    watch = OperatorWatch(client, table, listener, EventLog())
    watch.start()
    wait_until(lambda: listener.domains == {'b'} and 2 in listener.waves)

    def change() -> None:
        store.remove(f'{WAVE_PREFIX}2')
        store.remove(f'{EVACUATE_PREFIX}b')
        store.put(f'{EVACUATE_PREFIX}a', {})
        store.put(CFG_KEY, cfg_document(4, ()))

    _change_and_forget(store, change)
    wait_until(lambda: listener.domains == {'a'} and not listener.waves, 4)
    watch.stop()
    assert table.cfg is not None
    assert table.cfg.version == 5
