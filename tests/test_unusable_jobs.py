"""A stored job that cannot be used keeps no instance from leading."""

import json
from collections.abc import Iterator
from dataclasses import replace
from typing import Any, Final

import msgspec
import pytest

from gentianpulley.cluster.job_storage import job_key, record_key
from gentianpulley.counters import create_counters
from gentianpulley.http_conn import HttpAddress
from gentianpulley.jobs.spec import encode_job
from gentianpulley.platform.kv_store import connect_kv_store
from standins.grid_site import wait_until
from standins.grid_store import HOST, GridStore
from tests.leader_bench import create_leader
from tests.scheduling.harness import job, step

GOOD_ID: Final = 'a' * 16
BAD_ID: Final = 'b' * 16
HUGE: Final = 10**400
RECORD: Final = {'state': 'running', 'queue': 'queue'}


def _spec(job_id: str, **changes: Any) -> dict[str, Any]:
    """Return a stored job of two steps, with some fields changed."""
    spec = job(step(2), step(1, after=(0,)), job_id=job_id).spec
    body = encode_job(replace(spec, payload='{}'))
    fields: dict[str, Any] = msgspec.json.decode(body)
    return {**fields, **changes}


def _step(**changes: Any) -> dict[str, Any]:
    fields: dict[str, Any] = _spec(BAD_ID)['steps'][0]
    return {**fields, **changes}


def _record(**changes: Any) -> dict[str, Any]:
    return {**RECORD, **changes}


def _ends(**changes: Any) -> dict[str, Any]:
    return {'occurrence': 0, 'step': 0, 'done_mask': '1', **changes}


def _trace(**changes: Any) -> dict[str, Any]:
    fields = {'occurrence': 0, 'step': 0, 'index': 0, 'failed_runs': [1]}
    return {**fields, 'checkpoint': '', **changes}


SPECS: Final = (
    _spec(BAD_ID, steps=[]),
    _spec(BAD_ID, steps=[_step(after=[7])]),
    _spec(BAD_ID, steps=[_step(after=[-1])]),
    _spec(BAD_ID, steps=[_step(task_count=-1)]),
    _spec(BAD_ID, steps=[_step(estimated_ms=HUGE)]),
    _spec(BAD_ID, submitted_ms=HUGE),
    _spec(BAD_ID, policy={**_spec(BAD_ID)['policy'], 'stretch': 1e308}),
)
RECORDS: Final = (
    _record(ends=[_ends(done_mask='no mask')]),
    _record(ends=[_ends(done_mask='f' * 1000)]),
    _record(ends=[_ends(step=99)]),
    _record(ends=[_ends(step=-9)]),
    _record(ends=[_ends(occurrence=HUGE)]),
    _record(traces=[_trace(index=99)]),
    _record(traces=[_trace(index=-99)]),
    _record(traces=[_trace(failed_runs=[HUGE])]),
)
DOCUMENTS: Final = (
    *((job_key(BAD_ID), spec) for spec in SPECS),
    *((record_key(BAD_ID), record) for record in RECORDS),
)


@pytest.fixture
def store() -> Iterator[GridStore]:
    """Return a store with two jobs."""
    running = GridStore()
    running.run_in_background()
    for job_id in (GOOD_ID, BAD_ID):
        running.put(job_key(job_id), _spec(job_id))
    yield running
    running.shutdown()
    running.server_close()


@pytest.mark.proof('unusable-jobs')
@pytest.mark.parametrize('is_news', [False, True])
def test_a_job_that_cannot_be_used_keeps_nobody_from_leading(
    store: GridStore, *, is_news: bool
) -> None:
    """Each instance failed while it loaded the jobs, or took up no new one."""
    client = connect_kv_store(HttpAddress(HOST, store.port), create_counters())
    for number, (key, document) in enumerate(DOCUMENTS):
        good_id = f'{number:016x}'
        leader = create_leader(store, client)
        if is_news:
            leader.open()
        store.put(key, document)
        store.put(job_key(good_id), _spec(good_id))
        if not is_news:
            leader.open()
        service = leader.scheduler_service
        assert service is not None
        jobs = service.scheduler.jobs
        wait_until(lambda: good_id in jobs, 3, json.dumps(document)[:200])
        assert GOOD_ID in jobs
        service.plan()
        leader.close()
        store.put(job_key(BAD_ID), _spec(BAD_ID))
        store.remove(record_key(BAD_ID))
