"""A worker that is missing from the directory is asked at its old address."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import cast

import pytest

from gentianpulley.cluster.absent_worker_prober import (
    PROBE_PAUSE_MS,
    AbsentWorkerProber,
)
from gentianpulley.cluster.directory import (
    DirectoryBatch,
    DirectoryPage,
    RegistrationChange,
    WorkerDirectory,
)
from gentianpulley.cluster.handover_state import HandoverState
from gentianpulley.cluster.leader_store import LeaderStore
from gentianpulley.cluster.leader_watches import WorkerWatch
from gentianpulley.cluster.roster import Roster
from gentianpulley.cluster.scheduler import Scheduler, create_scheduler
from gentianpulley.cluster.scheduler_service import Leadership, SchedulerService
from gentianpulley.cluster.scheduler_state import LeaderTerm
from gentianpulley.cluster.worker_protocol import (
    EndCause,
    Listing,
    OrderContext,
    PaceOrder,
    PollOrder,
    RunKey,
    RunningRow,
    StartOrder,
    StartReply,
    StartVerdict,
    StopOrder,
    WorkerClient,
    WorkerClientFactory,
    WorkerRegistration,
)
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.errors import (
    StoreError,
    WorkerFencedError,
    WorkerGoneError,
    WorkerReplacedError,
    WorkerSilentError,
    WorkerUnreachableError,
)
from gentianpulley.jobs.spec import TaskId
from gentianpulley.logs import EventLog
from standins.grid_site import wait_until
from tests.scheduling.harness import (
    JOB_ID,
    TIMING,
    SchedulerHarness,
    job,
    registration,
    step,
)
from tests.scheduling.roster_store import RosterStore

ACTING_MS = 60_000
TOKEN = 8
ADDRESS = '10.0.0.1:80'
OTHER_ADDRESS = '10.0.0.9:80'
MARGIN_MS = 1000
PROOF_MS = TIMING.handover_ms - TIMING.final_lease_ms + MARGIN_MS
"""How long after the start of a term no earlier leader sends an order."""

REPLACED = WorkerReplacedError('421')
ANSWERED = Listing(5000, incarnation_ms=1)
RUN = RunKey(TaskId(JOB_ID, 0, 0, 0), 1)
W1 = frozenset(('w1',))

Answer = Listing | Exception


@dataclass
class _Client(WorkerClient):
    """A client that answers each poll alike."""

    network: '_Network'
    registration: WorkerRegistration

    async def poll(self, order: PollOrder) -> Listing:
        """Return or raise what the address answers."""
        self.network.asked.append((self.registration, order))
        answer = self.network.answers[self.registration.address]
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def start(
        self, order: StartOrder, context: OrderContext
    ) -> StartReply:
        """Accept nothing."""
        return StartReply(StartVerdict.NOT_SENT)

    async def stop(self, order: StopOrder, context: OrderContext) -> None:
        """Do nothing."""

    async def pace(self, order: PaceOrder, context: OrderContext) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Count the clients that are closed."""
        self.network.closed += 1


@dataclass
class _Network(WorkerClientFactory):
    """What is answered at each address."""

    answers: dict[str, Answer]
    asked: list[tuple[WorkerRegistration, PollOrder]] = field(
        default_factory=list
    )
    closed: int = 0

    def connect(self, registration: WorkerRegistration) -> WorkerClient:
        """Return a client of an address."""
        return _Client(self, registration)


class _NoSession:
    def close(self) -> None:
        """Do nothing."""


class _Directory(WorkerDirectory):
    """A directory whose only page is empty."""

    def read(self) -> DirectoryPage:
        """Return the empty page."""
        return DirectoryPage((), 1)

    def watch(self, revision: int) -> Iterator[DirectoryBatch]:
        """Return no changes."""
        return iter(())


class _NextLeader:
    """A leader that inherits one task, and asks for absent workers."""

    def __init__(
        self, roster: Roster, led_ms: int = 0, answer: Answer = REPLACED
    ) -> None:
        self.since_ms = now_ms() - led_ms
        term = LeaderTerm(
            TOKEN,
            self.since_ms,
            roster.worker_ids,
            TIMING,
            roster.run_deadlines(self.since_ms),
        )
        self.harness = SchedulerHarness(
            create_scheduler(term, EventLog()), now_ms()
        )
        self.scheduler.add_job(job(step(), inherited=True))
        self.store = RosterStore()
        self.state = HandoverState(cast(LeaderStore, self.store), EventLog())
        self.state.roster = roster
        self.network = _Network({ADDRESS: answer, OTHER_ADDRESS: answer})
        until_ms = now_ms() + ACTING_MS
        self.service = SchedulerService(
            self.scheduler,
            Leadership(until_ms, until_ms),
            create_counters(),
            EventLog(),
        )
        self.watch = WorkerWatch(
            self.service, _Directory(), self.network, self.state
        )
        self.prober = AbsentWorkerProber(self.watch, self.network)

    @property
    def scheduler(self) -> Scheduler:
        """Return the leader's scheduler."""
        return self.harness.scheduler

    def is_waiting(self) -> bool:
        """Return whether inherited tasks wait for a worker."""
        return not self.scheduler.is_handover_complete(now_ms())

    def ask(self, expected: int = 1) -> None:
        """Ask the absent workers that are due, and wait for the answers."""
        closed = self.network.closed
        self.prober.ask_due(now_ms())
        wait_until(lambda: self.network.closed >= closed + expected)
        wait_until(lambda: not self.prober.is_asking)
        self.prober.adopt_found()


@pytest.fixture(autouse=True)
def _without_sessions(monkeypatch: pytest.MonkeyPatch) -> None:
    """Open no sessions with workers."""
    monkeypatch.setattr(
        'gentianpulley.cluster.leader_watches.open_session',
        lambda *_: _NoSession(),
    )


IN_USE = Roster(W1, addresses={'w1': ADDRESS})


@pytest.mark.proof('absent-workers')
def test_inherited_work_waited_for_a_worker_that_another_had_replaced() -> None:
    """It was lost with its leader, came back under another id, and its task ran
    again only after a leadership period and a lease."""
    leader = _NextLeader(IN_USE, PROOF_MS)
    leader.harness.add_worker('w2')
    assert leader.harness.plan() == []
    leader.ask()
    assert not leader.is_waiting()
    leader.harness.at_ms = now_ms()
    assert len(leader.harness.plan()) == 1
    ((asked, order),) = leader.network.asked
    assert (asked.worker_id, asked.address) == ('w1', ADDRESS)
    assert order == PollOrder(TOKEN, 0, 0, 0)


@pytest.mark.proof('former-orders')
def test_a_former_leader_may_still_send_orders_to_the_address() -> None:
    """The worker may start there again under its id, and accept them."""
    leader = _NextLeader(IN_USE)
    leader.ask()
    assert leader.is_waiting()
    assert not leader.scheduler.record_replacement(
        'w1', leader.since_ms + TIMING.leadership_ms
    )
    assert leader.scheduler.record_replacement('w1', leader.since_ms + PROOF_MS)


def test_a_replaced_worker_that_was_suspended_is_not_waited_for() -> None:
    """No former leader sends it orders, so the first answer is proof."""
    left = Roster(frozenset(), {'w1': TIMING.lease_ms}, {'w1': ADDRESS})
    leader = _NextLeader(left)
    leader.ask()
    assert not leader.is_waiting()


def test_what_was_replaced_is_not_told_to_the_next_leader() -> None:
    leader = _NextLeader(IN_USE, PROOF_MS)
    leader.ask()
    leader.watch.refresh_roster()
    assert replace(leader.state.roster, term=None) == Roster()


@pytest.mark.parametrize(
    'answer',
    [
        WorkerUnreachableError('connection refused'),
        WorkerUnreachableError('503'),
        WorkerSilentError('timeout'),
        WorkerSilentError('connection reset'),
        WorkerGoneError('another incarnation'),
    ],
)
@pytest.mark.proof('replaced-only')
def test_no_answer_proves_nothing(answer: Exception) -> None:
    leader = _NextLeader(IN_USE, PROOF_MS, answer)
    leader.ask()
    assert leader.is_waiting()
    assert leader.scheduler.absent_ids(now_ms()) == ['w1']


def test_a_higher_token_ends_the_leadership() -> None:
    leader = _NextLeader(IN_USE, PROOF_MS, WorkerFencedError('fence'))
    leader.ask()
    assert leader.service.leadership.is_over()
    assert leader.is_waiting()


@pytest.mark.parametrize(
    'roster',
    [
        Roster(W1),
        Roster(frozenset(), {'w1': TIMING.lease_ms}),
        Roster(frozenset(('',)), {}),
    ],
    ids=['in use', 'left', 'damaged'],
)
def test_a_worker_without_an_address_is_waited_for(roster: Roster) -> None:
    """Older releases store no addresses."""
    leader = _NextLeader(roster)
    leader.prober.ask_due(now_ms())
    assert not leader.prober.is_asking
    assert leader.is_waiting()


def test_an_absent_worker_is_asked_once_in_a_while() -> None:
    leader = _NextLeader(IN_USE, 0, WorkerUnreachableError('refused'))
    leader.ask()
    leader.prober.ask_due(now_ms() + PROBE_PAUSE_MS - MARGIN_MS // 2)
    assert not leader.prober.is_asking
    leader.prober.ask_due(now_ms() + PROBE_PAUSE_MS)
    wait_until(lambda: leader.network.closed > 1)
    assert len(leader.network.asked) == 2


def test_a_replaced_worker_is_asked_again_once_that_is_proof() -> None:
    early_ms = 300
    leader = _NextLeader(IN_USE, PROOF_MS - MARGIN_MS - early_ms)
    leader.ask()
    assert leader.is_waiting()
    proof_ms = leader.scheduler.earliest_proof_ms('w1')
    assert proof_ms < now_ms() + early_ms
    wait_until(lambda: now_ms() >= proof_ms)
    leader.ask()
    assert not leader.is_waiting()


def test_nobody_is_asked_once_the_wait_is_over() -> None:
    leader = _NextLeader(IN_USE, TIMING.handover_ms + 1)
    leader.prober.ask_due(now_ms())
    assert not leader.prober.is_asking
    assert leader.prober.is_over(now_ms())


@pytest.mark.parametrize('led_ms', [0, PROOF_MS])
def test_workers_are_asked_for_while_any_may_be_waited_for(led_ms: int) -> None:
    """One that is replaced later in the term is waited for as well."""
    leader = _NextLeader(Roster(), led_ms)
    assert not leader.is_waiting()
    assert not leader.prober.is_over(now_ms())
    leader.service.resign('over')
    assert leader.prober.is_over(now_ms())


def test_a_leader_that_may_not_act_asks_nobody() -> None:
    leader = _NextLeader(IN_USE)
    leader.service.leadership.resign('over')
    leader.prober.ask_due(now_ms())
    assert not leader.prober.is_asking


def _adopt(answer: Listing = ANSWERED) -> _NextLeader:
    """Return a leader that an absent worker has answered."""
    leader = _NextLeader(IN_USE, 0, answer)
    leader.ask()
    leader.harness.at_ms = now_ms()
    return leader


@pytest.mark.proof('absent-workers')
def test_the_lease_of_an_unregistered_worker_was_not_renewed() -> None:
    """It was cut off from the store alone, and what ran there lapsed."""
    leader = _adopt()
    worker = leader.scheduler.workers['w1']
    assert worker.registration.incarnation_ms == ANSWERED.incarnation_ms
    assert leader.state.has_marked_used(W1, {'w1': ADDRESS})
    leader.harness.report_listing('w1', (RunningRow(RUN, '', 50, 0),))
    assert not leader.is_waiting()
    assert RUN in worker.reservations
    assert leader.scheduler.poll_order(worker, 0).lease_deadline_worker_ms > 0
    assert leader.scheduler.absent_ids(now_ms()) == []


def test_an_unregistered_worker_gets_no_new_runs() -> None:
    leader = _adopt()
    leader.harness.report_listing('w1')
    assert not leader.is_waiting()
    assert leader.harness.plan() == []
    leader.scheduler.update_worker(registration('w1'), leader.harness.at_ms)
    assert len(leader.harness.plan()) == 1


def test_an_adopted_worker_that_registers_is_used_on() -> None:
    leader = _adopt()
    leader.harness.report_listing('w1', (RunningRow(RUN, '', 50, 0),))
    adopted = leader.scheduler.workers['w1']
    known = registration('w1', address=ADDRESS, revision=5)
    leader.watch.open_sessions(DirectoryPage((known,), 5))
    assert leader.scheduler.workers['w1'] is adopted
    assert adopted.is_registered
    assert adopted.registration == known
    assert RUN in adopted.reservations


def test_an_adopted_worker_that_drains_is_emptied() -> None:
    leader = _adopt()
    endless = step(is_endless=True, estimated_ms=0)
    leader.scheduler.add_job(job(endless, job_id='c' * 16, inherited=True))
    run = replace_job(RUN, 'c' * 16)
    leader.harness.report_listing('w1', (RunningRow(run, '', 100, 0),))
    leaving = registration('w1', is_draining=True, drain_remaining_ms=3000)
    orders = leader.scheduler.update_worker(leaving, leader.harness.at_ms)
    assert orders == [StopOrder('w1', run)]
    leader.harness.end('w1', run, EndCause.STOPPED)
    assert leader.scheduler.workers['w1'].is_drained


def replace_job(key: RunKey, job_id: str) -> RunKey:
    """Return the same run of another job."""
    return key._replace(task_id=key.task_id._replace(job_id=job_id))


def _report_nothing(leader: _NextLeader) -> None:
    leader.harness.report_listing('w1')


def _leave_silent(leader: _NextLeader) -> None:
    """Let the worker answer no poll of its session."""


@pytest.mark.parametrize('before', [_report_nothing, _leave_silent])
def test_an_adopted_worker_is_removed_once_nothing_can_run_there(
    before: Callable[[_NextLeader], None],
) -> None:
    leader = _adopt()
    before(leader)
    leader.watch.read_all()
    at_ms = leader.harness.at_ms + TIMING.handover_ms
    leader.scheduler.expire_leases(at_ms - MARGIN_MS)
    assert 'w1' in leader.scheduler.workers
    leader.scheduler.expire_leases(at_ms + 1)
    assert 'w1' not in leader.scheduler.workers


def test_an_empty_adopted_worker_is_in_use_no_more() -> None:
    leader = _adopt()
    leader.harness.report_listing('w1')
    leader.watch.refresh_roster()
    assert not leader.state.roster.in_use


def test_a_lost_roster_write_adopts_nobody() -> None:
    """The worker would get a lease of which the next leader doesn't know."""
    left = Roster(frozenset(), {'w1': TIMING.lease_ms}, {'w1': ADDRESS})
    leader = _NextLeader(left, 0, ANSWERED)
    leader.store.loses_answers = True
    leader.ask()
    assert leader.scheduler.absent_ids(now_ms()) == ['w1']
    leader.store.loses_answers = False
    leader.watch.refresh_roster()
    assert leader.store.roster.in_use == W1
    assert leader.scheduler.absent_ids(now_ms()) == ['w1']
    leader.prober.ask_due(now_ms() + PROBE_PAUSE_MS)
    wait_until(lambda: not leader.prober.is_asking)
    leader.prober.adopt_found()
    assert 'w1' in leader.scheduler.workers


def test_a_worker_that_registers_while_it_is_asked_is_kept() -> None:
    leader = _NextLeader(IN_USE, 0, ANSWERED)
    leader.prober.ask_due(now_ms())
    wait_until(lambda: not leader.prober.is_asking)
    known = registration('w1', address=ADDRESS)
    leader.watch.open_sessions(DirectoryPage((known,), 1))
    worker = leader.scheduler.workers['w1']
    leader.prober.adopt_found()
    assert leader.scheduler.workers['w1'] is worker
    assert worker.is_registered


def test_runs_of_a_worker_of_unknown_capacity_teach_nothing() -> None:
    """Its load can't be told, and its tasks would be throttled for that."""
    leader = _adopt()
    leader.harness.report_listing('w1', (RunningRow(RUN, '', 50, 900),))
    worker = leader.scheduler.workers['w1']
    assert not worker.sample.taken_ms


def _registered(**changes: object) -> WorkerRegistration:
    return registration('w1', **{'address': ADDRESS, **changes})


@dataclass(frozen=True)
class _Case:
    """What becomes of a worker in a term, and what the roster says then."""

    registrations: tuple[WorkerRegistration, ...]
    address: str
    is_absent: bool = False
    has_left: bool = False


CASES = {
    'registered': _Case((_registered(),), ADDRESS),
    'born anew elsewhere': _Case(
        (
            _registered(revision=1),
            _registered(address=OTHER_ADDRESS, incarnation_ms=2, revision=2),
        ),
        OTHER_ADDRESS,
    ),
    'an old registration': _Case(
        (
            _registered(address=OTHER_ADDRESS, incarnation_ms=2, revision=2),
            _registered(revision=1),
        ),
        OTHER_ADDRESS,
    ),
    'left the directory': _Case((_registered(),), ADDRESS, has_left=True),
    'draining': _Case((_registered(is_draining=True),), ADDRESS),
    'address held by another': _Case(
        (registration('w2', address=ADDRESS),), ADDRESS, is_absent=True
    ),
    'never registered': _Case((), ADDRESS, is_absent=True),
}


@pytest.mark.parametrize('case', CASES.values(), ids=CASES.keys())
def test_the_roster_has_the_address_that_is_sent_orders(case: _Case) -> None:
    leader = _NextLeader(IN_USE)
    for number, known in enumerate(case.registrations):
        leader.watch.open_sessions(DirectoryPage((known,), number))
    if case.has_left:
        leader.watch.read_all()
    leader.watch.refresh_roster()
    assert leader.state.roster.addresses['w1'] == case.address
    assert leader.state.roster.addresses.keys() == (
        leader.state.roster.worker_ids
    )
    assert ('w1' in leader.scheduler.absent_ids(now_ms())) == case.is_absent


@pytest.mark.proof('address-stored')
def test_a_worker_at_another_address_is_stored_before_it_is_used() -> None:
    """The next leader would ask at the old address, whose new holder's answer
    says nothing of the worker."""
    leader = _NextLeader(IN_USE)
    leader.watch.open_sessions(DirectoryPage((_registered(revision=1),), 1))
    moved = _registered(address=OTHER_ADDRESS, incarnation_ms=2, revision=2)
    leader.store.loses_answers = True
    with pytest.raises(StoreError):
        leader.watch.open_sessions(DirectoryPage((moved,), 2))
    known = leader.scheduler.workers['w1'].registration
    assert known.address == ADDRESS
    leader.store.loses_answers = False
    leader.watch.open_sessions(DirectoryPage((moved,), 2))
    assert leader.store.roster.addresses == {'w1': OTHER_ADDRESS}
    assert leader.state.has_marked_used(W1, {'w1': OTHER_ADDRESS})
    worker = leader.scheduler.workers['w1']
    assert worker.registration.address == OTHER_ADDRESS


def test_a_suspended_worker_keeps_its_address_on_the_roster() -> None:
    leader = _NextLeader(IN_USE)
    leader.watch.open_sessions(DirectoryPage((_registered(),), 1))
    worker = leader.scheduler.workers['w1']
    worker.unresponsive_since_ms = now_ms() - MARGIN_MS
    leader.watch.refresh_roster()
    assert leader.state.roster.remaining_ms.keys() == W1
    assert leader.state.roster.addresses == {'w1': ADDRESS}


def test_a_worker_replaced_in_the_directory_is_asked_again() -> None:
    """Its registration outlived it, and its session met another worker."""
    leader = _NextLeader(IN_USE, PROOF_MS)
    leader.watch.open_sessions(DirectoryPage((_registered(),), 1))
    worker = leader.scheduler.workers['w1']
    leader.prober.ask_due(now_ms())
    assert not leader.prober.is_asking
    leader.service.on_incarnation_ended(worker, is_replaced=True)
    assert leader.is_waiting()
    leader.ask()
    assert not leader.is_waiting()


def test_a_leader_that_leaves_tells_addresses() -> None:
    leader = _NextLeader(IN_USE)
    leader.watch.open_sessions(DirectoryPage((_registered(),), 1))
    leader.watch.save_final_roster()
    assert leader.state.roster.addresses == {'w1': ADDRESS}


def test_a_change_without_a_registration_ends_no_wait() -> None:
    """A worker that leaves the directory may run on."""
    leader = _NextLeader(IN_USE, PROOF_MS)
    leader.watch.open_sessions(DirectoryPage((_registered(),), 1))
    leader.scheduler.mark_deregistered('w1', now_ms())
    assert RegistrationChange('w1', None, 2).registration is None
    assert leader.is_waiting()
