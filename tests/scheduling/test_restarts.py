"""An endless task that was stopped runs again soon, on a full site too."""

from collections.abc import Iterator
from dataclasses import replace
from itertools import count

import pytest

from gentianpulley.cluster.advice import Permit
from gentianpulley.cluster.worker_protocol import (
    EndCause,
    RunKey,
    RunningRow,
    StartOrder,
    StartVerdict,
    StopOrder,
)
from gentianpulley.cluster.step_ordering import FIRST_START_INTERVAL_MS
from gentianpulley.jobs.job import Job, TaskPhase, create_job
from gentianpulley.jobs.spec import AdvicePolicy, StepSpec
from gentianpulley.resources import Resources
from tests.scheduling.harness import (
    SchedulerHarness,
    registration,
    create_harness,
    job,
    step,
)

TICK_MS = 100
SHORT_MS = 1000
FIRST_BOUND_MS = 8000
RESTART_BOUND_MS = 3000
"""Sites ask that an endless task runs again within it, if there is room."""

TWICE = 2
PLACES_LEFT = 3
WORKERS = ('w1', 'w2', 'w3', 'w4')
ENDLESS = '1' * 16
CORES = Resources(8000, 1000)
HALF = Resources(32_000, 1000)


def _endless(tasks: int, **changes: object) -> StepSpec:
    known = {'is_endless': True, 'image': 'serves', 'tail_target_ms': 50}
    return step(tasks, **{'estimated_ms': 0, **known, **changes})


def _drain(site: SchedulerHarness, worker_id: str) -> list[RunKey]:
    """Let a worker drain, and list the ends of what the scheduler stops."""
    leaving = registration(worker_id, is_draining=True, drain_remaining_ms=5000)
    stops = site.scheduler.update_worker(leaving, site.at_ms)
    keys = [order.key for order in stops if isinstance(order, StopOrder)]
    for key in keys:
        site.end(worker_id, key, EndCause.STOPPED)
    return keys


class _Stream:
    """More short tasks than the site holds, which end after a second."""

    def __init__(self, site: SchedulerHarness, priority: int) -> None:
        """Begin with nothing at work."""
        self._site = site
        self._priority = priority
        self._ids = (f'{number:016x}' for number in count(0x100))
        self._running: list[tuple[int, StartOrder]] = []

    def end_due(self) -> None:
        """List the ends of the tasks that have run for long enough."""
        due = [each for each in self._running if each[0] <= self._site.at_ms]
        for entry in due:
            self._running.remove(entry)
            self._site.end(entry[1].worker_id, entry[1].key)

    def submit(self) -> None:
        """Hand in another job of short tasks."""
        spec = job(
            step(4, resources=CORES),
            job_id=next(self._ids),
            priority=self._priority,
            submitted_ms=self._site.at_ms,
        )
        self._site.scheduler.add_job(spec)

    def take(self, orders: list[StartOrder]) -> None:
        """Let the short tasks among what was started run."""
        ends_ms = self._site.at_ms + SHORT_MS
        self._running.extend(
            (ends_ms, order)
            for order in orders
            if order.key.task_id.job_id != ENDLESS
        )


def _room_for(site: SchedulerHarness, spec: StepSpec) -> int:
    """Return how many tasks of the step the accepting workers have room for."""
    return sum(
        worker.available_slots(spec)
        for worker in site.scheduler.workers.values()
        if worker.accepts_runs(site.at_ms)
    )


def _waits(
    site: SchedulerHarness,
    stream: _Stream,
    spec: StepSpec,
    stopped: list[RunKey],
) -> Iterator[int]:
    """Yield for each tick how long a stopped task waits in spite of room."""
    room_since_ms = 0
    for _ in range(100):
        site.at_ms += TICK_MS
        stream.end_due()
        stream.submit()
        if _room_for(site, spec) >= TWICE:
            room_since_ms = room_since_ms or site.at_ms
        stream.take(site.start_all())
        tasks = [site.task(key.task_id) for key in stopped]
        if all(task.phase is TaskPhase.PLACED for task in tasks):
            return
        yield site.at_ms - room_since_ms if room_since_ms else 0


@pytest.mark.parametrize(
    ('changes', 'stream_priority', 'endless_priority'),
    [
        ({}, 0, 0),
        ({}, 0, 2),
        ({'max_per_worker': 6}, 0, 0),
        ({'max_per_worker': 6}, 0, 2),
    ],
)
def test_endless_tasks_of_a_drained_worker_run_again_on_a_full_site(
    changes: dict[str, object], stream_priority: int, endless_priority: int
) -> None:
    """Six workers were taken away, and their endless tasks waited for 23 s
    while each place that came free went to other work."""
    site = create_harness(*WORKERS)
    spec = _endless(16, **changes)
    serving = job(spec, job_id=ENDLESS, priority=endless_priority)
    site.scheduler.add_job(serving)
    stream = _Stream(site, stream_priority)
    site.start_all()
    for _ in range(20):
        site.at_ms += TICK_MS
        stream.end_due()
        stream.submit()
        stream.take(site.start_all())
    tasks = serving.steps[(0, 0)].tasks
    stopped = _drain(site, max(task.worker_id for task in tasks))
    assert stopped
    assert (
        max(_waits(site, stream, spec, stopped), default=0) < RESTART_BOUND_MS
    )


@pytest.mark.parametrize(
    ('waited_ms', 'is_placed'), [(500, False), (RESTART_BOUND_MS, True)]
)
def test_a_filling_endless_task_takes_the_least_bad_place_in_time(
    waited_ms: int, *, is_placed: bool
) -> None:
    """Another task of the job runs, the site is busy, and each place harms."""
    site = create_harness('w1')
    serving = _endless(5, resources=Resources(12_000, 1000), image='fragile')
    filling = _endless(2, fills_spare=True, image='fill', tail_target_ms=0)
    site.scheduler.add_job(job(filling, job_id=ENDLESS))
    ended = site.start_all()[0]
    site.scheduler.add_job(job(serving, job_id='2' * 16))
    site.start_all()
    for _ in range(60):
        site.scheduler.interference.observe('fragile', 10, {})
        site.scheduler.interference.observe('fragile', 200, {'fill': 0.15})
    site.end('w1', ended.key, EndCause.FAILED)
    assert not site.plan()
    site.at_ms += waited_ms
    assert bool(site.plan()) is is_placed


def _site_with_one_back(tasks: int = 2) -> tuple[SchedulerHarness, RunKey]:
    """Return a worker with one of two places free, and the run that ended.

    Batch work of the same priority waits for the place too.
    """
    site = create_harness('w1')
    spec = _endless(tasks, resources=HALF)
    site.scheduler.add_job(job(spec, job_id=ENDLESS))
    ended = site.start_all()[0]
    site.end('w1', ended.key, EndCause.FAILED)
    site.scheduler.add_job(job(step(99, resources=HALF), job_id='2' * 16))
    return site, ended.key


def _is_endless(order: StartOrder) -> bool:
    return order.key.task_id.job_id == ENDLESS


def test_a_burst_goes_first_while_no_endless_task_is_overdue() -> None:
    site, _ = _site_with_one_back()
    (placed,) = site.plan()
    assert not _is_endless(placed)


def test_only_the_overdue_tasks_of_a_step_go_first() -> None:
    """Tasks that never ran keep their place behind batch work."""
    site, ended = _site_with_one_back(tasks=5)
    site.add_worker('w2')
    started = site.start_all()
    assert len(started) == PLACES_LEFT
    site.at_ms += RESTART_BOUND_MS
    for order in started:
        site.end(order.worker_id, order.key)
    restarted = site.plan()
    assert len(restarted) == PLACES_LEFT
    endless = [order for order in restarted if _is_endless(order)]
    assert [order.key.task_id for order in endless] == [ended.task_id]


@pytest.mark.parametrize(
    'verdict', [StartVerdict.UNHEALTHY, StartVerdict.NO_ROOM]
)
def test_a_refused_start_does_not_put_off_the_deadline(
    verdict: StartVerdict,
) -> None:
    site, ended = _site_with_one_back()
    (first,) = site.plan()
    site.at_ms += RESTART_BOUND_MS
    site.end('w1', first.key)
    (refused,) = site.plan()
    assert refused.key.task_id == ended.task_id
    site.answer(refused, verdict)
    site.at_ms += 2 * TICK_MS + 300
    (again,) = site.plan()
    assert again.key.task_id == ended.task_id


def _advised(plain: Job) -> Job:
    """Return the job in a queue whose workers the advice service names."""
    advice = AdvicePolicy(10, 1, 60_000)
    policy = replace(plain.spec.policy, advice=advice)
    return create_job(plain.spec.with_policy(policy), is_inherited=False)


def test_advice_is_asked_for_an_overdue_endless_task_first() -> None:
    """One question is answered at a time, and batch work never ends."""
    site = create_harness('w1')
    site.scheduler.add_job(_advised(job(_endless(2), job_id=ENDLESS)))
    question = site.scheduler.next_advice_query(site.at_ms)
    assert question is not None
    permits = (Permit('w1', 'ticket'),)
    site.scheduler.store_advice(question, permits, site.at_ms)
    rows = tuple(RunningRow(each.key, '', 100, 10) for each in site.start_all())
    site.report_listing('w1', rows)
    site.scheduler.end_incarnation('w1', site.at_ms)
    site.add_worker('w1', incarnation_ms=2)
    site.scheduler.add_job(_advised(job(step(8), job_id='2' * 16)))
    asked = []
    for _ in range(2):
        site.plan()
        question = site.scheduler.next_advice_query(site.at_ms)
        asked.append(question.step_id.job_id if question else '')
        site.at_ms += RESTART_BOUND_MS
    assert asked == ['2' * 16, ENDLESS]


def _run_and_fail(site: SchedulerHarness) -> list[StartOrder]:
    """Let one of the tasks at work fail; returns what is started then."""
    worker = site.scheduler.workers['w1']
    rows = tuple(RunningRow(key, '', 100, 10) for key in worker.reservations)
    site.report_listing('w1', rows)
    site.end('w1', rows[0].key, EndCause.FAILED)
    return site.start_all()


@pytest.mark.parametrize(('gap_ms', 'starts'), [(20_000, 1), (100, 0)])
def test_a_worker_of_endless_tasks_that_fail_now_and_then_is_not_suspect(
    gap_ms: int, starts: int
) -> None:
    """No run of an endless task ends as done, which would clear the worker."""
    site = create_harness('w1')
    site.scheduler.add_job(job(_endless(8), job_id=ENDLESS))
    site.start_all()
    started = []
    for _ in range(3):
        site.at_ms += gap_ms
        started = _run_and_fail(site)
    assert len(started) == starts


def _busy_site(priority: int) -> tuple[SchedulerHarness, _Stream]:
    """Return a site that short tasks fill, with more of them waiting."""
    site = create_harness(*WORKERS)
    stream = _Stream(site, priority)
    for _ in range(20):
        _tick(site, stream)
    return site, stream


def _tick(site: SchedulerHarness, stream: _Stream) -> list[StartOrder]:
    site.at_ms += TICK_MS
    stream.end_due()
    for _ in range(3):
        stream.submit()
    orders = site.start_all()
    stream.take([each for each in orders if not _is_new(each)])
    return [each for each in orders if _is_new(each)]


def _is_new(order: StartOrder) -> bool:
    return order.key.task_id.job_id.startswith('e')


@pytest.mark.parametrize('stream_priority', [0, 2])
@pytest.mark.parametrize('tasks', [1, 4])
def test_a_new_endless_job_begins_in_time_on_a_full_site(
    stream_priority: int, tasks: int
) -> None:
    """It waited for as long as other work of its priority kept coming."""
    site, stream = _busy_site(stream_priority)
    serving = job(_endless(tasks), job_id='e' * 16, priority=2)
    site.scheduler.add_job(serving)
    ticks = range(FIRST_BOUND_MS // TICK_MS)
    assert any([_tick(site, stream) for _ in ticks])


def test_new_endless_jobs_that_come_at_once_leave_places_to_others() -> None:
    site, stream = _busy_site(0)
    for number in range(40):
        burst = job(_endless(1), job_id=f'e{number:015x}', priority=0)
        site.scheduler.add_job(burst)
    for _ in range(FIRST_BOUND_MS // TICK_MS):
        _tick(site, stream)
    begun = sum(len(_tick(site, stream)) for _ in range(20))
    assert 1 <= begun <= 20 * TICK_MS // FIRST_START_INTERVAL_MS + 1
