"""Registrations and run lists with numbers of any size end no plan."""

import json
from typing import Any, Final

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianpulley.cluster.worker_protocol import Listing, PollOrder
from gentianpulley.errors import WorkerError
from gentianpulley.http_conn import HttpResponse, parse_address
from gentianpulley.logs import EventLog
from gentianpulley.platform.directory import StoreDirectory
from gentianpulley.platform.worker_channel import WorkerChannel
from gentianpulley.platform.worker_client import HttpWorkerClient
from gentianpulley.store import Entry
from tests.scheduling.harness import SchedulerHarness, create_harness, job, step
from tests.task_runner import run

HUGE: Final = 10**400
LATER_MS: Final = 5_000
POLL: Final = PollOrder(1, 0, 0, 0)
TASK: Final = f'{"a" * 16}.0.0.'

NUMBERS: Final = st.sampled_from(
    [0, 1, -1, 1000, 2**53, 2**63 - 1, -(2**63), 2**64, HUGE, -HUGE, 1e308]
)
REGISTRATIONS: Final = st.fixed_dictionaries(
    {
        'service': st.just('fitting'),
        'addr': st.just('10.0.0.1:80'),
        'zone': st.just('a'),
        'state': st.sampled_from(['ready', 'draining']),
    },
    optional={
        'capacity': st.fixed_dictionaries(
            {}, optional={'cpu': NUMBERS, 'mem_mb': NUMBERS, 'gpus': NUMBERS}
        ),
        'labels': st.just(['kind', 'r1']),
        'cold_left_ms': NUMBERS,
        'remaining_ms': NUMBERS,
        'born': NUMBERS,
    },
)
TASKS: Final = st.sampled_from([f'{TASK}0', f'{TASK}1', f'{TASK}{10**9}'])
CAUSES: Final = st.sampled_from(['done', 'failed', 'stopped', 'lapsed'])
RUNNING: Final = st.tuples(TASKS, NUMBERS, st.just(''), NUMBERS, NUMBERS)
ENDED: Final = st.tuples(NUMBERS, TASKS, NUMBERS, CAUSES, st.just(''))
LISTS: Final = st.fixed_dictionaries(
    {},
    optional={
        'clock_ms': NUMBERS,
        'born': NUMBERS,
        'running': st.lists(RUNNING, max_size=3),
        'ended': st.lists(ENDED, max_size=3),
    },
)


class _FixedChannel(WorkerChannel):
    """Answers each call with one body."""

    def __init__(self, body: bytes) -> None:
        super().__init__(parse_address('127.0.0.1:1'), (), 1)
        self._body = body

    async def call(
        self, path: str, wire: msgspec.Struct, wait_ms: int = 0
    ) -> HttpResponse:
        return HttpResponse(200, self._body)


def _listing(lists: dict[str, Any]) -> Listing | None:
    """Return a worker's lists, None if they count as no answer."""
    channel = _FixedChannel(json.dumps(lists).encode())
    try:
        return run(HttpWorkerClient(channel, channel, 0).poll(POLL))
    except WorkerError:
        return None


def _loaded_harness() -> SchedulerHarness:
    harness = create_harness('w2')
    serving = step(1, is_endless=True, image='s', tail_target_ms=100)
    filling = step(1, fills_spare=True, image='f')
    for job_id, spec in (('a', step(3)), ('b', serving), ('c', filling)):
        harness.scheduler.add_job(job(spec, job_id=job_id * 16))
    return harness


def _plan(harness: SchedulerHarness) -> None:
    scheduler = harness.scheduler
    scheduler.expire_leases(harness.at_ms)
    harness.start_all()
    scheduler.plan_migrations(harness.at_ms)
    scheduler.create_report(harness.at_ms)
    scheduler.build_roster(frozenset(), frozenset(), harness.at_ms)
    harness.at_ms += LATER_MS


@pytest.mark.proof('worker-bounds')
@settings(max_examples=400)
@given(entry=REGISTRATIONS, answers=st.lists(LISTS, min_size=1, max_size=3))
def test_no_numbers_of_a_worker_end_a_plan(
    entry: dict[str, Any], answers: list[dict[str, Any]]
) -> None:
    """One such entry or list ended each plan from then on."""
    directory = StoreDirectory(None, EventLog())  # type: ignore[arg-type]
    body = json.dumps(entry).encode()
    registration = directory._registration(Entry('servers/w1', body, 1))
    if registration is None:
        return
    harness = _loaded_harness()
    harness.scheduler.update_worker(registration, harness.at_ms)
    worker = harness.scheduler.workers['w1']
    for answer in answers:
        harness.scheduler.poll_order(worker, 0)
        listing = _listing(answer)
        if listing is not None:
            harness.scheduler.handle_listing(
                worker, listing, harness.at_ms, harness.at_ms
            )
        _plan(harness)
    harness.scheduler.mark_unresponsive(worker, harness.at_ms)
    _plan(harness)


@pytest.mark.parametrize(
    'lists',
    [
        {'clock_ms': HUGE},
        {'running': [[f'{TASK}0', 1, '', HUGE, 0]]},
        {'running': [[f'{TASK}0', 1, '', 0, -HUGE]]},
    ],
)
def test_a_list_with_a_number_out_of_range_is_no_answer(
    lists: dict[str, Any],
) -> None:
    assert _listing({'clock_ms': 1}) is not None
    assert _listing(lists) is None
