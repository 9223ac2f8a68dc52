"""Under overload whole jobs are left out of the log, never rare events."""

import json
import os
import threading
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from types import SimpleNamespace

import eliot
import pytest

from gentianpulley import log_sampler
from gentianpulley.cluster.worker_protocol import RunKey
from gentianpulley.jobs.spec import TaskId
from gentianpulley.log_sampler import JobLogSampler
from gentianpulley.log_sink import LogSink
from gentianpulley.logs import EventLog

Clock = SimpleNamespace
Told = list[tuple[Counter[str], int]]
RareEvent = Callable[[EventLog, RunKey], None]
LINES_OF_JOB = 4


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Let the gate's time pass only when the test says so."""
    clock = SimpleNamespace(at_s=100.0)
    monkeypatch.setattr(log_sampler, 'monotonic', lambda: clock.at_s)
    return clock


@pytest.fixture
def told() -> Told:
    return []


@pytest.fixture
def gate(clock: Clock, told: Told) -> JobLogSampler:
    def say(counts: Mapping[str, int], share: int) -> None:
        told.append((Counter(counts), share))

    return JobLogSampler(say)


class _Collected:
    """The lines that a sink wrote."""

    def __init__(self) -> None:
        pipe = os.pipe()
        self._reading = pipe[0]
        self.sink = LogSink(pipe[1])
        self._text = b''
        threading.Thread(target=self._collect, daemon=True).start()

    def lines(self) -> list[dict[str, object]]:
        self.sink.flush()
        threading.Event().wait(0.2)
        return [json.loads(line) for line in self._text.splitlines()]

    def _collect(self) -> None:
        while text := os.read(self._reading, 1 << 20):
            self._text += text


@pytest.fixture
def collected() -> Iterator[_Collected]:
    written = _Collected()
    eliot.add_destinations(written.sink)
    yield written
    eliot.remove_destination(written.sink)


def _job_id(number: int) -> str:
    return f'{number * 2654435761:016x}'


def _key(job_number: int) -> RunKey:
    return RunKey(TaskId(_job_id(job_number), 0, 0, 0), 1)


def _ten_seconds(
    gate: JobLogSampler, clock: Clock, jobs_per_s: int
) -> list[list[bool]]:
    """Let jobs come evenly; each has a line every second for four.

    Returns which lines were admitted, by job, for all that came to their end.
    """
    jobs = [_job_id(number) for number in range(jobs_per_s * 10)]
    admitted: list[list[bool]] = [[] for _ in jobs]
    for tick in range(1000):
        clock.at_s += 0.01
        for age in range(LINES_OF_JOB):
            began = tick - 100 * age
            first = max(0, began) * jobs_per_s // 100
            last = max(0, began + 1) * jobs_per_s // 100
            for number in range(first, last):
                verdict = gate.may_write('run_ordered', jobs[number])
                admitted[number].append(verdict)
    written = sum(map(sum, admitted))
    most = log_sampler.JOB_LINES_BURST + 10 * log_sampler.JOB_LINES_PER_S
    assert written <= most
    return [lines for lines in admitted if len(lines) == LINES_OF_JOB]


@pytest.mark.parametrize('jobs_per_s', [20, 200, 350, 700])
def test_every_line_of_a_chosen_job_is_there(
    gate: JobLogSampler, clock: Clock, jobs_per_s: int
) -> None:
    jobs = _ten_seconds(gate, clock, jobs_per_s)
    whole = [lines for lines in jobs if any(lines)]
    assert len(whole) > 100
    assert all(map(all, whole))


def test_a_job_given_up_is_left_out_from_there_on_and_counted(
    gate: JobLogSampler,
    clock: Clock,
    told: Told,
) -> None:
    """Twelve thousand lines a second out of nothing are more than fits."""
    jobs = _ten_seconds(gate, clock, 3000)
    gate.report_omitted()
    assert all(lines == sorted(lines, reverse=True) for lines in jobs)
    broken_off = [lines for lines in jobs if any(lines) and not all(lines)]
    counts, _ = told[0]
    assert 0 < len(broken_off) <= counts[log_sampler.GIVEN_UP_JOBS]


def test_instances_choose_alike(clock: Clock) -> None:
    """A busier instance chooses a part of what a quiet one chooses."""
    busy, quiet = JobLogSampler(_say_nothing), JobLogSampler(_say_nothing)
    for gate, per_tick in ((busy, 300), (quiet, 60)):
        for tick in range(50):
            clock.at_s += 0.1
            for number in range(per_tick):
                gate.may_write('job_stored', f'before-{tick}-{number}')
    assert 0 < busy.sample_percent < quiet.sample_percent
    assert quiet.sample_percent < 100
    jobs = [_job_id(number) for number in range(2000)]
    by_busy = {job for job in jobs if busy.may_write('job_stored', job)}
    by_quiet = {job for job in jobs if quiet.may_write('job_stored', job)}
    assert by_busy
    assert by_busy < by_quiet


@pytest.mark.parametrize('count', [10, 1000, 5000])
def test_a_wide_job_is_whole_up_to_the_bound_and_then_given_up(
    gate: JobLogSampler,
    clock: Clock,
    told: Told,
    count: int,
) -> None:
    job = _job_id(1)
    written = [gate.may_write('run_ordered', job) for _ in range(count)]
    kept = min(count, log_sampler.JOB_LINES_BURST)
    assert all(written[:kept])
    assert not any(written[kept:])
    clock.at_s += log_sampler.REPORT_INTERVAL_S
    gate.report_omitted()
    left_out = count - kept
    if left_out:
        counts = {'run_ordered': left_out, log_sampler.GIVEN_UP_JOBS: 1}
        assert told == [(Counter(counts), 100)]
        assert not gate.may_write('run_ordered', job)
    else:
        assert not told


def test_a_job_that_went_wrong_is_followed_from_there_on(
    gate: JobLogSampler, clock: Clock
) -> None:
    for tick in range(30):
        clock.at_s += 0.1
        for number in range(1000):
            gate.may_write('run_ordered', f'before-{tick}-{number}')
    left_out = next(
        job
        for job in map(_job_id, range(100))
        if not gate.may_write('run_ordered', job)
    )
    gate.force_sample(left_out)
    clock.at_s += 1
    assert gate.may_write('run_ordered', left_out)


def test_the_share_comes_back_when_fewer_lines_come(
    gate: JobLogSampler, clock: Clock
) -> None:
    for number in range(20_000):
        clock.at_s += 0.0005
        gate.may_write('run_ordered', _job_id(number))
    assert gate.sample_percent < 50
    for number in range(100):
        clock.at_s += 0.1
        gate.may_write('run_ordered', _job_id(number))
    assert gate.sample_percent > 90


def test_repeated_trouble_is_told_once_and_then_counted(
    gate: JobLogSampler, clock: Clock
) -> None:
    heard = []
    for _ in range(40):
        clock.at_s += 0.25
        heard.append(gate.count_suppressed('worker_trouble', 'w'))
    assert gate.count_suppressed('worker_trouble', 'other') == 0
    assert [each for each in heard if each is not None] == [0, 19]


RARE: dict[str, RareEvent] = {
    'leader_state': lambda log, _: log.leader_state('leads', 7),
    'dependency': lambda log, _: log.dependency('store', 'lost'),
    'store_trouble': lambda log, _: log.store_trouble('silent'),
    'start_refused': lambda log, key: log.start_refused(key, 'w', 'NO_ROOM'),
    'job_refused': lambda log, key: log.job_refused('j', 'unreadable'),
    'run_returned': lambda log, key: log.run_returned(key, 'w', 'life over'),
    'run_moved': lambda log, key: log.run_moved(key, 'w'),
    'run_too_slow': lambda log, key: log.run_too_slow(key, 'w', 3),
    'run_adopted': lambda log, key: log.run_adopted(key, 'w'),
    'run_unknown': lambda log, key: log.run_unknown(key, 'w'),
    'failed run': lambda log, key: log.run_ended(key, 'w', 'failed'),
    'lapsed run': lambda log, key: log.run_ended(key, 'w', 'lapsed'),
    'failed job': lambda log, key: log.job_state('j', 'failed', 5),
    'endless start': lambda log, key: log.run_ordered(
        key, 'w', 50, 9, is_endless=True
    ),
    'endless end': lambda log, key: log.run_ended(
        key, 'w', 'stopped', is_endless=True
    ),
}


@pytest.mark.parametrize('event', RARE.values(), ids=RARE)
def test_rare_lines_are_never_left_out(
    collected: _Collected, event: RareEvent
) -> None:
    """One rare event among a hundred usual ones, far beyond the bound."""
    log = EventLog(collected.sink.flush, JobLogSampler(_say_nothing))
    for number in range(10_000):
        log.run_ordered(_key(number), 'usual', 50, 9)
    before = len(collected.lines())
    for number in range(100):
        event(log, _key(number))
        for other in range(100):
            log.run_ended(_key(100 * number + other), 'usual', 'done')
    lines = collected.lines()
    rare = [line for line in lines[before:] if line.get('worker') != 'usual']
    assert len(rare) == 100
    assert collected.sink.dropped_lines == 0


def test_the_mark_of_admitted_lines_is_not_written(
    collected: _Collected,
) -> None:
    log = EventLog(collected.sink.flush, JobLogSampler(_say_nothing))
    log.run_ended(_key(1), 'w', 'done')
    (line,) = collected.lines()
    assert line.keys() - {'timestamp'} == {
        'job_id',
        'task',
        'run',
        'worker',
        'cause',
        'message_type',
    }


def _say_nothing(counts: Mapping[str, int], share: int) -> None:
    """Take what a gate says."""
