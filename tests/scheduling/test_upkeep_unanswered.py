"""A machine whose maintenance order had no answer: what runs and ends there."""

import pytest

from gentianpulley.cluster import maintenance_loop
from gentianpulley.cluster.draining import is_drained
from gentianpulley.cluster.machines import (
    MachineInfo,
    MachineState,
    MaintenanceOutcome,
    WaveRequest,
)
from gentianpulley.cluster.maintenance import create_wave
from gentianpulley.cluster.wave_records import WaveProgress
from gentianpulley.cluster.worker_protocol import EndCause, RunningRow
from tests.scheduling.harness import (
    START_MS,
    SchedulerHarness,
    create_harness,
    job,
    step,
)
from tests.scheduling.upkeep_site import (
    FIRST_ORDER_MS,
    MAINTENANCE_MS,
    PASS_MS,
    Platform,
    UpkeepSite,
)

REQUEST = WaveRequest(1, ('m1',), START_MS + 2500, 1)
WORKER = 'm1-1'
OTHER = 'm2-1'
FOR_LONG_MS = 2000
TASKS = 3
SERVING = step(TASKS, is_endless=True, estimated_ms=0, max_away=1)


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> UpkeepSite:
    """Return a site with a wave of one machine of two."""
    platform = Platform(('m1', 'm2'))
    monkeypatch.setattr(maintenance_loop, 'now_ms', lambda: platform.at_ms)
    return UpkeepSite(platform, (REQUEST,))


@pytest.mark.proof('wave-out-of-service')
def test_a_machine_whose_upkeep_has_no_answer_gets_no_tasks(
    site: UpkeepSite,
) -> None:
    """They were placed there, and the repeated order ended them all."""
    site.platform.unanswered = 2
    harness = create_harness(WORKER)
    leader = site.elect(harness)
    site.run(FIRST_ORDER_MS + PASS_MS, leader)
    assert not site.platform.unanswered
    harness.scheduler.add_job(job(SERVING))
    assert not harness.plan()
    site.run(PASS_MS, leader)
    assert [begun.machine_id for begun in site.platform.begun] == ['m1']


@pytest.mark.parametrize('is_withdrawn', [True, False])
@pytest.mark.proof('wave-workers-returned')
def test_a_worker_of_the_last_wave_is_used_again(
    site: UpkeepSite, *, is_withdrawn: bool
) -> None:
    """It got no tasks until the next change of leader."""
    harness = create_harness(OTHER)
    site.requests = (WaveRequest(1, ('m2',), START_MS + 60_000, 1),)
    leader = site.elect(harness)
    site.run(PASS_MS, leader)
    assert harness.scheduler.workers[OTHER].is_leaving
    if is_withdrawn:
        leader.loop.wave_requests = ()
    else:
        site.platform.refusal = MaintenanceOutcome.NOT_IN_WAVE
    site.run(FOR_LONG_MS, leader)
    assert not harness.scheduler.workers[OTHER].is_leaving
    assert not site.platform.begun


def _list_all(harness: SchedulerHarness, worker_id: str) -> None:
    """List every run of a worker as at work."""
    keys = harness.scheduler.workers[worker_id].reservations
    harness.report_listing(
        worker_id, tuple(RunningRow(key, '', 100, 10) for key in keys)
    )


@pytest.mark.proof('wave-drained')
def test_a_successor_repeats_an_order_once_its_tasks_may_go(
    site: UpkeepSite,
) -> None:
    site.platform.unanswered = 1
    site.run(FIRST_ORDER_MS, site.elect(create_harness()))
    harness = create_harness(WORKER)
    harness.scheduler.add_job(job(SERVING))
    harness.start_all()
    harness.add_worker(OTHER)
    _list_all(harness, WORKER)
    leader = site.elect(harness)
    reservations = harness.scheduler.workers[WORKER].reservations
    for left in range(TASKS, 1, -1):
        site.run(FOR_LONG_MS, leader)
        assert not site.platform.begun
        (stopping,) = [
            key for key, each in reservations.items() if each.is_stopping
        ]
        assert len(reservations) == left
        harness.end(WORKER, stopping, EndCause.STOPPED)
        (moved,) = harness.start_all()
        assert moved.worker_id == OTHER
        _list_all(harness, OTHER)
    site.run(PASS_MS, leader)
    assert [begun.machine_id for begun in site.platform.begun] == ['m1']
    assert [each.is_stopping for each in reservations.values()] == [True]


@pytest.mark.parametrize(
    ('listed', 'outcome', 'is_completed'),
    [
        ((), MaintenanceOutcome.NO_MACHINE, True),
        (
            (MachineInfo('m1', MachineState.MAINTENANCE),),
            MaintenanceOutcome.BEGUN,
            True,
        ),
        (
            (MachineInfo('m1', MachineState.DOWN),),
            MaintenanceOutcome.BUSY,
            False,
        ),
    ],
)
def test_an_order_for_a_machine_without_a_worker_is_repeated(
    listed: tuple[MachineInfo, ...],
    outcome: MaintenanceOutcome,
    *,
    is_completed: bool,
) -> None:
    wave = create_wave(REQUEST, MAINTENANCE_MS)
    wave.restore(WaveProgress(ordered=('m1',)), START_MS)
    (drain,) = wave.update_machines(listed, START_MS, START_MS)
    assert is_drained(create_harness(WORKER).scheduler, drain, START_MS)
    order = wave.next_order(frozenset(('m1',)), 7, START_MS)
    assert order is not None
    wave.record_outcome(order, outcome, START_MS)
    assert wave.is_completed is is_completed


def test_a_successor_gives_inherited_work_time_to_end() -> None:
    wave = create_wave(REQUEST, MAINTENANCE_MS)
    wave.restore(WaveProgress(ordered=('m1',)), START_MS)
    machine = MachineInfo('m1', MachineState.UP, WORKER)
    (drain,) = wave.update_machines((machine,), START_MS, START_MS)
    assert START_MS < drain.deadline_ms < REQUEST.deadline_ms
    (again,) = wave.update_machines((machine,), START_MS + 1, START_MS + 1)
    assert again == drain
