"""A worker that does not answer is suspended, and waited for no longer."""

from collections.abc import Callable
from dataclasses import replace
from typing import cast

import pytest

from gentianpulley.cluster.directory import DirectoryPage, WorkerDirectory
from gentianpulley.cluster.handover_state import HandoverState
from gentianpulley.cluster.leader_store import LeaderStore
from gentianpulley.cluster.leader_watches import WorkerWatch
from gentianpulley.cluster.roster import Roster, covers
from gentianpulley.cluster.scheduler import create_scheduler
from gentianpulley.cluster.scheduler_service import Leadership, SchedulerService
from gentianpulley.cluster.scheduler_state import LeaderTerm
from gentianpulley.cluster.term_record import TermRecord
from gentianpulley.cluster.worker import Worker
from gentianpulley.cluster.worker_protocol import (
    RunningRow,
    StartOrder,
    StartReply,
    StartVerdict,
    WorkerClientFactory,
    WorkerRegistration,
)
from gentianpulley.cluster.worker_suspension import MIN_UNRESPONSIVE_MS
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreError
from gentianpulley.logs import EventLog
from tests.scheduling.harness import (
    TIMING,
    SchedulerHarness,
    create_harness,
    job,
    registration,
    step,
)
from tests.scheduling.roster_store import RosterStore

MARGIN_MS = 1000
ACTING_MS = 60_000
NO_WORKERS: frozenset[str] = frozenset()
W1 = frozenset(('w1',))


def _harness_with_a_run() -> tuple[SchedulerHarness, StartOrder]:
    """Return a leader that has led for long, and the start of a listed run."""
    harness = create_harness('w1')
    harness.at_ms = now_ms()
    harness.scheduler.term = LeaderTerm(
        harness.scheduler.term.token,
        harness.at_ms - 2 * TIMING.handover_ms,
        NO_WORKERS,
        TIMING,
    )
    harness.report_listing('w1')
    harness.scheduler.add_job(job(step()))
    (order,) = harness.start_all()
    harness.report_listing('w1', (RunningRow(order.key, '', 50, 0),))
    return harness, order


def _worker(harness: SchedulerHarness) -> Worker:
    return harness.scheduler.workers['w1']


def _lose(harness: SchedulerHarness) -> None:
    """Let two polls of the worker fail, one after the other."""
    harness.scheduler.mark_unresponsive(_worker(harness), harness.at_ms)
    harness.at_ms += MIN_UNRESPONSIVE_MS


def _suspend(harness: SchedulerHarness) -> Roster:
    """Return the roster that is written after two failed polls."""
    _lose(harness)
    harness.scheduler.suspend_unresponsive(harness.at_ms)
    return harness.scheduler.build_roster(W1, NO_WORKERS, harness.at_ms)


def _next_leader(roster: Roster, since_ms: int) -> SchedulerHarness:
    """Return the next leader, whose jobs are loaded."""
    term = LeaderTerm(
        8,
        since_ms,
        roster.worker_ids,
        TIMING,
        roster.run_deadlines(since_ms),
    )
    harness = SchedulerHarness(create_scheduler(term, EventLog()), since_ms)
    harness.scheduler.add_job(job(step(), inherited=True))
    harness.add_worker('w2')
    return harness


@pytest.mark.proof('suspended-wait')
def test_inherited_work_waited_for_a_worker_that_was_lost_before() -> None:
    """A worker was lost 0.6 s before its leader, and its task ran again only
    after a leadership period and a lease of the next one."""
    harness, _ = _harness_with_a_run()
    roster = _suspend(harness)
    assert not roster.in_use
    successor = _next_leader(roster, harness.at_ms)
    successor.at_ms += TIMING.lease_ms - MARGIN_MS
    assert successor.plan() == []
    successor.at_ms += 2 * MARGIN_MS
    assert len(successor.plan()) == 1


def test_what_ended_at_a_new_incarnation_is_not_waited_for_again() -> None:
    """The address of the lost worker answered as another one, and the next
    leader waited for a complete handover period."""
    harness, _ = _harness_with_a_run()
    successor = _next_leader(_suspend(harness), harness.at_ms)
    successor.scheduler.update_worker(registration('w1'), successor.at_ms)
    successor.scheduler.end_incarnation('w1', successor.at_ms)
    successor.at_ms += TIMING.lease_ms + MARGIN_MS
    assert successor.scheduler.is_handover_complete(successor.at_ms)


@pytest.mark.proof('suspension')
def test_a_suspended_worker_gets_no_longer_lease_before_it_is_stored() -> None:
    """The next leader would start what runs there under the longer lease."""
    harness, order = _harness_with_a_run()
    _suspend(harness)
    worker = _worker(harness)
    lease_worker_ms = worker.clock.lease_deadline_worker_ms
    harness.at_ms += MARGIN_MS
    harness.report_listing('w1', (RunningRow(order.key, '', 50, 0),))
    poll = harness.scheduler.poll_order(worker, TIMING.poll_wait_ms)
    assert poll.lease_deadline_worker_ms <= lease_worker_ms
    assert poll.wait_ms < TIMING.poll_wait_ms
    harness.scheduler.resume(W1)
    renewed = harness.scheduler.poll_order(worker, TIMING.poll_wait_ms)
    assert renewed.lease_deadline_worker_ms > lease_worker_ms
    assert renewed.wait_ms == TIMING.poll_wait_ms


@pytest.mark.proof('held-starts', 'held-placements')
def test_a_suspended_worker_gets_no_start_before_it_is_stored() -> None:
    harness, running = _harness_with_a_run()
    harness.scheduler.add_job(job(step(), job_id='b' * 16))
    (ordered,) = harness.plan()
    _suspend(harness)
    harness.report_listing('w1', (RunningRow(running.key, '', 50, 0),))
    assert not harness.scheduler.claim_start_send(ordered, harness.at_ms)
    harness.scheduler.add_job(job(step(), job_id='c' * 16))
    assert harness.plan() == []
    harness.scheduler.resume(W1)
    assert harness.scheduler.claim_start_send(ordered, harness.at_ms)
    assert len(harness.plan()) == 1


def test_a_lease_of_an_earlier_leader_is_waited_out_while_suspended() -> None:
    """The worker answers this leader first while it is suspended."""
    harness = create_harness(roster=W1)
    harness.scheduler.update_worker(registration('w1'), harness.at_ms)
    _suspend(harness)
    harness.report_listing('w1')
    worker = _worker(harness)
    assert harness.scheduler.poll_order(worker, 0).lease_deadline_worker_ms == 0
    assert not worker.clock.has_lease_expired(harness.at_ms + TIMING.lease_ms)


def _nothing(harness: SchedulerHarness) -> None:
    """Leave only the run that is listed."""


def _send(harness: SchedulerHarness) -> StartOrder:
    harness.scheduler.add_job(job(step(), job_id='b' * 16))
    (order,) = harness.plan()
    assert harness.scheduler.claim_start_send(order, harness.at_ms)
    return order


def _lose_answer(harness: SchedulerHarness) -> None:
    harness.answer(_send(harness), StartVerdict.LOST)


def _answer(harness: SchedulerHarness) -> None:
    harness.answer(_send(harness), StartVerdict.ACCEPTED)


def _answer_after_restart(harness: SchedulerHarness) -> None:
    """Let a restarted worker, whose clock is lower, accept a start."""
    reply = StartReply(StartVerdict.ACCEPTED, 1)
    order = _send(harness)
    harness.scheduler.handle_start_reply(order, reply, harness.at_ms)
    restarted = replace(registration('w1'), incarnation_ms=5, revision=9)
    harness.scheduler.update_worker(restarted, harness.at_ms)
    assert order.key in _worker(harness).reservations


def _answer_at_once(harness: SchedulerHarness) -> None:
    """Let the worker answer before the second failure."""
    _lose(harness)
    harness.report_listing('w1')


@pytest.mark.parametrize(
    ('before', 'is_in_use', 'least_ms'),
    [
        (_nothing, False, TIMING.lease_ms - MARGIN_MS),
        (_answer, False, TIMING.max_run_ms - MARGIN_MS),
        pytest.param(_send, True, 0, marks=pytest.mark.proof('open-starts')),
        (_lose_answer, True, 0),
    ],
)
def test_a_start_that_may_still_arrive_keeps_a_worker_in_use(
    before: Callable[[SchedulerHarness], object],
    least_ms: int,
    *,
    is_in_use: bool,
) -> None:
    harness, _ = _harness_with_a_run()
    before(harness)
    roster = _suspend(harness)
    assert (roster.in_use == W1) == is_in_use
    assert roster.remaining_ms.get('w1', 0) >= least_ms


def test_the_roster_tells_of_a_kept_start_what_its_leader_waits_for() -> None:
    """It told of its lease alone, so the next leader waited too short."""
    harness, _ = _harness_with_a_run()
    _answer_after_restart(harness)
    remaining_ms = _suspend(harness).remaining_ms['w1']
    until_ms = harness.at_ms + remaining_ms
    harness.at_ms = until_ms
    harness.scheduler.expire_leases(harness.at_ms)
    assert _worker(harness).reservations
    harness.at_ms = until_ms + 1
    harness.scheduler.expire_leases(harness.at_ms)
    assert not _worker(harness).reservations


def test_one_failed_poll_suspends_nothing() -> None:
    harness, _ = _harness_with_a_run()
    _answer_at_once(harness)
    harness.scheduler.mark_unresponsive(_worker(harness), harness.at_ms)
    harness.scheduler.suspend_unresponsive(harness.at_ms)
    assert not _worker(harness).is_suspended


class _Watch:
    """The real watch of a leader's workers, over a store of its own."""

    def __init__(self, harness: SchedulerHarness, exclusive_ms: int) -> None:
        at_ms = harness.at_ms
        self.store = RosterStore()
        self.service = SchedulerService(
            harness.scheduler,
            Leadership(at_ms + ACTING_MS, at_ms + exclusive_ms),
            create_counters(),
            EventLog(),
        )
        self.state = HandoverState(cast(LeaderStore, self.store), EventLog())
        self.watch = WorkerWatch(
            self.service,
            cast(WorkerDirectory, None),
            cast(WorkerClientFactory, None),
            self.state,
        )
        self.watch.refresh_roster()

    def stub_sessions(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Open no connections to workers."""
        monkeypatch.setattr(self.watch, '_client_factory', _NoClients())
        monkeypatch.setattr(
            'gentianpulley.cluster.leader_watches.open_session', _no_session
        )

    @property
    def worker(self) -> Worker:
        """Return the worker that is lost."""
        return self.service.scheduler.workers['w1']


def _watch_of_lost_worker(exclusive_ms: int = ACTING_MS) -> _Watch:
    harness, _ = _harness_with_a_run()
    watch = _Watch(harness, exclusive_ms)
    worker = _worker(harness)
    worker.unresponsive_since_ms = now_ms() - MIN_UNRESPONSIVE_MS
    watch.service.on_poll_failed(worker)
    return watch


@pytest.mark.parametrize('loses_answers', [False, True])
def test_a_worker_that_answers_again_is_used_once_that_is_stored(
    *, loses_answers: bool
) -> None:
    watch = _watch_of_lost_worker()
    assert watch.service.roster_save_requested.is_set()
    watch.watch.refresh_roster()
    worker = watch.worker
    assert worker.is_suspended
    assert not watch.state.roster.in_use
    worker.unresponsive_since_ms = 0
    watch.store.loses_answers = loses_answers
    if loses_answers:
        with pytest.raises(StoreError):
            watch.watch.refresh_roster()
        assert worker.is_suspended
        watch.store.loses_answers = False
    watch.watch.refresh_roster()
    assert not worker.is_suspended
    assert watch.state.has_marked_used(W1)
    assert watch.store.roster.in_use == W1


@pytest.mark.proof('stored-roster')
def test_a_worker_is_used_again_though_each_applied_write_has_no_answer() -> (
    None
):
    """Its runs lapsed: every second write was answered, but refused, as the one
    before it had been applied."""
    watch = _watch_of_lost_worker()
    watch.watch.refresh_roster()
    watch.worker.unresponsive_since_ms = 0
    watch.store.loses_answers = True
    with pytest.raises(StoreError, match='no answer'):
        watch.watch.refresh_roster()
    assert watch.worker.is_suspended
    watch.watch.refresh_roster()
    assert not watch.worker.is_suspended
    assert watch.store.roster.in_use == W1


def test_a_worker_stays_suspended_while_the_stored_roster_shows_it_so() -> None:
    """The write that was applied without an answer is the one before."""
    watch = _watch_of_lost_worker()
    watch.store.loses_answers = True
    with pytest.raises(StoreError, match='no answer'):
        watch.watch.refresh_roster()
    watch.worker.unresponsive_since_ms = 0
    with pytest.raises(StoreError, match='another revision'):
        watch.watch.refresh_roster()
    assert watch.worker.is_suspended
    assert not watch.store.roster.in_use


@pytest.mark.parametrize(
    ('stored', 'is_covered'),
    [
        (Roster(W1, {'w2': 500}), True),
        (Roster(W1.union(('w2',))), True),
        (Roster(W1, {'w2': 501, 'w3': 0}), True),
        (Roster(W1, {'w2': 499}), False),
        (Roster(W1), False),
        (Roster(NO_WORKERS, {'w1': ACTING_MS, 'w2': 500}), False),
        (Roster(W1, {'w2': 500}, {'w1': 'other:80'}), False),
        (Roster(W1, {'w2': 500}, term=TermRecord(3, 0, W1)), True),
        (Roster(W1, {'w2': 500}, term=TermRecord(3, 0)), False),
        (Roster(W1, {'w2': 500}, term=TermRecord(2, 0)), True),
    ],
)
def test_a_roster_that_tells_of_less_is_not_enough(
    stored: Roster, *, is_covered: bool
) -> None:
    roster = Roster(W1, {'w2': 500}, {'w1': 'host:80'}, TermRecord(3, 0, W1))
    addresses = stored.addresses or roster.addresses
    known = replace(stored, addresses=addresses)
    assert covers(known, roster) == is_covered


def test_an_update_of_its_registration_uses_no_suspended_worker() -> None:
    """A worker that is cut off from its leader still renews its entry."""
    watch = _watch_of_lost_worker()
    watch.watch.refresh_roster()
    known = watch.worker.registration
    watch.watch.open_sessions(DirectoryPage((known,), 1))
    assert watch.worker.is_suspended
    assert not watch.state.roster.in_use


def test_a_leader_that_may_be_without_the_store_suspends_nobody() -> None:
    watch = _watch_of_lost_worker(exclusive_ms=-MARGIN_MS)
    watch.watch.refresh_roster()
    assert not watch.worker.is_suspended


def test_calm_costs_no_write() -> None:
    harness, _ = _harness_with_a_run()
    watch = _Watch(harness, ACTING_MS)
    commits = watch.store.commits
    watch.watch.refresh_roster()
    assert watch.store.commits == commits


def test_a_leader_that_has_left_writes_no_roster_over_its_final_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next leader would wait for what the final roster had settled."""
    watch = _watch_of_lost_worker()
    watch.stub_sessions(monkeypatch)
    watch.service.leadership.resign('handed over')
    watch.watch.save_final_roster()
    final = watch.state.roster
    assert final.remaining_ms
    watch.watch.refresh_roster()
    watch.watch.open_sessions(DirectoryPage((registration('w2'),), 1))
    assert watch.state.roster == final


class _Client:
    """A client that nobody calls, as the session is not started."""


@pytest.mark.proof('unmarked-incarnations')
def test_an_incarnation_that_the_roster_does_not_show_starts_suspended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The former one ended between the roster's write and the update."""
    watch = _watch_of_lost_worker()
    watch.watch.refresh_roster()
    scheduler = watch.service.scheduler
    known = scheduler.workers['w1'].registration
    update = scheduler.update_worker

    def update_after_end(
        registered: WorkerRegistration, at_ms: int
    ) -> list[object]:
        scheduler.end_incarnation('w1', at_ms)
        return list(update(registered, at_ms))

    monkeypatch.setattr(scheduler, 'update_worker', update_after_end)
    watch.stub_sessions(monkeypatch)
    watch.watch.open_sessions(DirectoryPage((known,), 1))
    assert scheduler.workers['w1'].is_suspended


class _NoClients:
    def connect(self, registered: WorkerRegistration) -> _Client:
        """Return a client without a connection."""
        return _Client()


class _NoSession:
    def close(self) -> None:
        """Do nothing."""


def _no_session(*unused: object) -> _NoSession:
    return _NoSession()
