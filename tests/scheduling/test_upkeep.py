"""Maintenance waves: how many machines are down, and what is drained first."""

from collections.abc import Callable

import pytest

from gentianpulley.cluster.draining import drain_workers, is_drained
from gentianpulley.cluster.worker_protocol import (
    EndCause,
    RunningRow,
    StopOrder,
)
from gentianpulley.cluster.machines import (
    MachineInfo,
    MachineState,
    MaintenanceOutcome,
    WaveRequest,
)
from gentianpulley.cluster.maintenance import (
    Drain,
    MaintenanceWave,
    create_wave,
)
from gentianpulley.cluster.wave_records import WaveProgress
from gentianpulley.jobs.spec import StepSpec
from gentianpulley.resources import Resources
from tests.scheduling.harness import (
    TIMING,
    SchedulerHarness,
    create_harness,
    job,
    registration,
    step,
)

MAINTENANCE_MS = 2000
HALF_WORKER = Resources(40_000, 1000, 0)
SERVING = step(2, is_endless=True, estimated_ms=0)


def _wave(
    *machine_ids: str, at_most: int = 1, within_ms: int = 20_000
) -> MaintenanceWave:
    request = WaveRequest(1, machine_ids, within_ms, at_most)
    return create_wave(request, MAINTENANCE_MS)


def _machines_up(*machine_ids: str) -> list[MachineInfo]:
    return [
        MachineInfo(machine_id, MachineState.UP, f'w-{machine_id}')
        for machine_id in machine_ids
    ]


def _draining_machines(
    wave: MaintenanceWave, at_ms: int, *machine_ids: str
) -> set[str]:
    rows = wave.update_machines(_machines_up(*machine_ids), at_ms, at_ms)
    return {row.machine_id for row in rows}


@pytest.mark.parametrize('at_most', [1, 2])
def test_no_more_than_allowed_are_cleared_or_down(at_most: int) -> None:
    wave = _wave('a', 'b', 'c', at_most=at_most)
    assert len(_draining_machines(wave, 0, 'a', 'b', 'c')) == at_most
    order = wave.next_order(frozenset(('a',)), 7, 10)
    assert order is not None
    wave.record_outcome(order, MaintenanceOutcome.BEGUN, 20)
    # A response from before the maintenance lists it as up: it counts as down.
    assert len(_draining_machines(wave, 30, 'a', 'b', 'c')) == at_most - 1
    down = MachineInfo('a', MachineState.MAINTENANCE)
    rows = wave.update_machines([down, *_machines_up('b', 'c')], 900, 900)
    assert len(rows) == at_most - 1
    assert (
        len(_draining_machines(wave, 20 + MAINTENANCE_MS + 1, 'a', 'b', 'c'))
        == at_most
    )


@pytest.mark.parametrize(
    'verdict',
    [
        MaintenanceOutcome.LOST,
        MaintenanceOutcome.REFUSED,
        MaintenanceOutcome.BUSY,
    ],
)
def test_an_order_without_success_is_sent_again(
    verdict: MaintenanceOutcome,
) -> None:
    wave = _wave('a', 'b')
    _draining_machines(wave, 0, 'a', 'b')
    order = wave.next_order(frozenset(('a',)), 7, 10)
    assert order is not None
    wave.record_outcome(order, verdict, 20)
    # It stays out of service, and no other machine goes.
    assert _draining_machines(wave, 30, 'a', 'b') == {'a'}
    assert wave.next_order(frozenset(('b',)), 7, 40) is None
    assert wave.next_order(frozenset(('a', 'b')), 7, 40) == order
    assert not wave.is_completed


@pytest.mark.parametrize(
    'verdict', [MaintenanceOutcome.NOT_IN_WAVE, MaintenanceOutcome.NO_MACHINE]
)
def test_machines_that_need_no_upkeep_are_left_out(
    verdict: MaintenanceOutcome,
) -> None:
    wave = _wave('a')
    _draining_machines(wave, 0, 'a')
    order = wave.next_order(frozenset(('a',)), 7, 10)
    assert order is not None
    wave.record_outcome(order, verdict, 20)
    assert wave.is_completed
    assert wave.progress == WaveProgress()


def test_a_wave_is_completed_once_all_that_stay_have_begun() -> None:
    wave = _wave('a', 'gone')
    assert _draining_machines(wave, 0, 'a') == {'a'}
    assert not wave.is_completed
    order = wave.next_order(frozenset(('a',)), 7, 10)
    assert order is not None
    wave.record_outcome(order, MaintenanceOutcome.BEGUN, 20)
    assert wave.is_completed


def test_a_successor_goes_on_and_counts_what_may_be_down() -> None:
    wave = _wave('a', 'b')
    wave.restore(WaveProgress(started=('a',)), 0)
    down = MachineInfo('a', MachineState.MAINTENANCE)
    assert not wave.update_machines([down, *_machines_up('b')], 5000, 5000)
    assert _draining_machines(wave, 9000, 'a', 'b') == {'b'}


@pytest.mark.proof('wave-restored-lag')
def test_a_successor_trusts_no_list_that_may_be_older_than_an_upkeep() -> None:
    """A list that lags showed a machine as up that had just gone down."""
    wave = _wave('a', 'b')
    restored_ms = 1000
    wave.restore(WaveProgress(started=('a',)), restored_ms)
    over_ms = restored_ms + MAINTENANCE_MS
    assert not _draining_machines(wave, restored_ms + 1, 'a', 'b')
    assert not _draining_machines(wave, over_ms, 'a', 'b')
    assert _draining_machines(wave, over_ms + 1, 'a', 'b') == {'b'}


def test_the_time_to_clear_a_machine_leaves_time_for_the_rest() -> None:
    wave = _wave('a', 'b', within_ms=20_000)
    (row,) = wave.update_machines(_machines_up('a', 'b'), 0, 0)
    assert 0 < row.deadline_ms <= 20_000 / 2 - MAINTENANCE_MS
    late = _wave('a', within_ms=1000)
    (row,) = late.update_machines(_machines_up('a'), 0, 0)
    assert row.deadline_ms == 0


def _run_on(harness: SchedulerHarness, spec: StepSpec) -> list[RunningRow]:
    harness.scheduler.add_job(job(spec))
    return [RunningRow(order.key, '', 100, 10) for order in harness.start_all()]


@pytest.mark.parametrize(
    ('changes', 'left_ms', 'is_stopped'),
    [
        ({'checkpoints': True, 'estimated_ms': 9000}, 2000, True),
        ({'checkpoints': True, 'estimated_ms': 1000}, 2000, False),
        ({'estimated_ms': 9000}, 2000, False),
        ({'is_endless': True, 'estimated_ms': 0}, 2000, True),
    ],
)
def test_what_is_stopped_before_an_upkeep(
    changes: dict[str, object], left_ms: int, *, is_stopped: bool
) -> None:
    harness = create_harness('w1')
    rows = _run_on(harness, step(1, **changes))
    harness.report_listing('w1', tuple(rows))
    drain = Drain('m1', 'w1', harness.at_ms + left_ms)
    orders = drain_workers(harness.scheduler, [drain], harness.at_ms)
    assert bool(orders) is is_stopped
    assert not is_drained(harness.scheduler, drain, harness.at_ms)
    harness.scheduler.add_job(job(step(), job_id='b' * 16))
    assert not harness.plan()
    # Work without checkpoints may run until the deadline, but not longer.
    after_ms = drain.deadline_ms + 1
    assert is_drained(harness.scheduler, drain, after_ms)


@pytest.mark.parametrize(('max_away', 'stopped'), [(0, 2), (1, 1), (2, 2)])
def test_serving_tasks_go_only_as_far_as_their_job_allows(
    max_away: int, stopped: int
) -> None:
    harness = create_harness('w1')
    spec = step(2, is_endless=True, estimated_ms=0, max_away=max_away)
    rows = _run_on(harness, spec)
    harness.report_listing('w1', tuple(rows))
    drain = Drain('m1', 'w1', harness.at_ms + 100)
    orders = drain_workers(harness.scheduler, [drain], harness.at_ms)
    assert len(orders) == stopped
    is_blocked = max_away == 1
    late_ms = drain.deadline_ms + 1
    assert is_drained(harness.scheduler, drain, late_ms) is not is_blocked


def test_the_rest_goes_once_the_first_is_back_at_work() -> None:
    harness = create_harness('w1', 'w2')
    spec = step(2, is_endless=True, estimated_ms=0, max_away=1)
    rows = _run_on(harness, spec)
    for worker_id in ('w1', 'w2'):
        present = harness.scheduler.workers[worker_id].reservations
        listed = tuple(row for row in rows if row.key in present)
        harness.report_listing(worker_id, listed)
    on_first = list(harness.scheduler.workers['w1'].reservations)
    drain = Drain('m1', 'w1', harness.at_ms + 5000)
    stops = drain_workers(harness.scheduler, [drain], harness.at_ms)
    assert len(stops) == 1
    assert isinstance(stops[0], StopOrder)
    harness.end('w1', stops[0].key, EndCause.STOPPED)
    (moved,) = harness.start_all()
    assert moved.worker_id == 'w2'
    rest = [key for key in on_first if key != stops[0].key]
    again = drain_workers(harness.scheduler, [drain], harness.at_ms)
    assert not again
    present = harness.scheduler.workers['w2'].reservations
    harness.report_listing(
        'w2', tuple(RunningRow(key, '', 100, 9) for key in present)
    )
    again = drain_workers(harness.scheduler, [drain], harness.at_ms)
    assert [order.key for order in again] == rest


def _two_serving_workers() -> SchedulerHarness:
    """Return a harness with a serving task on each of two workers."""
    harness = create_harness('w1', 'w2')
    spec = step(
        2, is_endless=True, estimated_ms=0, max_away=1, resources=HALF_WORKER
    )
    harness.scheduler.add_job(job(spec))
    assert {each.worker_id for each in harness.start_all()} == {'w1', 'w2'}
    for worker_id in ('w1', 'w2'):
        _list_all(harness, worker_id)
    return harness


def _list_all(harness: SchedulerHarness, worker_id: str) -> None:
    present = harness.scheduler.workers[worker_id].reservations
    harness.report_listing(
        worker_id, tuple(RunningRow(key, '', 100, 9) for key in present)
    )


def _stops_of_second(harness: SchedulerHarness) -> int:
    """Return how many tasks stop for maintenance of the second worker."""
    drain = Drain('m2', 'w2', harness.at_ms - 1)
    stops = len(drain_workers(harness.scheduler, [drain], harness.at_ms))
    assert is_drained(harness.scheduler, drain, harness.at_ms) is bool(stops)
    return stops


def _stop_answering(harness: SchedulerHarness) -> None:
    first = harness.scheduler.workers['w1']
    harness.scheduler.mark_unresponsive(first, harness.at_ms)


def _leave_directory(harness: SchedulerHarness) -> None:
    harness.scheduler.mark_deregistered('w1', harness.at_ms)


@pytest.mark.proof('serving-worker-known')
@pytest.mark.parametrize('lose', [_stop_answering, _leave_directory])
def test_a_task_on_a_worker_that_may_be_dead_is_not_at_work(
    lose: Callable[[SchedulerHarness], None],
) -> None:
    """A wave stopped the second serving task while the first one was gone."""
    harness = _two_serving_workers()
    lose(harness)
    assert not _stops_of_second(harness)
    harness.at_ms += 1
    _list_all(harness, 'w1')
    assert _stops_of_second(harness) == 1


def test_a_dead_worker_does_not_hold_up_a_wave_for_good() -> None:
    harness = _two_serving_workers()
    _stop_answering(harness)
    _leave_directory(harness)
    harness.add_worker('w3')
    assert not _stops_of_second(harness)
    harness.at_ms += 2 * TIMING.max_run_ms
    for worker_id in ('w2', 'w3'):
        _list_all(harness, worker_id)
    harness.scheduler.expire_leases(harness.at_ms)
    (restarted,) = harness.start_all()
    assert restarted.worker_id == 'w3'
    assert not _stops_of_second(harness)
    _list_all(harness, 'w3')
    assert _stops_of_second(harness) == 1


@pytest.mark.proof('wave-unseen-runs')
def test_a_worker_that_has_not_listed_its_runs_yet_may_not_go() -> None:
    """A new leader took it for empty; an upkeep would end all that ran."""
    harness = create_harness(roster=frozenset(('w1', 'gone')))
    harness.scheduler.update_worker(registration('w1'), harness.at_ms)
    drains = {
        worker_id: Drain('m', worker_id, harness.at_ms - 1)
        for worker_id in ('w1', 'gone')
    }
    assert not is_drained(harness.scheduler, drains['w1'], harness.at_ms)
    harness.report_listing('w1')
    assert is_drained(harness.scheduler, drains['w1'], harness.at_ms)
    assert not is_drained(harness.scheduler, drains['gone'], harness.at_ms)
    over_ms = harness.scheduler.term.handover_until_ms + 1
    assert is_drained(harness.scheduler, drains['gone'], over_ms)


def test_a_worker_whose_wave_was_taken_back_is_used_again() -> None:
    harness = create_harness('w1')
    drain_workers(harness.scheduler, [Drain('m1', 'w1', 0)], harness.at_ms)
    harness.scheduler.add_job(job(step()))
    assert not harness.plan()
    drain_workers(harness.scheduler, [], harness.at_ms)
    assert harness.plan()
