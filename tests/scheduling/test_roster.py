"""What a leader tells its successor of workers where something may run."""

from collections.abc import Callable

import pytest

from gentianpulley.cluster.worker_protocol import (
    EndCause,
    RunKey,
    RunningRow,
    StartOrder,
    StopOrder,
)
from gentianpulley.cluster.roster import (
    Roster,
    decode_roster,
    encode_roster,
)
from gentianpulley.jobs.spec import TaskId
from tests.scheduling.harness import (
    START_MS,
    TIMING,
    SchedulerHarness,
    registration,
    create_harness,
    job,
    step,
)

BEFORE_MS = 1000
TASKS = 2
NOBODY: frozenset[str] = frozenset()
OF_LAST_REIGN = frozenset(('gone', 'w1'))


@pytest.mark.parametrize(
    ('after_ms', 'left_ms'),
    [
        (0, {'gone': TIMING.handover_ms}),
        (4000, {'gone': TIMING.handover_ms - 4000}),
        (TIMING.handover_ms, {'gone': 0}),
        (TIMING.handover_ms + 1, {}),
    ],
)
def test_a_reign_tells_what_is_left_to_wait_for(
    after_ms: int, left_ms: dict[str, int]
) -> None:
    site = create_harness('w1', roster=OF_LAST_REIGN)
    roster = site.scheduler.build_roster(
        OF_LAST_REIGN, NOBODY, START_MS + after_ms
    )
    assert roster == Roster(frozenset(('w1',)), left_ms)


def test_a_report_counts_whom_inherited_work_waits_for() -> None:
    site = create_harness('w1', roster=OF_LAST_REIGN)
    assert site.scheduler.create_report(START_MS).workers['missing'] == 1
    over_ms = START_MS + TIMING.handover_ms + 1
    assert 'missing' not in site.scheduler.create_report(over_ms).workers


def test_a_worker_about_to_be_used_is_told_as_used() -> None:
    site = create_harness(roster=OF_LAST_REIGN)
    used = frozenset(('gone',))
    roster = site.scheduler.build_roster(OF_LAST_REIGN, used, START_MS)
    assert roster == Roster(used, {'w1': TIMING.handover_ms})


@pytest.mark.parametrize(
    ('reigned_ms', 'is_silent', 'is_known'),
    [
        (TIMING.handover_ms, True, False),
        (TIMING.handover_ms, False, True),
        (0, True, True),
    ],
)
def test_a_worker_that_left_is_dropped_once_its_lease_is_over(
    reigned_ms: int, is_silent: bool, is_known: bool
) -> None:
    """It stood on the roster for a whole handover, longer than two reigns."""
    site = create_harness('w1')
    site.at_ms += reigned_ms
    site.report_listing('w1')
    site.scheduler.mark_deregistered('w1', site.at_ms)
    site.at_ms += TIMING.lease_ms + BEFORE_MS
    if not is_silent:
        site.report_listing('w1')
    site.scheduler.expire_leases(site.at_ms)
    assert ('w1' in site.scheduler.workers) == is_known


def _drained(site: SchedulerHarness, worker_id: str) -> SchedulerHarness:
    """Let a worker drain, and list the ends of what is stopped there."""
    leaving = registration(worker_id, is_draining=True, drain_remaining_ms=3000)
    for order in site.scheduler.update_worker(leaving, site.at_ms):
        assert isinstance(order, StopOrder)
        site.end(worker_id, order.key, EndCause.STOPPED)
    return site


@pytest.mark.parametrize('has_left', [False, True])
def test_inherited_work_waited_for_workers_that_had_left_empty(
    *, has_left: bool
) -> None:
    """Workers were replaced one by one while leaders changed, and tasks that
    were stopped on them did not run for a whole handover."""
    site = create_harness('w1', roster=frozenset(('w1',)))
    serving = step(TASKS, is_endless=True, estimated_ms=0)
    site.scheduler.add_job(job(serving))
    site.at_ms += TIMING.handover_ms + 1
    assert len(site.start_all()) == TASKS
    _drained(site, 'w1')
    if has_left:
        site.scheduler.mark_deregistered('w1', site.at_ms)
    left = site.scheduler.build_roster(frozenset(('w1',)), NOBODY, site.at_ms)
    successor = create_harness('w2', roster=left.worker_ids)
    successor.scheduler.add_job(job(serving, inherited=True))
    assert len(successor.plan()) == TASKS


def _running(site: SchedulerHarness) -> None:
    site.scheduler.add_job(job(step()))
    site.start_all()


def _ordered(site: SchedulerHarness) -> list[StartOrder]:
    site.scheduler.add_job(job(step()))
    return site.plan()


def _unanswered(site: SchedulerHarness) -> None:
    _ordered(site)


def _rows(site: SchedulerHarness, worker_id: str) -> tuple[RunningRow, ...]:
    charges = site.scheduler.workers[worker_id].reservations
    return tuple(RunningRow(key, '', 50, 0) for key in charges)


def _foreign(site: SchedulerHarness) -> None:
    key = RunKey(TaskId('f' * 16, 0, 0, 0), 1)
    site.report_listing('w1', (RunningRow(key, '', 50, 0),))


@pytest.mark.parametrize('before', [_running, _unanswered, _foreign])
def test_a_worker_that_leaves_with_a_run_is_told_as_used(
    before: Callable[[SchedulerHarness], None],
) -> None:
    site = create_harness('w1')
    before(site)
    site.scheduler.mark_deregistered('w1', site.at_ms)
    roster = site.scheduler.build_roster(NOBODY, NOBODY, site.at_ms)
    assert roster.in_use == {'w1'}


def test_a_worker_that_has_not_answered_is_told_as_used() -> None:
    """An earlier leader's start may still reach it."""
    site = create_harness()
    site.scheduler.update_worker(
        registration('w1', is_draining=True), site.at_ms
    )
    roster = site.scheduler.build_roster(NOBODY, NOBODY, site.at_ms)
    assert roster.in_use == {'w1'}


def test_a_worker_that_drains_no_more_is_told_as_used() -> None:
    site = _drained(create_harness('w1'), 'w1')
    assert site.scheduler.is_drained(registration('w1', is_draining=True))
    assert not site.scheduler.is_drained(registration('w1'))
    reborn = registration('w1', is_draining=True, incarnation_ms=2)
    assert not site.scheduler.is_drained(reborn)
    site.scheduler.update_worker(registration('w1'), site.at_ms)
    roster = site.scheduler.build_roster(NOBODY, NOBODY, site.at_ms)
    assert roster.in_use == {'w1'}


def test_inherited_work_waited_for_the_tenure_of_a_leader_that_had_left() -> (
    None
):
    """Its orders were over, and a lease and a tenure were waited out."""
    site = create_harness('w1')
    site.at_ms += TIMING.handover_ms + 1
    site.report_listing('w1')
    _running(site)
    site.report_listing('w1', _rows(site, 'w1'))
    site.scheduler.mark_deregistered('w1', site.at_ms)
    roster = site.scheduler.build_final_roster(frozenset(('w1',)), site.at_ms)
    assert not roster.in_use
    assert 0 < roster.remaining_ms['w1'] - TIMING.lease_ms < BEFORE_MS
    clock = site.scheduler.workers['w1'].clock
    assert not clock.has_lease_expired(site.at_ms + TIMING.lease_ms)
    assert clock.has_lease_expired(site.at_ms + roster.remaining_ms['w1'])


def test_a_leader_that_left_prolongs_no_lease() -> None:
    site = create_harness('w1')
    (order,) = _ordered(site)
    worker = site.scheduler.workers['w1']
    site.scheduler.build_final_roster(NOBODY, site.at_ms)
    lease_worker_ms = worker.clock.lease_deadline_worker_ms
    site.at_ms += BEFORE_MS
    worker.clock.update(site.at_ms, site.at_ms)
    look = site.scheduler.poll_order(worker, 0)
    assert look.lease_deadline_worker_ms == lease_worker_ms
    assert site.scheduler.grant_lease(worker) == lease_worker_ms
    assert not site.scheduler.claim_start_send(order, site.at_ms)


def test_a_start_that_no_list_has_shown_is_waited_out_longest() -> None:
    """It may have met a new life, which measures the lease anew."""
    site = create_harness('w1')
    site.at_ms += TIMING.handover_ms + 1
    _ordered(site)
    roster = site.scheduler.build_final_roster(NOBODY, site.at_ms)
    assert roster.remaining_ms == {'w1': TIMING.max_run_ms}


def test_what_earlier_leaders_may_run_is_waited_out_after_a_hand_over() -> None:
    site = create_harness('w1', roster=OF_LAST_REIGN)
    _running(site)
    roster = site.scheduler.build_final_roster(OF_LAST_REIGN, site.at_ms)
    earlier_ms = TIMING.handover_ms
    assert roster == Roster(NOBODY, {'w1': earlier_ms, 'gone': earlier_ms})


@pytest.mark.parametrize(
    ('body', 'roster'),
    [
        (b'["w1","w2"]', Roster(frozenset(('w1', 'w2')))),
        (encode_roster(Roster()), Roster()),
        (
            encode_roster(Roster(frozenset(('w1',)), {'gone': 500})),
            Roster(frozenset(('w1',)), {'gone': 500}),
        ),
    ],
)
def test_rosters_of_older_releases_are_read(
    body: bytes, roster: Roster
) -> None:
    assert decode_roster(body) == roster
