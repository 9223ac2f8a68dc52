"""The limit on interference holds however seldom a worker is listed."""

from dataclasses import dataclass

import pytest

from gentianpulley.cluster.worker_protocol import PaceOrder, RunKey, RunningRow
from gentianpulley.jobs.spec import TaskId
from gentianpulley.resources import Resources
from tests.scheduling.harness import (
    TIMING,
    SchedulerHarness,
    create_harness,
    job,
    registration,
    step,
)

TARGET_MS = 50
LOW_MS = 25
POLL_PAUSE_MS = 45
REPORT_LAG_MS = 500
ORDER_MS = 250
"""Until a pace order has left and is in force at the worker."""

LATEST_SUSPENSION_MS = TIMING.interference_bound_ms - REPORT_LAG_MS - ORDER_MS
"""After the last low report: the tail may have risen a lag before it."""

SERVING = step(
    image='serves', is_endless=True, tail_target_ms=TARGET_MS, estimated_ms=0
)
FILL = step(
    image='fill',
    fills_spare=True,
    estimated_ms=60_000,
    resources=Resources(9000, 1000),
)


@dataclass
class _Pair:
    """A best-effort run beside a latency-critical one on a worker."""

    harness: SchedulerHarness
    fill: RunKey
    serving: RunKey

    def report(self, tail_ms: int) -> list[int]:
        """List both runs; returns the speeds ordered."""
        speeds = []
        rows = (
            RunningRow(self.fill, '', 50, 9000),
            RunningRow(self.serving, '', 100, tail_ms),
        )
        for order in self.harness.report_listing('w1', rows):
            if isinstance(order, PaceOrder):
                self.harness.scheduler.handle_pace_reply(order)
                speeds.append(order.speed_percent)
        return speeds

    def wait_for_poll(self, wait_ms: int) -> None:
        """Let a poll pass in which no run ends."""
        worker = self.harness.scheduler.workers['w1']
        order = self.harness.scheduler.poll_order(worker, wait_ms)
        self.harness.at_ms += order.wait_ms + POLL_PAUSE_MS


def _create_pair(expected_tail_ms: int) -> _Pair:
    """Return a pair whose tail is expected to rise to the given one."""
    harness = create_harness('w1')
    harness.scheduler.add_job(job(FILL, job_id='2' * 16))
    (fill,) = harness.start_all()
    harness.scheduler.add_job(job(SERVING, job_id='1' * 16))
    (serving,) = harness.start_all()
    model = harness.scheduler.interference
    for _ in range(40):
        model.observe('serves', 10, {})
        model.observe('serves', expected_tail_ms, {'fill': 0.15})
    return _Pair(harness, fill.key, serving.key)


@pytest.mark.parametrize('wait_ms', [450, 1000, 1500])
@pytest.mark.parametrize('tail_ms', [54, 60, 80])
@pytest.mark.parametrize('expected_tail_ms', [10, 20, 30])
def test_harm_ends_within_the_bound_however_seldom_a_worker_is_listed(
    wait_ms: int, tail_ms: int, expected_tail_ms: int
) -> None:
    """Listings 1.5 s apart took up to 7.7 s to suspend the best-effort task."""
    pair = _create_pair(expected_tail_ms)
    for _ in range(8):
        pair.report(LOW_MS)
        pair.wait_for_poll(wait_ms)
    pair.report(LOW_MS)
    last_low_ms = pair.harness.at_ms
    speeds: list[int] = []
    while 0 not in speeds:
        pair.wait_for_poll(wait_ms)
        speeds = pair.report(tail_ms)
        assert pair.harness.at_ms <= last_low_ms + LATEST_SUSPENSION_MS


@pytest.mark.parametrize('base_ms', [4, 6, 8, 10])
def test_a_level_far_from_the_expected_one_is_harm_too(base_ms: int) -> None:
    """The expected tail may be wrong by a factor of thirty.

    The task's deviation from it is bounded, and so was the level by which the
    best-effort tasks were suspended, until the model itself had followed.
    """
    pair = _create_pair(base_ms)
    for _ in range(200):
        pair.harness.scheduler.interference.observe('serves', base_ms, {})
    pair.report(base_ms)
    last_low_ms = pair.harness.at_ms
    speeds: list[int] = []
    while 0 not in speeds:
        pair.wait_for_poll(450)
        speeds = pair.report(120)
        assert pair.harness.at_ms <= last_low_ms + LATEST_SUSPENSION_MS


def test_one_high_report_of_a_seldom_listed_task_suspends_nobody() -> None:
    pair = _create_pair(20)
    for tail_ms in (LOW_MS, LOW_MS, LOW_MS, 60, LOW_MS, LOW_MS):
        assert 0 not in pair.report(tail_ms)
        pair.wait_for_poll(1500)


def test_a_new_leader_learns_of_harm_before_it_in_time() -> None:
    """The former leader may have left the task over its target for a while."""
    harness = create_harness()
    for spec, job_id in ((FILL, '2' * 16), (SERVING, '1' * 16)):
        harness.scheduler.add_job(job(spec, job_id=job_id, inherited=True))
    harness.scheduler.update_worker(registration('w1'), harness.at_ms)
    pair = _Pair(
        harness,
        RunKey(TaskId('2' * 16, 0, 0, 0), 1),
        RunKey(TaskId('1' * 16, 0, 0, 0), 1),
    )
    started_ms = harness.at_ms
    speeds: list[int] = []
    while 0 not in speeds:
        assert harness.at_ms <= started_ms + 1500
        speeds = pair.report(80)
        pair.wait_for_poll(1500)


@pytest.mark.parametrize(
    ('tail_ms', 'is_sooner'), [(LOW_MS, False), (60, True)]
)
def test_a_worker_with_a_task_over_its_target_is_listed_sooner(
    tail_ms: int, *, is_sooner: bool
) -> None:
    pair = _create_pair(20)
    pair.report(LOW_MS)
    pair.wait_for_poll(1500)
    pair.report(tail_ms)
    before_ms = pair.harness.at_ms
    pair.wait_for_poll(1500)
    assert (pair.harness.at_ms < before_ms + 1000) is is_sooner


def test_a_task_over_its_target_by_itself_suspends_others_half_the_time() -> (
    None
):
    """After a suspension, the limit on interference counts from its end."""
    pair = _create_pair(5)
    speeds = [100]
    suspended_ms = 0
    started_ms = pair.harness.at_ms
    while pair.harness.at_ms < started_ms + 60_000:
        speeds = pair.report(60) or speeds
        before_ms = pair.harness.at_ms
        pair.wait_for_poll(450)
        if speeds[-1] == 0:
            suspended_ms += pair.harness.at_ms - before_ms
    assert 0 < suspended_ms < 30_000


@pytest.mark.parametrize(
    ('tail_ms', 'is_placed'), [(LOW_MS, True), (60, False)]
)
def test_nothing_starts_beside_a_task_over_its_target_now(
    tail_ms: int, *, is_placed: bool
) -> None:
    """Smoothing has not followed the newest report yet."""
    pair = _create_pair(5)
    for _ in range(4):
        pair.wait_for_poll(450)
        pair.report(LOW_MS)
    pair.wait_for_poll(450)
    pair.report(tail_ms)
    pair.harness.scheduler.add_job(job(FILL, job_id='3' * 16))
    assert bool(pair.harness.plan()) is is_placed
