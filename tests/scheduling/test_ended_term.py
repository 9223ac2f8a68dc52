"""A process ends the leader term of the process before it at its address."""

import random
from dataclasses import replace

import msgspec
import pytest

from gentianpulley.cluster.election_policy import Candidate
from gentianpulley.cluster.ended_term import EndedTerm, create_ended_roster
from gentianpulley.cluster.handover_state import ROSTER_KEY
from gentianpulley.cluster.job_storage import LEADER_KEY
from gentianpulley.cluster.roster import Roster, decode_roster, encode_roster
from gentianpulley.cluster.scheduler_state import LeaderTerm
from gentianpulley.cluster.term_record import TermRecord
from gentianpulley.cluster.timing import CLOCK_DRIFT
from gentianpulley.errors import StoreError
from gentianpulley.logs import EventLog
from gentianpulley.store import (
    CommitResult,
    Put,
    Transaction,
)
from tests.scheduling.harness import START_MS, TIMING, create_harness
from tests.scheduling.simulated_store import SimulatedStore

OWN = Candidate('n0', address='10.0.0.1:80')
NO_WORKERS: frozenset[str] = frozenset()
W1 = frozenset(('w1',))
RUN_MS = TIMING.max_run_ms
SHORT_MS = 700
RESTART_MS = 500


class OlderDocument(msgspec.Struct):
    """A roster as the release before this one reads it."""

    used: list[str]
    left_ms: dict[str, int]


class ScriptedStore(SimulatedStore):
    """A store that answers each commit, unless a test sets `faults`.

    Each fault takes the next commit: 'lost' applies it without an answer,
    'late' keeps it for `apply_held_commits`, and 'refused' drops it. While
    `always_fails` is set, no preconditions hold.
    """

    def __init__(self) -> None:
        """Start empty."""
        super().__init__(random.Random(0))
        self.faults: list[str] = []
        self.always_fails = False
        self.held_commits: list[Transaction] = []

    def commit(self, txn: Transaction) -> CommitResult:
        """Apply a transaction, or do what the next fault says."""
        if self.always_fails:
            return CommitResult(False, 1)
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'late':
            self.held_commits.append(txn)
        elif fault == 'refused':
            raise StoreError(fault)
        else:
            commit = self._apply(txn)
        if fault:
            raise StoreError(fault)
        return commit

    def apply_held_commits(self) -> None:
        """Apply the commits that were kept, in order."""
        for txn in self.held_commits:
            self._apply(txn)
        self.held_commits.clear()

    def roster(self) -> Roster:
        """Return the stored roster."""
        entry = self.read(ROSTER_KEY)
        assert entry is not None
        return decode_roster(entry.body)


class Former:
    """A leader that uses `w1`, and what the next process makes of its term."""

    def __init__(
        self, *, led_ms: int = 0, holder: Candidate = OWN, saves: bool = True
    ) -> None:
        """Lead for a time, write the roster, and be killed."""
        self.store = ScriptedStore()
        self.state = self.store.elect_leader(holder)
        self.token = self.state.store.leader.revision
        self.harness = create_harness('w1', roster=W1)
        self.harness.scheduler.term = LeaderTerm(
            self.token, START_MS, W1, TIMING
        )
        self.killed_ms = START_MS + led_ms
        if saves:
            self.save(self.killed_ms)

    def save(self, at_ms: int) -> None:
        """Write the roster as a leader does."""
        scheduler = self.harness.scheduler
        roster = scheduler.build_roster(NO_WORKERS, NO_WORKERS, at_ms)
        self.state.save_roster(scheduler.with_term_record(roster, at_ms))

    def next_process(self) -> EndedTerm:
        """Return what the next process has to end, before its first call."""
        return EndedTerm(OWN, self.store.as_store(), TIMING, EventLog())

    def has_key(self) -> bool:
        """Return whether the leader's key exists."""
        return self.store.read(LEADER_KEY) is not None

    def successor_wait_ms(self) -> int:
        """Return for how long the next leader waits for runs on `w1`."""
        roster = self.store.elect_leader(Candidate('n1')).load_roster()
        term = LeaderTerm(
            self.token + 1,
            START_MS,
            roster.worker_ids,
            TIMING,
            roster.run_deadlines(START_MS),
        )
        return term.earlier_runs_until_ms('w1') - START_MS


@pytest.mark.proof('ended-term')
def test_the_wait_was_that_for_a_leader_that_may_act_on() -> None:
    """It was 9.8 s though the leader's process was known to be gone."""
    former = Former(led_ms=TIMING.handover_ms + 1)
    former.next_process().end(former.killed_ms + RESTART_MS)
    assert not former.has_key()
    assert former.successor_wait_ms() == RUN_MS


@pytest.mark.proof('earlier-terms')
@pytest.mark.parametrize(
    ('led_ms', 'wait_ms'),
    [
        (0, TIMING.handover_ms),
        (1000, TIMING.handover_ms - 1000),
    ],
)
def test_a_leader_before_that_one_may_still_act(
    led_ms: int, wait_ms: int
) -> None:
    """Its last lease is waited out if that is the later one."""
    former = Former(led_ms=led_ms)
    former.next_process().end(former.killed_ms)
    assert former.successor_wait_ms() == wait_ms


@pytest.mark.parametrize(
    'led_ms', [TIMING.handover_ms - RUN_MS, TIMING.handover_ms + 1]
)
def test_the_last_lease_of_that_one_is_waited_out(led_ms: int) -> None:
    former = Former(led_ms=led_ms)
    former.next_process().end(former.killed_ms)
    assert former.successor_wait_ms() == RUN_MS


@pytest.mark.proof('earlier-terms')
def test_a_listing_does_not_end_the_wait_for_the_leader_before() -> None:
    """It may meet the worker's next incarnation, which has seen no token."""
    former = Former(saves=False)
    former.harness.report_listing('w1')
    assert former.harness.scheduler.is_handover_complete(START_MS)
    former.save(START_MS)
    former.next_process().end(START_MS)
    assert former.successor_wait_ms() == TIMING.handover_ms


def test_the_wait_counts_from_the_first_attempt() -> None:
    former = Former(led_ms=TIMING.handover_ms + 1)
    former.store.faults = ['refused']
    process = former.next_process()
    with pytest.raises(StoreError):
        process.end(former.killed_ms)
    assert former.has_key()
    process.end(former.killed_ms + RUN_MS - SHORT_MS)
    assert former.successor_wait_ms() == SHORT_MS


@pytest.mark.proof('same-machine')
@pytest.mark.parametrize(
    'holder',
    [
        replace(OWN, address='10.0.0.2:80'),
        replace(OWN, instance='n1'),
        replace(OWN, address=''),
    ],
    ids=['replaced machine', 'another instance', 'older release'],
)
def test_the_term_of_a_process_that_may_act_on_is_not_ended(
    holder: Candidate,
) -> None:
    former = Former(holder=holder)
    body = former.store.read(ROSTER_KEY)
    former.next_process().end(START_MS)
    assert former.has_key()
    assert former.store.read(ROSTER_KEY) == body


def test_without_an_address_of_its_own_a_process_ends_nothing() -> None:
    nameless = replace(OWN, address='')
    former = Former(holder=nameless)
    EndedTerm(nameless, former.store.as_store(), TIMING, EventLog()).end(
        START_MS
    )
    assert former.has_key()


@pytest.mark.parametrize(
    'body',
    [
        encode_roster(Roster(W1)),
        encode_roster(Roster(W1, term=TermRecord(7_000, 0))),
        b'["w1"]',
        b'{"used":["w1"],"left_ms":{},"term":{"token":"1"}}',
        b'{',
    ],
    ids=['older release', 'another term', 'list', 'damaged record', 'damaged'],
)
def test_a_roster_that_tells_nothing_stays_as_it_is(body: bytes) -> None:
    """The next leader waits for as long as any leader may act."""
    former = Former(saves=False)
    put = Put(ROSTER_KEY, body)
    former.state.store.commit(Transaction((), (put,)))
    former.next_process().end(START_MS)
    assert not former.has_key()
    entry = former.store.read(ROSTER_KEY)
    assert entry is not None
    assert entry.body == body


def test_without_a_roster_only_the_key_is_deleted() -> None:
    former = Former(saves=False)
    former.next_process().end(START_MS)
    assert not former.has_key()
    assert former.store.read(ROSTER_KEY) is None


@pytest.mark.proof('ended-early')
def test_what_a_restarted_worker_accepted_ran_on_beside_the_next_run() -> None:
    """It restarted unnoticed just before the leader's process was killed. The
    deadline of the last order is far ahead on its new clock."""
    former = Former(led_ms=TIMING.handover_ms + 1)
    former.next_process().end(former.killed_ms)
    longest_ms = TIMING.max_lease_ms / (1 - CLOCK_DRIFT)
    assert former.successor_wait_ms() > longest_ms


def test_what_the_former_leader_told_of_other_workers_stays() -> None:
    roster = Roster(
        frozenset(('used', 'unanswered')),
        {'suspended': SHORT_MS, 'absent': TIMING.handover_ms},
        {'used': 'host:80', 'absent': 'host:81'},
        TermRecord(1, SHORT_MS, frozenset(('unanswered', 'none'))),
    )
    assert create_ended_roster(roster, 1, RUN_MS) == Roster(
        frozenset(('unanswered',)),
        {
            'suspended': SHORT_MS,
            'absent': TIMING.handover_ms,
            'used': RUN_MS,
        },
        roster.addresses,
    )


def test_an_end_without_an_answer_is_made_sure_of() -> None:
    former = Former(led_ms=TIMING.handover_ms + 1)
    former.store.faults = ['lost']
    process = former.next_process()
    with pytest.raises(StoreError):
        process.end(former.killed_ms)
    process.end(former.killed_ms + RESTART_MS)
    assert former.successor_wait_ms() == RUN_MS


@pytest.mark.proof('ended-late')
@pytest.mark.parametrize('is_same', [True, False])
def test_an_end_that_arrives_late_changes_no_later_term(is_same: bool) -> None:
    """Neither one of this process, nor one of another instance."""
    former = Former(led_ms=TIMING.handover_ms + 1)
    former.store.faults = ['late']
    with pytest.raises(StoreError):
        former.next_process().end(former.killed_ms)
    later = former.store.elect_leader(OWN if is_same else Candidate('n1'))
    later.load_roster()
    former.store.apply_held_commits()
    assert former.has_key()
    later.save_roster(Roster(frozenset(('w2',))))
    assert former.store.roster().in_use == frozenset(('w2',))


def test_a_process_that_was_killed_before_or_after_the_end() -> None:
    former = Former(led_ms=TIMING.handover_ms + 1)
    former.store.faults = ['late', 'lost']
    for _ in range(2):
        with pytest.raises(StoreError):
            former.next_process().end(former.killed_ms)
    former.store.apply_held_commits()
    former.next_process().end(former.killed_ms + RESTART_MS)
    assert not former.has_key()
    assert former.successor_wait_ms() == RUN_MS


@pytest.mark.proof('ended-late')
def test_a_roster_write_of_the_former_process_arrives_late() -> None:
    """It came between the read and the end, and was lost."""
    former = Former(led_ms=TIMING.handover_ms + 1)
    former.harness.add_worker('w2')
    former.store.faults = ['late']
    with pytest.raises(StoreError):
        former.save(former.killed_ms)
    process = former.next_process()
    read = former.store.read

    def read_and_apply(key: str) -> object:
        entry = read(key)
        if key == ROSTER_KEY:
            former.store.apply_held_commits()
        return entry

    former.store.read = read_and_apply  # type: ignore[assignment,method-assign]
    process.end(former.killed_ms)
    assert former.store.roster().remaining_ms.keys() == {'w1', 'w2'}


def test_a_stop_that_was_cut_short_leaves_its_final_roster() -> None:
    former = Former(led_ms=TIMING.handover_ms + 1)
    scheduler = former.harness.scheduler
    roster = scheduler.build_final_roster(W1, former.killed_ms)
    former.state.save_roster(
        scheduler.with_term_record(roster, former.killed_ms)
    )
    former.next_process().end(former.killed_ms)
    assert not former.has_key()
    assert former.store.roster() == roster


def test_only_the_former_process_has_its_term_ended() -> None:
    """Later, the key may be that of this process."""
    former = Former()
    process = former.next_process()
    process.end(START_MS)
    former.store.elect_leader(OWN)
    process.end(START_MS)
    assert former.has_key()


def test_no_process_runs_for_leader_while_the_store_does_not_answer() -> None:
    former = Former()
    former.store.faults = ['refused', 'refused']
    process = former.next_process()
    for _ in range(2):
        with pytest.raises(StoreError):
            process.end(START_MS)
    process.end(START_MS)
    assert not former.has_key()


def test_a_term_that_keeps_changing_is_given_up_for_now() -> None:
    former = Former()
    changing = former.next_process()
    former.store.always_fails = True
    with pytest.raises(StoreError):
        changing.end(START_MS)


def test_a_roster_of_this_release_is_read_by_older_ones() -> None:
    """They ignore the record, and wait as they would without it."""
    roster = Roster(W1, {'gone': SHORT_MS}, term=TermRecord(3, SHORT_MS, W1))
    body = encode_roster(roster)
    assert decode_roster(body) == roster
    older = msgspec.json.decode(body, type=OlderDocument)
    assert (older.used, older.left_ms) == (['w1'], {'gone': SHORT_MS})
