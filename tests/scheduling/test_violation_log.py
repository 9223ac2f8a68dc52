"""The log tells when the leader learned of a task over its target."""

from collections.abc import Iterator
from types import SimpleNamespace

import eliot
import pytest

from gentianpulley import log_sampler
from gentianpulley.cluster.scheduler import create_scheduler
from gentianpulley.cluster.scheduler_state import LeaderTerm
from gentianpulley.cluster.worker_protocol import RunKey, RunningRow
from gentianpulley.log_sampler import JobLogSampler
from gentianpulley.logs import EventLog
from gentianpulley.resources import Resources
from tests.scheduling.harness import (
    NO_WORKERS,
    START_MS,
    TIMING,
    SchedulerHarness,
    job,
    step,
)

SERVING = step(
    image='serves', is_endless=True, tail_target_ms=50, estimated_ms=0
)
FILL = step(
    image='fill',
    fills_spare=True,
    estimated_ms=60_000,
    resources=Resources(9000, 1000),
)
REPORT_MS = 500

Lines = list[dict[str, object]]


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> Lines:
    """Return the lines on tasks over their targets, as they are written."""
    written: Lines = []

    def _record(_logger: eliot.Logger, fields: dict[str, object]) -> None:
        if fields['message_type'] == 'gentianpulley:tail_over_target':
            written.append(fields)

    monkeypatch.setattr(eliot.Logger, 'write', _record)
    return written


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> SchedulerHarness:
    """Return a harness whose log is sampled by the harness's clock."""
    clock = SimpleNamespace(harness=None)

    def _now_s() -> float:
        at_ms = clock.harness.at_ms if clock.harness else START_MS
        return float(at_ms) / 1000

    monkeypatch.setattr(log_sampler, 'monotonic', _now_s)
    log = EventLog(sampler=JobLogSampler(lambda counts, share: None))
    term = LeaderTerm(7, START_MS, NO_WORKERS, TIMING)
    clock.harness = SchedulerHarness(create_scheduler(term, log))
    clock.harness.add_worker('w1')
    return clock.harness


def _start(harness: SchedulerHarness, *, with_fill: bool) -> list[RunKey]:
    """Start a latency-critical task, and a best-effort one beside it."""
    specs = (SERVING, FILL) if with_fill else (SERVING,)
    keys = []
    for number, spec in enumerate(specs):
        harness.scheduler.add_job(job(spec, job_id=f'{number + 1:016x}'))
        (order,) = harness.start_all()
        keys.append(order.key)
    return keys


def _report(
    harness: SchedulerHarness, keys: list[RunKey], tails: list[int]
) -> Iterator[int]:
    """List the runs twice a second; yields the time of each report."""
    for tail_ms in tails:
        harness.at_ms += REPORT_MS
        measured = (tail_ms, 9000)
        rows = tuple(
            RunningRow(key, '', 50, amount)
            for key, amount in zip(keys, measured, strict=False)
        )
        harness.report_listing('w1', rows)
        yield harness.at_ms


def test_the_first_report_over_the_target_is_logged_with_what_is_done(
    harness: SchedulerHarness, lines: Lines
) -> None:
    keys = _start(harness, with_fill=True)
    times = list(_report(harness, keys, [20, 20, 80]))
    assert len(times) == 3
    (line,) = lines
    expected = {
        'job_id': keys[0].task_id.job_id,
        'worker': 'w1',
        'level_ms': 80,
        'target_ms': 50,
        'unknown_ms': REPORT_MS,
        'neighbours': 1,
        'cause': keys[1].task_id.job_id,
        'repeated': 0,
    }
    assert expected.items() <= line.items()
    assert line['reaction'] in {'none', 'throttled', 'suspended'}


def test_the_suspension_is_logged_with_the_time_that_it_took(
    harness: SchedulerHarness, lines: Lines
) -> None:
    keys = _start(harness, with_fill=True)
    list(_report(harness, keys, [20, 20, *(80 for _ in range(6))]))
    suspended = [line for line in lines if line['reaction'] == 'suspended']
    assert len(suspended) == 1
    assert suspended[0]['speed_percent'] == 0
    assert suspended[0]['over_ms'] in range(1000, 3000)


@pytest.mark.parametrize(('tail_ms', 'with_fill'), [(40, True), (80, False)])
def test_nothing_is_logged_where_nothing_has_to_be_decided(
    harness: SchedulerHarness, lines: Lines, tail_ms: int, *, with_fill: bool
) -> None:
    keys = _start(harness, with_fill=with_fill)
    list(_report(harness, keys, [tail_ms for _ in range(6)]))
    assert not lines


def test_a_task_that_stays_over_its_target_has_few_lines(
    harness: SchedulerHarness, lines: Lines
) -> None:
    """At most one line in five seconds for each of three reactions."""
    keys = _start(harness, with_fill=True)
    list(_report(harness, keys, [80 for _ in range(120)]))
    assert 12 <= len(lines) <= 3 * 12
    assert sum(int(str(line['repeated'])) for line in lines) > 60
