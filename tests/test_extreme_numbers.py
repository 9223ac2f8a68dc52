"""Well-formed messages with numbers of any size end no leader's work."""

import json
from typing import Any, Final

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianpulley.cluster.worker_protocol import RunningRow
from gentianpulley.jobs.job import create_job
from gentianpulley.jobs.record import (
    create_record,
    decode_record,
    encode_record,
    restore_job,
)
from gentianpulley.jobs.spec import JobSpec, decode_job, encode_job
from gentianpulley.json_decoding import decode_json
from gentianpulley.platform.ingress import job_spec
from gentianpulley.platform.operator_watch import queue_cfg
from gentianpulley.platform.wire import CFG_DECODER, JOB_DECODER
from tests.scheduling.harness import JOB_ID, SchedulerHarness, create_harness

HUGE: Final = 10**400
LATER_MS: Final = 20_000
WORKERS: Final = ('w1', 'w2')

INTS: Final = st.sampled_from(
    [0, 1, 2, -1, 1000, 2**31, 2**53, -(2**53), 2**63, -(2**63), 2**64, HUGE]
)
FLOATS: Final = st.sampled_from([0, 1, -1, 0.5, 2**53, 1e308, 1e-300, -1e308])
TEXTS: Final = st.text(max_size=3)
FLAGS: Final = st.booleans()

STEPS: Final = st.fixed_dictionaries(
    {'count': st.sampled_from([1, 2, 100])},
    optional={
        'cpu': INTS,
        'mem_mb': INTS,
        'gpus': INTS,
        'est_runtime_ms': INTS,
        'anti_affinity': INTS,
        'target_ms': FLOATS,
        'may_miss': INTS,
        'gang': FLAGS,
        'same_rack': FLAGS,
        'speculative': FLAGS,
        'checkpointing': FLAGS,
        'long_running': FLAGS,
        'fills': FLAGS,
        'image': TEXTS,
        'affinity': TEXTS,
    },
)
JOBS: Final = st.fixed_dictionaries(
    {'phases': st.lists(STEPS, min_size=1, max_size=3)},
    optional={'first_ms': INTS, 'interval_ms': INTS, 'times': INTS},
)
ADVICE: Final = st.fixed_dictionaries(
    {}, optional={'decide_ms': FLOATS, 'each_ms': FLOATS, 'valid_ms': INTS}
)
ROUTES: Final = st.fixed_dictionaries(
    {
        'name': TEXTS,
        'host': st.just('h'),
        'prefix': st.just('/'),
        'service': st.just('fitting'),
    },
    optional={
        'timeout_ms': INTS,
        'target_latency_ms': INTS,
        'priority': INTS,
        'max_attempts': INTS,
        'stretch': FLOATS,
        'advice': st.none() | ADVICE,
    },
)


def _accepted(job: dict[str, Any], route: dict[str, Any]) -> JobSpec | None:
    """Return the stored form of a job, None if it or its cfg is refused."""
    cfg = json.dumps({'version': 1, 'routes': [route]}).encode()
    try:
        (rule,) = queue_cfg(decode_json(CFG_DECODER, cfg)).rules
        wire = decode_json(JOB_DECODER, json.dumps(job).encode())
        spec = job_spec(JOB_ID, wire, rule)
    except (msgspec.DecodeError, ValueError):
        return None
    return decode_job(encode_job(spec))


def _lead(harness: SchedulerHarness) -> None:
    """Plan, list and report as a leader does, now and later."""
    scheduler = harness.scheduler
    for _ in range(2):
        started = harness.start_all()
        scheduler.next_advice_query(harness.at_ms)
        for worker_id in WORKERS:
            rows = tuple(
                RunningRow(order.key, '', 50, 50)
                for order in started
                if order.worker_id == worker_id
            )
            harness.report_listing(worker_id, rows)
        scheduler.plan_migrations(harness.at_ms)
        scheduler.stop_incomplete_gangs()
        scheduler.create_report(harness.at_ms)
        harness.at_ms += LATER_MS


@pytest.mark.proof('number-bounds')
@settings(max_examples=400)
@given(job=JOBS, route=ROUTES)
def test_an_accepted_job_is_planned_and_restored(
    job: dict[str, Any], route: dict[str, Any]
) -> None:
    """One such job ended each plan, and each load of a new leader."""
    spec = _accepted(job, route)
    if spec is None:
        return
    harness = create_harness(*WORKERS)
    live = create_job(spec, is_inherited=False)
    harness.scheduler.add_job(live)
    _lead(harness)
    record = decode_record(encode_record(create_record(live, harness.at_ms)))
    restore_job(create_job(spec, is_inherited=True), record)


@pytest.mark.parametrize(
    'field', ['est_runtime_ms', 'cpu', 'anti_affinity', 'target_ms', 'may_miss']
)
def test_a_job_with_a_number_out_of_range_is_refused(field: str) -> None:
    route = {'name': 'q', 'host': 'h', 'prefix': '/', 'service': 's'}
    assert _accepted({'phases': [{'count': 1}]}, route) is not None
    assert _accepted({'phases': [{'count': 1, field: HUGE}]}, route) is None
