"""A platform's machines and store on a simulated clock, for maintenance loops.

Each leader has its own link to the store, which can be cut.
"""

from dataclasses import dataclass, field, replace

from gentianpulley.cluster.job_storage import LEADER_KEY
from gentianpulley.cluster.leader_store import LeaderStore, create_leader_store
from gentianpulley.cluster.machines import (
    MachineInfo,
    MachineProvider,
    MachineState,
    MaintenanceOrder,
    MaintenanceOutcome,
    WaveRequest,
)
from gentianpulley.cluster.maintenance_loop import MaintenanceLoop
from gentianpulley.cluster.scheduler_service import Leadership, SchedulerService
from gentianpulley.cluster.wave_records import WaveRecords
from gentianpulley.counters import create_counters
from gentianpulley.errors import StoreAnswerLostError, StoreUnreachableError
from gentianpulley.logs import EventLog
from gentianpulley.platform.kv_store import KvStore
from gentianpulley.store import (
    ABSENT,
    CommitResult,
    Entry,
    Page,
    Precondition,
    Put,
    Transaction,
)
from tests.scheduling.harness import START_MS, SchedulerHarness

MAINTENANCE_MS = 2000
LATE_MS = 10_000
LEADERSHIP_MS = 4000
KEY_MS = 2000
PASS_MS = 200
FIRST_ORDER_MS = 1200
"""Until a new leader has sent its first order: the former one's stops are over
by then."""


@dataclass
class Begun:
    """One maintenance that began, and what was down for its own."""

    machine_id: str
    token: int
    at_ms: int
    others_down: frozenset[str]


class MemoryStore:
    """Keys with revisions; no leases expire by themselves."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[str, Entry] = {}
        self.revision = 0

    def commit(self, txn: Transaction) -> CommitResult:
        """Apply a transaction if its preconditions hold."""
        for precondition in txn.preconditions:
            entry = self.entries.get(precondition.key)
            revision = entry.revision if entry else ABSENT
            if revision != precondition.revision:
                return CommitResult(
                    applied=False,
                    revision=self.revision,
                    current=tuple(
                        self.entries[each.key]
                        for each in txn.preconditions
                        if each.key in self.entries
                    ),
                )
        self.revision += 1
        for put in txn.puts:
            self.entries[put.key] = Entry(put.key, put.body, self.revision)
        for key in txn.deletes:
            self.entries.pop(key, None)
        return CommitResult(applied=True, revision=self.revision)


class StoreLink(KvStore):
    """One instance's link to the store.

    While it `is_late`, writes get no response and wait in `late_writes`.
    """

    def __init__(self, store: MemoryStore) -> None:
        """Start with a link that works."""
        self.store = store
        self.is_cut = False
        self.is_late = False
        self.late_writes: list[Transaction] = []

    def commit(self, txn: Transaction) -> CommitResult:
        """Apply a transaction."""
        self._check()
        if self.is_late:
            self.late_writes.append(txn)
            raise StoreAnswerLostError('late')
        return self.store.commit(txn)

    def read(self, key: str) -> Entry | None:
        """Return an entry."""
        self._check()
        return self.store.entries.get(key)

    def read_page(self, prefix: str, after: str) -> Page:
        """Return all entries below a prefix, which is one page."""
        self._check()
        entries = tuple(
            entry
            for key, entry in sorted(self.store.entries.items())
            if key.startswith(prefix) and key > after
        )
        return Page(entries, self.store.revision, is_last=True)

    def _check(self) -> None:
        if self.is_cut:
            raise StoreUnreachableError('cut')


class Platform(MachineProvider):
    """Machines that are renewed; fences count for each machine separately.

    The next `unanswered` orders get no answer and arrive `LATE_MS` later. A
    `refusal` is the answer to all others.
    """

    def __init__(self, machine_ids: tuple[str, ...]) -> None:
        """Start with machines that are up."""
        self.at_ms = START_MS
        self.states = dict.fromkeys(machine_ids, MachineState.UP)
        self.lives = dict.fromkeys(machine_ids, 1)
        self.begun: list[Begun] = []
        self.ordered_ms: list[int] = []
        self.lists = 0
        self.unanswered = 0
        self.refusal: MaintenanceOutcome | None = None
        self._fences = dict.fromkeys(machine_ids, 0)
        self._late: list[tuple[int, MaintenanceOrder]] = []
        self._done: set[tuple[str, int]] = set()

    def worker_id(self, machine_id: str) -> str:
        """Return the id of a machine's worker."""
        return f'{machine_id}-{self.lives[machine_id]}'

    def list_machines(self) -> tuple[MachineInfo, ...]:
        """Return all machines."""
        self.lists += 1
        return tuple(
            MachineInfo(
                machine_id,
                state,
                self.worker_id(machine_id) if state is MachineState.UP else '',
            )
            for machine_id, state in self.states.items()
        )

    def report_wave(
        self, wave: int, store: LeaderStore, *, is_completed: bool
    ) -> None:
        """Write the status of a wave."""
        put = Put(f'status/wave/{wave}', str(is_completed).encode())
        store.commit(Transaction((), (put,)))

    def begin_maintenance(self, order: MaintenanceOrder) -> MaintenanceOutcome:
        """Handle an order, or lose it on the way."""
        self.ordered_ms.append(self.at_ms)
        if self.unanswered:
            self.unanswered -= 1
            self._late.append((self.at_ms + LATE_MS, order))
            return MaintenanceOutcome.LOST
        return self.refusal or self._handle(order)

    def forget_late_orders(self) -> None:
        """Lose the orders that have not arrived."""
        self._late.clear()

    def advance(self, duration_ms: int) -> None:
        """Let time pass: maintenance ends, and late orders arrive."""
        self.at_ms += duration_ms
        for begun in self.begun:
            ends_ms = begun.at_ms + MAINTENANCE_MS
            if self.at_ms - duration_ms < ends_ms <= self.at_ms:
                self.states[begun.machine_id] = MachineState.UP
                self.lives[begun.machine_id] += 1
        due = [each for each in self._late if each[0] <= self.at_ms]
        for arrival in due:
            self._late.remove(arrival)
            self._handle(arrival[1])

    def _handle(self, order: MaintenanceOrder) -> MaintenanceOutcome:
        machine_id = order.machine_id
        if order.token < self._fences[machine_id]:
            return MaintenanceOutcome.FENCED
        self._fences[machine_id] = order.token
        if (machine_id, order.wave) in self._done:
            return MaintenanceOutcome.BEGUN
        if self.states[machine_id] is not MachineState.UP:
            return MaintenanceOutcome.BUSY
        self._done.add((machine_id, order.wave))
        others = frozenset(
            other
            for other, state in self.states.items()
            if state is MachineState.MAINTENANCE
        )
        self.begun.append(Begun(machine_id, order.token, self.at_ms, others))
        self.states[machine_id] = MachineState.MAINTENANCE
        return MaintenanceOutcome.BEGUN


@dataclass(frozen=True)
class UpkeepLeader:
    """An instance that got the leader's key, and its maintenance loop."""

    loop: MaintenanceLoop
    link: StoreLink
    leadership: Leadership
    token: int


@dataclass
class UpkeepSite:
    """A platform, its store and the waves that operators request."""

    platform: Platform
    requests: tuple[WaveRequest, ...]
    store: MemoryStore = field(default_factory=MemoryStore)

    def elect(self, harness: SchedulerHarness) -> UpkeepLeader:
        """Give the leader's key to a new instance."""
        self.store.commit(Transaction((), (Put(LEADER_KEY, b''),)))
        token = self.store.revision
        link = StoreLink(self.store)
        leadership = Leadership(0, 0)
        service = SchedulerService(
            harness.scheduler, leadership, create_counters(), EventLog()
        )
        harness.scheduler.term = replace(
            service.term, token=token, since_ms=self.platform.at_ms
        )
        records = WaveRecords(
            create_leader_store(link, Precondition(LEADER_KEY, token)),
            EventLog(),
        )
        loop = MaintenanceLoop(service, self.platform, records, MAINTENANCE_MS)
        loop.wave_requests = self.requests
        leader = UpkeepLeader(loop, link, leadership, token)
        self._renew(leader)
        return leader

    def run(self, duration_ms: int, *leaders: UpkeepLeader) -> None:
        """Run passes of these leaders, the first one first."""
        until_ms = self.platform.at_ms + duration_ms
        while self.platform.at_ms < until_ms:
            for leader in leaders:
                self._renew(leader)
                leader.loop.step()
            self.platform.advance(PASS_MS)

    def _renew(self, leader: UpkeepLeader) -> None:
        """Renew the key if it is the leader's and the store is reachable."""
        holder = self.store.entries[LEADER_KEY].revision
        if holder == leader.token and not leader.link.is_cut:
            at_ms = self.platform.at_ms
            leader.leadership.extend(at_ms + LEADERSHIP_MS, at_ms + KEY_MS)
