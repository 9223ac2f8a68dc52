"""The report shows why tasks wait, since when, and reservations by state."""

from collections.abc import Callable, Mapping
from dataclasses import replace

import pytest

from gentianpulley.cluster.worker_protocol import (
    EndCause,
    RunKey,
    StartVerdict,
    StopOrder,
)
from gentianpulley.cluster.scheduler_service import (
    SchedulerService,
    OrderSink,
    Leadership,
)
from gentianpulley.cluster.order_queue import OrderQueue, QueuedOrder
from gentianpulley.cluster.plan_metrics import (
    REPORT_INTERVAL_S,
    PlanMetrics,
    PlanTrigger,
)
from gentianpulley.cluster.plan_report import ListingAges
from gentianpulley.cluster.restart_report import WaitingRestart
from gentianpulley.cluster.scheduler import create_scheduler
from gentianpulley.cluster.scheduler_state import LeaderTerm, Order
from gentianpulley.cluster.wait_reasons import WaitReason
from gentianpulley.cluster.worker import Worker
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.jobs.job import Job, create_job
from gentianpulley.jobs.spec import AdvicePolicy, StepSpec, TaskId
from gentianpulley.logs import EventLog
from gentianpulley.resources import Resources
from tests.scheduling.harness import (
    JOB_ID,
    START_MS,
    TIMING,
    SchedulerHarness,
    create_harness,
    job,
    registration,
    step,
)

Counts = Mapping[str, int]
WAITING_CASES: dict[str, tuple[StepSpec, Counts]] = {
    'nothing waits': (step(8), {}),
    'no room': (step(11), {WaitReason.NO_ROOM: 3}),
    'no worker has the label': (
        step(2, required_label='other'),
        {WaitReason.NO_WORKER: 2},
    ),
    'one for each worker': (
        step(3, max_per_worker=1),
        {WaitReason.SPREAD: 2},
    ),
    'neither room nor spread': (
        step(2, max_per_worker=1, resources=Resources(65_000, 1, 0)),
        {WaitReason.NO_ROOM: 2},
    ),
    'a gang of nine': (step(9, is_gang=True), {WaitReason.NO_ROOM: 9}),
}


@pytest.mark.parametrize(
    ('spec', 'expected'), WAITING_CASES.values(), ids=WAITING_CASES
)
def test_waiting_tasks_are_counted_by_reason(
    spec: StepSpec, expected: Mapping[str, int]
) -> None:
    """One worker has capacity for eight tasks."""
    harness = create_harness('w')
    harness.scheduler.add_job(job(spec))
    harness.plan()
    assert harness.scheduler.create_report(harness.at_ms).waiting == expected


def test_a_filling_task_that_would_harm_is_told_from_one_without_room() -> None:
    harness = create_harness('w')
    harness.scheduler.workers['w'].best_effort_paused_until_ms = (
        harness.at_ms + 5000
    )
    harness.scheduler.add_job(job(step(2, fills_spare=True)))
    harness.plan()
    report = harness.scheduler.create_report(harness.at_ms)
    assert report.waiting == {WaitReason.INTERFERENCE: 2}
    assert report.workers == {'resting': 1}


def test_a_step_that_was_not_looked_at_says_so() -> None:
    harness = create_harness('w')
    for number in range(3):
        harness.scheduler.add_job(job(step(9), job_id=f'{number:016x}'))
    harness.plan()
    assert harness.scheduler.create_report(harness.at_ms).waiting == {
        WaitReason.NO_ROOM: 1,
        WaitReason.SHAPE_BLOCKED: 18,
    }


def test_inherited_work_waits_for_the_former_leaders_workers() -> None:
    harness = create_harness('w', roster=frozenset(('unseen',)))
    harness.scheduler.add_job(job(step(2), inherited=True))
    assert not harness.plan()
    report = harness.scheduler.create_report(harness.at_ms)
    assert report.waiting == {WaitReason.INHERITED: 2}


def test_work_without_a_ticket_waits_for_one() -> None:
    harness = create_harness('w')
    spec = job(step(2)).spec
    advice = AdvicePolicy(decide_ms=20, each_ms=1, valid_ms=2000)
    policy = replace(spec.policy, advice=advice)
    advised = create_job(spec.with_policy(policy), is_inherited=False)
    harness.scheduler.add_job(advised)
    harness.plan()
    report = harness.scheduler.create_report(harness.at_ms)
    assert report.waiting == {WaitReason.TICKET: 2}


def test_the_oldest_waiting_steps_are_named_with_their_ages() -> None:
    harness = create_harness('w')
    first = job(step(9), job_id='a' * 16)
    harness.scheduler.add_job(first)
    harness.plan()
    harness.at_ms += 700
    endless = step(1, is_endless=True, required_label='other')
    harness.scheduler.add_job(job(endless, job_id='b' * 16))
    harness.plan()
    harness.at_ms += 300
    harness.plan()
    report = harness.scheduler.create_report(harness.at_ms)
    assert report.oldest is not None
    assert report.oldest_endless is not None
    oldest_steps = (report.oldest, report.oldest_endless)
    assert [
        (each.job_id[0], each.task, each.age_ms) for each in oldest_steps
    ] == [
        ('a', '0.0.8', 1000),
        ('b', '0.0.0', 300),
    ]
    assert report.oldest_endless.reason == 'no_worker'


def test_a_waiting_restart_is_told_from_tasks_that_never_ran() -> None:
    """Enough is free, but only on a worker that accepts no runs."""
    harness = create_harness('w')
    endless = step(2, is_endless=True, resources=Resources(48_000, 1, 0))
    harness.scheduler.add_job(job(endless))
    (started,) = harness.start_all()
    assert harness.scheduler.create_report(harness.at_ms).restart is None
    harness.add_worker('quarantined')
    _quarantine(harness.scheduler.workers['quarantined'])
    harness.end('w', started.key, EndCause.FAILED)
    batch = step(2, resources=Resources(16_000, 1, 0))
    harness.scheduler.add_job(job(batch, job_id='b' * 16))
    harness.plan()
    report = harness.scheduler.create_report(harness.at_ms)
    assert report.restart == WaitingRestart(
        count=1,
        job_id=JOB_ID,
        task='0.0.0',
        reason=WaitReason.NO_ROOM,
        age_ms=0,
        needs_milli=48_000,
        free_milli=32_000,
        slots=0,
        unused_slots=1,
    )


def test_an_age_begins_anew_after_a_plan_that_placed_everything() -> None:
    harness = create_harness('w')
    harness.scheduler.add_job(job(step(9)))
    orders = harness.start_all()
    harness.at_ms += 500
    harness.end('w', orders[0].key)
    harness.plan()
    assert harness.scheduler.create_report(harness.at_ms).oldest is None


def test_reserved_room_is_told_by_certainty() -> None:
    harness = create_harness('w')
    added = job(step(4))
    harness.scheduler.add_job(added)
    orders = harness.plan()
    harness.answer(orders[0], StartVerdict.ACCEPTED)
    harness.answer(orders[1], StartVerdict.LOST)
    worker = harness.scheduler.workers['w']
    worker.reservations[orders[2].key].is_stopping = True
    report = harness.scheduler.create_report(harness.at_ms)
    assert report.reserved_milli == {
        'settled': 8000,
        'unanswered': 16_000,
        'stopping': 8000,
    }


def _make_unresponsive(worker: Worker) -> None:
    worker.unresponsive_since_ms = START_MS


def _lose_start(worker: Worker) -> None:
    worker.unanswered_starts.add(RunKey(TaskId('a' * 16, 0, 0, 0), 1))


def _quarantine(worker: Worker) -> None:
    worker.quarantined_until_ms = START_MS + 1


def _back_off(worker: Worker) -> None:
    worker.backoff_until_ms = START_MS + 1


def _unfence(worker: Worker) -> None:
    worker.is_fenced = False


def _drain(worker: Worker) -> None:
    worker.is_leaving = True


def _leave_unchanged(worker: Worker) -> None:
    assert worker.is_fenced


CONDITIONS: dict[str, Callable[[Worker], None]] = {
    'accepting': _leave_unchanged,
    'silent': _make_unresponsive,
    'unanswered': _lose_start,
    'quarantined': _quarantine,
    'backing_off': _back_off,
    'unfenced': _unfence,
    'draining': _drain,
}


@pytest.mark.parametrize('condition', CONDITIONS)
def test_workers_are_told_by_condition(condition: str) -> None:
    harness = create_harness('w', 'other')
    CONDITIONS[condition](harness.scheduler.workers['w'])
    workers = harness.scheduler.create_report(harness.at_ms).workers
    others = {} if condition == 'accepting' else {'accepting': 1}
    assert workers == {condition: 2 - len(others), **others}


def test_ages_of_lists() -> None:
    harness = create_harness(*(f'w{number}' for number in range(100)))
    for age, worker in enumerate(harness.scheduler.workers.values()):
        worker.last_contact_ms = harness.at_ms - age
    report = harness.scheduler.create_report(harness.at_ms)
    assert report.listing_ages == ListingAges(50, 95, 99)


def test_no_log_named_the_workers_that_inherited_work_waits_for() -> None:
    """Their number was reported, but neither ids nor why they were awaited."""
    ids = frozenset(('gone', 'left', 'cut', 'w'))
    term = LeaderTerm(7, START_MS, ids, TIMING, {'left': START_MS + 400})
    scheduler = create_scheduler(term, EventLog())
    harness = SchedulerHarness(scheduler)
    harness.add_worker('w')
    scheduler.update_worker(registration('cut'), START_MS)
    for_ms = TIMING.handover_ms
    assert list(map(str, scheduler.create_report(START_MS).awaited)) == [
        f'gone missing in use {for_ms} ms',
        f'cut unfenced in use {for_ms} ms',
        'left missing recorded 400 ms',
    ]
    assert not scheduler.create_report(START_MS + for_ms + 1).awaited


@pytest.mark.parametrize('is_inherited', [True, False])
def test_awaited_workers_are_logged_while_work_waits_for_them(
    *, is_inherited: bool
) -> None:
    harness = create_harness(roster=frozenset(('gone',)))
    harness.scheduler.add_job(job(step(), inherited=is_inherited))
    harness.plan()
    log = _RecordingLog()
    report = harness.scheduler.create_report(harness.at_ms)
    PlanMetrics(create_counters(), log).publish(report, [])
    assert ('awaited' in log.names[0]) == is_inherited


def test_a_site_without_workers_has_a_report_too() -> None:
    report = create_harness().scheduler.create_report(START_MS)
    assert report.listing_ages == ListingAges(0, 0, 0)
    assert report.oldest is None


class _IdleSession(OrderSink):
    """A session that sends nothing."""

    def __init__(self) -> None:
        self.orders = OrderQueue()

    def send(self, order: Order) -> None:
        self.orders.put(QueuedOrder(order, now_ms()))

    def poll_soon(self) -> None:
        """Do nothing."""

    def backlog(self) -> tuple[int, int]:
        return self.orders.backlog()

    def close(self) -> None:
        """Do nothing."""


class _RecordingLog(EventLog):
    """Records the metric values of each second."""

    def __init__(self) -> None:
        super().__init__()
        self.metrics: list[Mapping[str, int]] = []
        self.names: list[Mapping[str, str]] = []

    def plan_report(
        self, metric_values: Mapping[str, int], **names: str
    ) -> None:
        self.metrics.append(metric_values)
        self.names.append(names)


def _create_current_harness(added: Job) -> SchedulerHarness:
    harness = create_harness()
    harness.at_ms = now_ms()
    harness.add_worker('w')
    harness.scheduler.add_job(added)
    return harness


def test_the_office_tells_plans_orders_and_queues_once_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = _create_current_harness(job(step(9)))
    log = _RecordingLog()
    counters = create_counters()
    until_ms = now_ms() + 60_000
    service = SchedulerService(
        harness.scheduler, Leadership(until_ms, until_ms), counters, log
    )
    service.attach('w', _IdleSession())
    service.plan_requested.set()
    service.plan()
    assert not log.metrics
    monkeypatch.setattr(
        'gentianpulley.cluster.plan_metrics.time.monotonic', _later()
    )
    service.plan()
    (metrics,) = log.metrics
    assert metrics['plans'] == 2
    assert metrics['ordered_starts'] == 8
    assert metrics['queued'] == 8
    assert metrics['waiting_no_room'] == 1
    assert metrics['reserved_milli_unanswered'] == 64_000
    page = counters.render()
    assert 'gentianpulley_leader_waiting_no_room 1\n' in page
    assert 'gentianpulley_ordered_starts_total 8\n' in page
    assert 'gentianpulley_plan_lag_us_count 2\n' in page


def _later() -> Callable[[], float]:
    start_s = now_ms() / 1000 + REPORT_INTERVAL_S + 1_000_000_000
    return lambda: start_s


def test_an_order_that_is_put_again_while_it_is_sent_keeps_its_age(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = [START_MS]
    monkeypatch.setattr(
        'gentianpulley.cluster.order_queue.now_ms', lambda: clock[0]
    )
    harness = _create_current_harness(job(step()))
    order = QueuedOrder(StopOrder('w', harness.plan()[0].key), START_MS)
    orders = OrderQueue()
    orders.put(order)
    clock[0] += 400
    assert orders.pop() == order
    orders.put(order)
    assert orders.backlog() == (1, 400)
    assert orders.pop() == order
    assert orders.backlog() == (0, 0)


def test_the_lag_counts_from_the_first_of_several_events(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = [5.0]
    monkeypatch.setattr(
        'gentianpulley.cluster.plan_metrics.time.monotonic', lambda: clock[0]
    )
    signal = PlanTrigger()
    signal.set()
    clock[0] = 7.0
    signal.set()
    clock[0] = 8.0
    assert int(signal.pop_lag_s()) == 3
    assert int(signal.pop_lag_s()) == 0
