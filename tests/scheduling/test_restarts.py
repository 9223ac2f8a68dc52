"""A stopped long-running task soon runs again, even on a full cluster."""

from collections.abc import Iterator
from dataclasses import replace
from itertools import count, cycle

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
SHORT_TASK_MS = 1000
FIRST_BOUND_MS = 8000
RESTART_BOUND_MS = 3000
"""Deployments require that a long-running task runs again within this time if
there is free capacity."""

MIN_FREE_SLOTS = 2
FREE_SLOTS = 3
WORKERS = ('w1', 'w2', 'w3', 'w4')
ENDLESS_JOB_ID = '1' * 16
CORES = Resources(8000, 1000)
HALF = Resources(32_000, 1000)


def _endless_step(tasks: int, **changes: object) -> StepSpec:
    defaults = {'is_endless': True, 'image': 'serves', 'tail_target_ms': 50}
    return step(tasks, **{'estimated_ms': 0, **defaults, **changes})


def _drain(harness: SchedulerHarness, worker_id: str) -> list[RunKey]:
    """Drain a worker and list the ends of the runs that the scheduler stops."""
    leaving = registration(worker_id, is_draining=True, drain_remaining_ms=5000)
    stops = harness.scheduler.update_worker(leaving, harness.at_ms)
    keys = [order.key for order in stops if isinstance(order, StopOrder)]
    for key in keys:
        harness.end(worker_id, key, EndCause.STOPPED)
    return keys


class _Stream:
    """Submits more short tasks than fit; each ends after a second."""

    def __init__(self, harness: SchedulerHarness, priority: int) -> None:
        """Start with no running tasks."""
        self._site = harness
        self._priority = priority
        self._ids = (f'{number:016x}' for number in count(0x100))
        self._running: list[tuple[int, StartOrder]] = []

    def end_finished(self) -> None:
        """List the ends of the tasks whose run time is over."""
        due = [each for each in self._running if each[0] <= self._site.at_ms]
        for entry in due:
            self._running.remove(entry)
            self._site.end(entry[1].worker_id, entry[1].key)

    def submit(self) -> None:
        """Submit another job of short tasks."""
        spec = job(
            step(4, resources=CORES),
            job_id=next(self._ids),
            priority=self._priority,
            submitted_ms=self._site.at_ms,
        )
        self._site.scheduler.add_job(spec)

    def track(self, orders: list[StartOrder]) -> None:
        """Track the short tasks among the started ones until their ends."""
        ends_ms = self._site.at_ms + SHORT_TASK_MS
        self._running.extend(
            (ends_ms, order)
            for order in orders
            if order.key.task_id.job_id != ENDLESS_JOB_ID
        )


def _count_free_slots(harness: SchedulerHarness, spec: StepSpec) -> int:
    """Return how many tasks of the step fit on the accepting workers."""
    return sum(
        worker.available_slots(spec)
        for worker in harness.scheduler.workers.values()
        if worker.accepts_runs(harness.at_ms)
    )


def _restart_delays_ms(
    harness: SchedulerHarness,
    stream: _Stream,
    spec: StepSpec,
    stopped: list[RunKey],
) -> Iterator[int]:
    """Yield per tick how long a stopped task waits despite free capacity."""
    free_since_ms = 0
    for _ in range(100):
        harness.at_ms += TICK_MS
        stream.end_finished()
        stream.submit()
        if _count_free_slots(harness, spec) >= MIN_FREE_SLOTS:
            free_since_ms = free_since_ms or harness.at_ms
        stream.track(harness.start_all())
        tasks = [harness.task(key.task_id) for key in stopped]
        if all(task.phase is TaskPhase.PLACED for task in tasks):
            return
        yield harness.at_ms - free_since_ms if free_since_ms else 0


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
    """Guards against starvation: after six workers had been removed, their
    long-running tasks waited for 23 s while each slot that became free went to
    other work."""
    harness = create_harness(*WORKERS)
    spec = _endless_step(16, **changes)
    latency_critical = job(
        spec, job_id=ENDLESS_JOB_ID, priority=endless_priority
    )
    harness.scheduler.add_job(latency_critical)
    stream = _Stream(harness, stream_priority)
    harness.start_all()
    for _ in range(20):
        harness.at_ms += TICK_MS
        stream.end_finished()
        stream.submit()
        stream.track(harness.start_all())
    tasks = latency_critical.steps[(0, 0)].tasks
    stopped = _drain(harness, max(task.worker_id for task in tasks))
    assert stopped
    assert (
        max(_restart_delays_ms(harness, stream, spec, stopped), default=0)
        < RESTART_BOUND_MS
    )


@pytest.mark.parametrize(
    ('waited_ms', 'is_placed'), [(500, False), (RESTART_BOUND_MS, True)]
)
def test_a_filling_endless_task_takes_the_least_bad_place_in_time(
    waited_ms: int, *, is_placed: bool
) -> None:
    """Another task of the job runs, the cluster is busy, and every placement
    causes interference."""
    harness = create_harness('w1')
    latency_critical = _endless_step(
        5, resources=Resources(12_000, 1000), image='fragile'
    )
    best_effort = _endless_step(
        2, fills_spare=True, image='fill', tail_target_ms=0
    )
    harness.scheduler.add_job(job(best_effort, job_id=ENDLESS_JOB_ID))
    ended = harness.start_all()[0]
    harness.scheduler.add_job(job(latency_critical, job_id='2' * 16))
    harness.start_all()
    for _ in range(60):
        harness.scheduler.interference.observe('fragile', 10, {})
        harness.scheduler.interference.observe('fragile', 200, {'fill': 0.15})
    harness.end('w1', ended.key, EndCause.FAILED)
    assert not harness.plan()
    harness.at_ms += waited_ms
    assert bool(harness.plan()) is is_placed


def _harness_with_ended_run(tasks: int = 2) -> tuple[SchedulerHarness, RunKey]:
    """Return a worker with one of two slots free, and the run that ended.

    Batch work of the same priority waits for the slot too.
    """
    harness = create_harness('w1')
    spec = _endless_step(tasks, resources=HALF)
    harness.scheduler.add_job(job(spec, job_id=ENDLESS_JOB_ID))
    ended = harness.start_all()[0]
    harness.end('w1', ended.key, EndCause.FAILED)
    harness.scheduler.add_job(job(step(99, resources=HALF), job_id='2' * 16))
    return harness, ended.key


def _is_endless(order: StartOrder) -> bool:
    return order.key.task_id.job_id == ENDLESS_JOB_ID


def test_a_burst_goes_first_while_no_endless_task_is_overdue() -> None:
    harness, _ = _harness_with_ended_run()
    (placed,) = harness.plan()
    assert not _is_endless(placed)


def test_only_the_overdue_tasks_of_a_step_go_first() -> None:
    """Tasks that have never run stay queued behind batch work."""
    harness, ended = _harness_with_ended_run(tasks=5)
    harness.add_worker('w2')
    started = harness.start_all()
    assert len(started) == FREE_SLOTS
    harness.at_ms += RESTART_BOUND_MS
    for order in started:
        harness.end(order.worker_id, order.key)
    restarted = harness.plan()
    assert len(restarted) == FREE_SLOTS
    endless = [order for order in restarted if _is_endless(order)]
    assert [order.key.task_id for order in endless] == [ended.task_id]


@pytest.mark.parametrize(
    'verdict', [StartVerdict.UNHEALTHY, StartVerdict.NO_ROOM]
)
def test_a_refused_start_does_not_put_off_the_deadline(
    verdict: StartVerdict,
) -> None:
    harness, ended = _harness_with_ended_run()
    (first,) = harness.plan()
    harness.at_ms += RESTART_BOUND_MS
    harness.end('w1', first.key)
    (refused,) = harness.plan()
    assert refused.key.task_id == ended.task_id
    harness.answer(refused, verdict)
    harness.at_ms += 2 * TICK_MS + 300
    (again,) = harness.plan()
    assert again.key.task_id == ended.task_id


def _with_advice(plain: Job) -> Job:
    """Return the job in a queue whose workers the advice service selects."""
    advice = AdvicePolicy(10, 1, 60_000)
    policy = replace(plain.spec.policy, advice=advice)
    return create_job(plain.spec.with_policy(policy), is_inherited=False)


def test_advice_is_asked_for_an_overdue_endless_task_first() -> None:
    """Queries are answered one at a time, and batch work never ends."""
    harness = create_harness('w1')
    harness.scheduler.add_job(
        _with_advice(job(_endless_step(2), job_id=ENDLESS_JOB_ID))
    )
    query = harness.scheduler.next_advice_query(harness.at_ms)
    assert query is not None
    permits = (Permit('w1', 'ticket'),)
    harness.scheduler.store_advice(query, permits, harness.at_ms)
    rows = tuple(
        RunningRow(each.key, '', 100, 10) for each in harness.start_all()
    )
    harness.report_listing('w1', rows)
    harness.scheduler.end_incarnation('w1', harness.at_ms)
    harness.add_worker('w1', incarnation_ms=2)
    harness.scheduler.add_job(_with_advice(job(step(8), job_id='2' * 16)))
    queried = []
    for _ in range(2):
        harness.plan()
        query = harness.scheduler.next_advice_query(harness.at_ms)
        queried.append(query.step_id.job_id if query else '')
        harness.at_ms += RESTART_BOUND_MS
    assert queried == ['2' * 16, ENDLESS_JOB_ID]


def _run_and_fail(harness: SchedulerHarness) -> list[StartOrder]:
    """Fail one of the running tasks; return the starts that follow."""
    worker = harness.scheduler.workers['w1']
    rows = tuple(RunningRow(key, '', 100, 10) for key in worker.reservations)
    harness.report_listing('w1', rows)
    harness.end('w1', rows[0].key, EndCause.FAILED)
    return harness.start_all()


@pytest.mark.parametrize(('gap_ms', 'starts'), [(20_000, 1), (100, 0)])
def test_a_worker_of_endless_tasks_that_fail_now_and_then_is_not_suspect(
    gap_ms: int, starts: int
) -> None:
    """No run of a long-running task ends as done, which would clear the
    suspicion of the worker."""
    harness = create_harness('w1')
    harness.scheduler.add_job(job(_endless_step(8), job_id=ENDLESS_JOB_ID))
    harness.start_all()
    started = []
    for _ in range(3):
        harness.at_ms += gap_ms
        started = _run_and_fail(harness)
    assert len(started) == starts


def _create_busy_harness(priority: int) -> tuple[SchedulerHarness, _Stream]:
    """Return a cluster full of short tasks, with more of them waiting."""
    harness = create_harness(*WORKERS)
    stream = _Stream(harness, priority)
    for _ in range(20):
        _tick(harness, stream)
    return harness, stream


def _tick(harness: SchedulerHarness, stream: _Stream) -> list[StartOrder]:
    harness.at_ms += TICK_MS
    stream.end_finished()
    for _ in range(3):
        stream.submit()
    orders = harness.start_all()
    stream.track([each for each in orders if not _is_new(each)])
    return [each for each in orders if _is_new(each)]


def _is_new(order: StartOrder) -> bool:
    return order.key.task_id.job_id.startswith('e')


@pytest.mark.parametrize('stream_priority', [0, 2])
@pytest.mark.parametrize('tasks', [1, 4])
def test_a_new_endless_job_begins_in_time_on_a_full_site(
    stream_priority: int, tasks: int
) -> None:
    """The job used to wait while other work of its priority kept arriving."""
    harness, stream = _create_busy_harness(stream_priority)
    latency_critical = job(_endless_step(tasks), job_id='e' * 16, priority=2)
    harness.scheduler.add_job(latency_critical)
    ticks = range(FIRST_BOUND_MS // TICK_MS)
    assert any([_tick(harness, stream) for _ in ticks])


def test_new_endless_jobs_that_come_at_once_leave_places_to_others() -> None:
    harness, stream = _create_busy_harness(0)
    for number in range(40):
        burst = job(_endless_step(1), job_id=f'e{number:015x}', priority=0)
        harness.scheduler.add_job(burst)
    for _ in range(FIRST_BOUND_MS // TICK_MS):
        _tick(harness, stream)
    started = sum(len(_tick(harness, stream)) for _ in range(20))
    assert 1 <= started <= 20 * TICK_MS // FIRST_START_INTERVAL_MS + 1


LOST_BOUND_MS = 9000
"""Deployments count a long-running task as lost that has free capacity and
does not run nine seconds after its last run."""


class _NarrowWork:
    """Keeps short tasks of eight cores waiting, which end one by one."""

    def __init__(self, harness: SchedulerHarness) -> None:
        """Start with no running tasks."""
        self._site = harness
        self._durations_ms = cycle((700, 1100, 900, 1500, 1300))
        self._ends: list[tuple[int, StartOrder]] = []
        self._ids = (f'{number:016x}' for number in count(0x100))

    def tick(self) -> list[StartOrder]:
        """End what is due, submit more and plan; return all starts."""
        self._site.at_ms += TICK_MS
        due = [each for each in self._ends if each[0] <= self._site.at_ms]
        for entry in due:
            self._ends.remove(entry)
            self._site.end(entry[1].worker_id, entry[1].key)
            self._plan()
        spec = job(
            step(8), job_id=next(self._ids), submitted_ms=self._site.at_ms
        )
        self._site.scheduler.add_job(spec)
        return self._plan()

    def _plan(self) -> list[StartOrder]:
        orders = self._site.start_all()
        for order in orders:
            if order.key.task_id.job_id != ENDLESS_JOB_ID:
                due_ms = self._site.at_ms + next(self._durations_ms)
                self._ends.append((due_ms, order))
        return orders


@pytest.mark.parametrize('cores', [16, 24, 40])
@pytest.mark.parametrize('max_per_worker', [0, 1])
def test_a_wide_restart_gets_room_while_narrow_work_fills_each_gap(
    cores: int, max_per_worker: int
) -> None:
    """Room that came free in pieces used to go to other work at once."""
    harness = create_harness(*WORKERS)
    spec = _endless_step(
        4,
        resources=Resources(cores * 1000, 1000),
        max_per_worker=max_per_worker,
    )
    harness.scheduler.add_job(job(spec, job_id=ENDLESS_JOB_ID))
    started = harness.start_all()
    work = _NarrowWork(harness)
    for _ in range(20):
        work.tick()
    harness.end(started[0].worker_id, started[0].key, EndCause.FAILED)
    task = harness.task(started[0].key.task_id)
    for _ in range(LOST_BOUND_MS // TICK_MS):
        work.tick()
        if task.phase is TaskPhase.PLACED:
            return
    pytest.fail('the task does not run again')


@pytest.mark.parametrize('waited_ms', [0, 10_000])
def test_new_endless_tasks_do_not_take_the_place_of_one_that_has_run(
    waited_ms: int,
) -> None:
    """They do not end, so the task would wait for as long as they run."""
    harness = create_harness('w1')
    harness.scheduler.add_job(
        job(_endless_step(2, resources=HALF), job_id=ENDLESS_JOB_ID)
    )
    ended = harness.start_all()[0]
    earlier = job(
        _endless_step(8, resources=CORES),
        job_id='1' * 15 + '0',
        submitted_ms=harness.at_ms - 1,
    )
    harness.scheduler.add_job(earlier)
    assert not harness.start_all()
    harness.at_ms += waited_ms
    harness.end('w1', ended.key, EndCause.FAILED)
    (restarted,) = harness.start_all()
    assert restarted.key.task_id == ended.key.task_id
