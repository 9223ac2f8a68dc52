"""The roster tells the next leader which workers may have runs."""

from collections.abc import Callable, Iterable

import msgspec
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

MARGIN_MS = 1000
TASKS = 2
NO_WORKERS: frozenset[str] = frozenset()
PREVIOUS_ROSTER = frozenset(('gone', 'w1'))


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
    harness = create_harness('w1', roster=PREVIOUS_ROSTER)
    roster = harness.scheduler.build_roster(
        PREVIOUS_ROSTER, NO_WORKERS, START_MS + after_ms
    )
    assert roster == Roster(frozenset(('w1',)), left_ms)


def test_a_report_counts_whom_inherited_work_waits_for() -> None:
    harness = create_harness('w1', roster=PREVIOUS_ROSTER)
    assert harness.scheduler.create_report(START_MS).workers['missing'] == 1
    over_ms = START_MS + TIMING.handover_ms + 1
    assert 'missing' not in harness.scheduler.create_report(over_ms).workers


def test_a_worker_about_to_be_used_is_told_as_used() -> None:
    harness = create_harness(roster=PREVIOUS_ROSTER)
    used = frozenset(('gone',))
    roster = harness.scheduler.build_roster(PREVIOUS_ROSTER, used, START_MS)
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
    """It used to stay on the roster for a complete handover period, longer than
    two leader terms."""
    harness = create_harness('w1')
    harness.at_ms += reigned_ms
    harness.report_listing('w1')
    harness.scheduler.mark_deregistered('w1', harness.at_ms)
    harness.at_ms += TIMING.lease_ms + MARGIN_MS
    if not is_silent:
        harness.report_listing('w1')
    harness.scheduler.expire_leases(harness.at_ms)
    assert ('w1' in harness.scheduler.workers) == is_known


def _drain(harness: SchedulerHarness, worker_id: str) -> SchedulerHarness:
    """Drain a worker and list the ends of the runs that are stopped there."""
    leaving = registration(worker_id, is_draining=True, drain_remaining_ms=3000)
    for order in harness.scheduler.update_worker(leaving, harness.at_ms):
        assert isinstance(order, StopOrder)
        harness.end(worker_id, order.key, EndCause.STOPPED)
    return harness


@pytest.mark.parametrize('has_left', [False, True])
def test_inherited_work_waited_for_workers_that_had_left_empty(
    *, has_left: bool
) -> None:
    """Workers were replaced one by one while leaders changed, and the tasks
    stopped on them did not run for a complete handover period."""
    harness = create_harness('w1', roster=frozenset(('w1',)))
    latency_critical = step(TASKS, is_endless=True, estimated_ms=0)
    harness.scheduler.add_job(job(latency_critical))
    harness.at_ms += TIMING.handover_ms + 1
    assert len(harness.start_all()) == TASKS
    _drain(harness, 'w1')
    if has_left:
        harness.scheduler.mark_deregistered('w1', harness.at_ms)
    left = harness.scheduler.build_roster(
        frozenset(('w1',)), NO_WORKERS, harness.at_ms
    )
    next_leader = create_harness('w2', roster=left.worker_ids)
    next_leader.scheduler.add_job(job(latency_critical, inherited=True))
    assert len(next_leader.plan()) == TASKS


def _running(harness: SchedulerHarness) -> None:
    harness.scheduler.add_job(job(step()))
    harness.start_all()


def _order_start(harness: SchedulerHarness) -> list[StartOrder]:
    harness.scheduler.add_job(job(step()))
    return harness.plan()


def _unanswered(harness: SchedulerHarness) -> None:
    _order_start(harness)


def _rows(harness: SchedulerHarness, worker_id: str) -> tuple[RunningRow, ...]:
    run_keys = harness.scheduler.workers[worker_id].reservations
    return tuple(RunningRow(key, '', 50, 0) for key in run_keys)


def _foreign(harness: SchedulerHarness) -> None:
    key = RunKey(TaskId('f' * 16, 0, 0, 0), 1)
    harness.report_listing('w1', (RunningRow(key, '', 50, 0),))


@pytest.mark.parametrize('before', [_running, _unanswered, _foreign])
def test_a_worker_that_leaves_with_a_run_is_told_as_used(
    before: Callable[[SchedulerHarness], None],
) -> None:
    harness = create_harness('w1')
    before(harness)
    harness.scheduler.mark_deregistered('w1', harness.at_ms)
    roster = harness.scheduler.build_roster(
        NO_WORKERS, NO_WORKERS, harness.at_ms
    )
    assert roster.in_use == {'w1'}


def test_a_worker_that_has_not_answered_is_told_as_used() -> None:
    """An earlier leader's start may still reach it."""
    harness = create_harness()
    harness.scheduler.update_worker(
        registration('w1', is_draining=True), harness.at_ms
    )
    roster = harness.scheduler.build_roster(
        NO_WORKERS, NO_WORKERS, harness.at_ms
    )
    assert roster.in_use == {'w1'}


def test_a_worker_that_drains_no_more_is_told_as_used() -> None:
    harness = _drain(create_harness('w1'), 'w1')
    assert harness.scheduler.is_drained(registration('w1', is_draining=True))
    assert not harness.scheduler.is_drained(registration('w1'))
    restarted = registration('w1', is_draining=True, incarnation_ms=2)
    assert not harness.scheduler.is_drained(restarted)
    harness.scheduler.update_worker(registration('w1'), harness.at_ms)
    roster = harness.scheduler.build_roster(
        NO_WORKERS, NO_WORKERS, harness.at_ms
    )
    assert roster.in_use == {'w1'}


def test_inherited_work_waited_for_the_tenure_of_a_leader_that_had_left() -> (
    None
):
    """Its orders had expired, yet the next leader waited for a lease and a
    leadership period."""
    harness = create_harness('w1')
    harness.at_ms += TIMING.handover_ms + 1
    harness.report_listing('w1')
    _running(harness)
    harness.report_listing('w1', _rows(harness, 'w1'))
    harness.scheduler.mark_deregistered('w1', harness.at_ms)
    roster = harness.scheduler.build_final_roster(
        frozenset(('w1',)), harness.at_ms
    )
    assert not roster.in_use
    assert 0 < roster.remaining_ms['w1'] - TIMING.lease_ms < MARGIN_MS
    clock = harness.scheduler.workers['w1'].clock
    assert not clock.has_lease_expired(harness.at_ms + TIMING.lease_ms)
    assert clock.has_lease_expired(harness.at_ms + roster.remaining_ms['w1'])


def test_a_leader_that_left_prolongs_no_lease() -> None:
    harness = create_harness('w1')
    (order,) = _order_start(harness)
    worker = harness.scheduler.workers['w1']
    harness.scheduler.build_final_roster(NO_WORKERS, harness.at_ms)
    lease_worker_ms = worker.clock.lease_deadline_worker_ms
    harness.at_ms += MARGIN_MS
    worker.clock.update(harness.at_ms, harness.at_ms)
    poll = harness.scheduler.poll_order(worker, 0)
    assert poll.lease_deadline_worker_ms == lease_worker_ms
    assert harness.scheduler.grant_lease(worker) == lease_worker_ms
    assert not harness.scheduler.claim_start_send(order, harness.at_ms)


def test_a_start_that_no_list_has_shown_is_waited_out_longest() -> None:
    """It may have reached a new incarnation, which measures the lease anew."""
    harness = create_harness('w1')
    harness.at_ms += TIMING.handover_ms + 1
    _order_start(harness)
    roster = harness.scheduler.build_final_roster(NO_WORKERS, harness.at_ms)
    assert roster.remaining_ms == {'w1': TIMING.max_run_ms}


def test_what_earlier_leaders_may_run_is_waited_out_after_a_hand_over() -> None:
    harness = create_harness('w1', roster=PREVIOUS_ROSTER)
    _running(harness)
    roster = harness.scheduler.build_final_roster(
        PREVIOUS_ROSTER, harness.at_ms
    )
    earlier_ms = TIMING.handover_ms
    assert roster == Roster(NO_WORKERS, {'w1': earlier_ms, 'gone': earlier_ms})


@pytest.mark.parametrize(
    ('body', 'roster'),
    [
        (b'["w1","w2"]', Roster(frozenset(('w1', 'w2')))),
        (encode_roster(Roster()), Roster()),
        (
            encode_roster(Roster(frozenset(('w1',)), {'gone': 500})),
            Roster(frozenset(('w1',)), {'gone': 500}),
        ),
        (
            b'{"used":["w1"],"left_ms":{"gone":500},"later":{}}',
            Roster(frozenset(('w1',)), {'gone': 500}),
        ),
    ],
)
def test_rosters_of_older_releases_are_read(
    body: bytes, roster: Roster
) -> None:
    assert decode_roster(body) == roster


ADDRESSES = {'w1': '10.0.0.1:80', 'gone': '10.0.0.2:80', 'left': '10.0.0.3:80'}


@pytest.mark.parametrize('known', [(), ('gone',), ('w1', 'left'), ADDRESSES])
def test_addresses_are_read_as_written(known: Iterable[str]) -> None:
    addresses = {worker_id: ADDRESSES[worker_id] for worker_id in known}
    roster = Roster(
        frozenset(('w1', 'w0')), {'left': 800, 'gone': 500}, addresses
    )
    assert decode_roster(encode_roster(roster)) == roster


class _FormerDocument(msgspec.Struct):
    """A roster as the release before addresses reads it."""

    used: list[str]
    left_ms: dict[str, int]


def test_an_older_release_reads_a_roster_with_addresses() -> None:
    roster = Roster(frozenset(('w1',)), {'gone': 500}, ADDRESSES)
    former = msgspec.json.decode(encode_roster(roster), type=_FormerDocument)
    assert former == _FormerDocument(['w1'], {'gone': 500})
