"""Leading: the threads of one reign, from loading to handing over.

The order matters: the leader's key first, then the workers, then a fence at
each, which returns what runs there and renews its lease. Jobs are loaded
meanwhile, as that takes the longer the more is stored. Only then are the lists
read.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import chain
from typing import Final

import msgspec

from gentianpulley.cluster.advice import AdviceService
from gentianpulley.cluster.advice_loop import AdviceLoop
from gentianpulley.cluster.capacity import DEFAULT_LINK_BYTES_S
from gentianpulley.cluster.directory import WorkerDirectory
from gentianpulley.cluster.job_storage import (
    LeaderJobStore,
    LoadedJobs,
    split_into_batches,
)
from gentianpulley.cluster.job_watches import CancellationWatch, JobWatch
from gentianpulley.cluster.handover_state import INTERFERENCE_KEY, HandoverState
from gentianpulley.cluster.leader_store import (
    DeposedError,
    create_leader_store,
    call_with_retries,
)
from gentianpulley.cluster.leader_watches import (
    RETRY_DELAY_S,
    WorkerWatch,
)
from gentianpulley.cluster.worker_protocol import WorkerClientFactory
from gentianpulley.cluster.machines import MachineProvider, WaveRequest
from gentianpulley.cluster.scheduler_service import SchedulerService, Leadership
from gentianpulley.cluster.scheduler import create_scheduler
from gentianpulley.cluster.scheduler_state import LeaderTerm
from gentianpulley.cluster.timing import LEADER_TTL_S, Timing
from gentianpulley.cluster.maintenance_loop import MaintenanceLoop
from gentianpulley.counters import Counters
from gentianpulley.deadline import MS_PER_SECOND, now_ms
from gentianpulley.errors import StoreError
from gentianpulley.logs import EventLog
from gentianpulley.store import Precondition, Store

MIN_PLAN_PAUSE_S: Final = 0.015
"""Shortest time between two plans, so that ends that come together share
one."""

PLAN_PAUSE_FACTOR: Final = 3
"""Pause after a plan in units of its cost: a site that is full of waiting work
leaves processor time to the threads that speak with workers."""

MAX_PLAN_WAIT_S: Final = 0.2
"""Longest time between two plans: lapses and due times need no event."""

MIN_SAVE_PAUSE_S: Final = 0.025
"""Shortest time between two writes of records: ends share a call. A look that
comes before the ends of the one before are written returns at once, for the
same ends, so this stays below the gap between looks."""

MAX_SAVE_WAIT_S: Final = 0.5
"""Longest time between two writes: what begins is written without an event."""

INTERFERENCE_SAVE_INTERVAL_S: Final = 1.0
"""Time between two writes of the learned harm: one call, and a successor
learns again at most what a second showed."""

LEASE_SAFETY_MARGIN_MS: Final = 100
"""Taken off the lease of the leader's key: rounding and drift of clocks."""

ROSTER_RETRIES: Final = 2
"""A write of the roster that was carried out, though its answer was lost, is
refused as an older one the next time."""

HAND_OVER_DRAIN_S: Final = 0.3
"""How long a leader that hands over waits for answers under way."""


@dataclass(frozen=True, slots=True)
class LeaderDependencies:
    """What a leader works with.

    `status_ms` is how long ends are kept, `maintenance_ms` how long a machine
    is down for upkeep, `link_bytes_s` what the own link carries.

    A site without queues that need tickets has no `advice_service`, one whose
    machines cannot be asked for has no `machine_provider`.
    """

    store: Store
    directory: WorkerDirectory
    worker_client_factory: WorkerClientFactory
    advice_service: AdviceService | None
    machine_provider: MachineProvider | None
    timing: Timing
    status_ms: int
    maintenance_ms: int
    counters: Counters
    log: EventLog
    link_bytes_s: int = DEFAULT_LINK_BYTES_S


class Leader:
    """One reign of this instance."""

    def __init__(
        self,
        dependencies: LeaderDependencies,
        guard: Precondition,
        leadership: Leadership,
    ) -> None:
        """Prepare; `guard` is the leader's key at the reign's token."""
        self._parts = dependencies
        self._log = dependencies.log
        self._tenure = leadership
        self._store = create_leader_store(dependencies.store, guard)
        self._book = LeaderJobStore(self._store, dependencies.log)
        self._notes = HandoverState(self._store)
        self._token = guard.revision
        self._office: SchedulerService | None = None
        self._saving = threading.Lock()
        self._closed_domains: frozenset[str] = frozenset()
        self._next_harm_ms = 0
        self._saved_harm = b''
        self._upkeep: MaintenanceLoop | None = None
        self._workers: WorkerWatch | None = None

    @property
    def scheduler_service(self) -> SchedulerService | None:
        """Return what the threads share, None before the reign is open."""
        return self._office

    def open(self) -> None:
        """Fence the workers, load the jobs and start to schedule.

        Raises `StoreError` when something could not be read.
        """
        reign = _begin_reign(self._token, self._parts, self._notes)
        page = call_with_retries(self._parts.directory.read, self._log)
        office = self._open_office(reign)
        office.begin_loading()
        workers = _watch_workers(office, self._parts, self._notes)
        self._workers = workers
        call_with_retries(
            partial(workers.open_sessions, page), self._log, ROSTER_RETRIES
        )
        loaded = self._book.load()
        if loaded.jobs:
            # A successor may have begun those that came while they were read.
            self._tenure.wait_until_exclusive()
        office.load_inherited_jobs(loaded.jobs, loaded.cancelled)
        detail = f'{len(loaded.jobs)} jobs'
        self._log.leader_state('leads', self._token, detail)
        _start('workers', lambda: workers.run(page.revision))
        _follow_jobs(office, self._parts.store, self._book, loaded)
        self._start_loops(office, workers)

    def replace_closed_domains(self, domains: frozenset[str]) -> None:
        """Start nothing in these failure domains from now on."""
        self._closed_domains = domains
        office = self._office
        if office is not None:
            with office.lock:
                office.scheduler.closed_domains = domains
            office.plan_requested.set()

    def replace_wave_requests(self, requests: tuple[WaveRequest, ...]) -> None:
        """Carry out these waves of upkeep from now on."""
        if self._upkeep is not None:
            self._upkeep.wave_requests = requests

    def hand_over(self) -> None:
        """Let answers under way arrive, and write what is known."""
        office = self._office
        self._tenure.resign('handed over')
        if office is None:
            return
        threading.Event().wait(HAND_OVER_DRAIN_S)
        try:
            self._leave(office)
        except StoreError as exc:
            self._log.store_trouble(exc.text)
        self.close()

    def close(self) -> None:
        """End all threads; orders under way are fenced by the successor."""
        office = self._office
        if office is not None:
            office.resign('closed')
            office.close()
        self._log.leader_state('ended', self._token, self._tenure.reason)

    def _leave(self, office: SchedulerService) -> None:
        """Write what the successor needs, at its latest state."""
        self._save(office)
        if self._workers is not None:
            self._workers.save_final_roster()
        self._next_harm_ms = 0
        self._save_harm(office)

    def _open_office(self, reign: LeaderTerm) -> SchedulerService:
        scheduler = create_scheduler(reign, self._log)
        scheduler.closed_domains = self._closed_domains
        office = SchedulerService(
            scheduler, self._tenure, self._parts.counters, self._log
        )
        self._take_harm(office)
        self._office = office
        return office

    def _take_harm(self, office: SchedulerService) -> None:
        """Begin with the harm that the former leader learned."""
        body = call_with_retries(self._notes.load_interference, self._log)
        if body is None:
            return
        try:
            office.scheduler.interference.load(body)
        except msgspec.DecodeError as exc:
            # The leader learns the harm anew, as the first one does.
            self._log.document_damaged(INTERFERENCE_KEY, str(exc))

    def _start_loops(
        self, office: SchedulerService, workers: WorkerWatch
    ) -> None:
        park = self._parts.machine_provider
        if park is not None:
            upkeep_ms = self._parts.maintenance_ms
            self._upkeep = MaintenanceLoop(office, park, self._notes, upkeep_ms)
            self._upkeep.start()
        if self._parts.advice_service is not None:
            AdviceLoop(office, self._parts.advice_service).start()
        _start('plan', lambda: self._plan_loop(office))
        _start('save', lambda: self._save_loop(office, workers))

    def _plan_loop(self, office: SchedulerService) -> None:
        while not self._tenure.is_over():
            office.plan_requested.wait(MAX_PLAN_WAIT_S)
            office.plan_requested.clear()
            try:
                office.plan()
                office.detach_removed_workers()
            except Exception as fault:
                # One faulty plan must not end the thread that plans.
                self._log.internal_fault(repr(fault))
            threading.Event().wait(_plan_gap_s(office))

    def _save_loop(
        self, office: SchedulerService, workers: WorkerWatch
    ) -> None:
        while not self._tenure.is_over():
            office.save_requested.wait(MAX_SAVE_WAIT_S)
            office.save_requested.clear()
            gap_s = MIN_SAVE_PAUSE_S
            try:
                self._save_and_tidy(office, workers)
            except DeposedError as exc:
                office.resign(exc.text)
            except StoreError as exc:
                self._log.store_trouble(exc.text)
                office.save_requested.set()
                gap_s = RETRY_DELAY_S
            except Exception as fault:
                # Without this thread nothing is written or acknowledged.
                self._log.internal_fault(repr(fault))
                gap_s = RETRY_DELAY_S
            threading.Event().wait(gap_s)

    def _save_and_tidy(
        self, office: SchedulerService, workers: WorkerWatch
    ) -> None:
        self._save(office)
        workers.prune_roster()
        self._save_harm(office)
        self._book.delete_ended(now_ms() - self._parts.status_ms)

    def _save_harm(self, office: SchedulerService) -> None:
        """Write the learned harm from time to time."""
        at_ms = now_ms()
        if at_ms < self._next_harm_ms:
            return
        self._next_harm_ms = at_ms + int(
            INTERFERENCE_SAVE_INTERVAL_S * MS_PER_SECOND
        )
        with office.lock:
            learned = office.scheduler.interference.export()
        if learned != self._saved_harm:
            self._notes.save_interference(learned)
            self._saved_harm = learned

    def _save(self, office: SchedulerService) -> None:
        """Write all changed records; their ends may then be acknowledged."""
        with self._saving:
            with office.lock:
                number = office.scheduler.change_number
                changed = office.scheduler.changed_jobs()
            batches = split_into_batches(changed)
            try:
                self._book.save(batches)
            except Exception:
                # Whatever failed, the next write acknowledges these ends too.
                with office.lock:
                    office.scheduler.mark_unsaved(list(chain(*batches)))
                raise
            office.acknowledge_saved_ends(number)


def leadership_end_ms(sent_ms: int, timing: Timing) -> int:
    """Return until when a leader may act after a renewal sent then."""
    return sent_ms + timing.leadership_ms


def exclusive_end_ms(sent_ms: int) -> int:
    """Return until when a renewal sent then surely keeps the leader's key."""
    return sent_ms + LEADER_TTL_S * MS_PER_SECOND - LEASE_SAFETY_MARGIN_MS


def create_leadership(sent_ms: int, timing: Timing) -> Leadership:
    """Return the tenure that begins with a lease asked for at a time."""
    return Leadership(
        leadership_end_ms(sent_ms, timing), exclusive_end_ms(sent_ms)
    )


def _begin_reign(
    token: int, parts: LeaderDependencies, notes: HandoverState
) -> LeaderTerm:
    since_ms = now_ms()
    roster = call_with_retries(notes.load_roster, parts.log)
    return LeaderTerm(
        token,
        since_ms,
        roster.worker_ids,
        parts.timing,
        roster.run_deadlines(now_ms()),
        parts.link_bytes_s,
    )


def _watch_workers(
    office: SchedulerService, parts: LeaderDependencies, notes: HandoverState
) -> WorkerWatch:
    return WorkerWatch(
        office, parts.directory, parts.worker_client_factory, notes
    )


def _follow_jobs(
    office: SchedulerService,
    store: Store,
    book: LeaderJobStore,
    loaded: LoadedJobs,
) -> None:
    jobs = JobWatch(office, store, book)
    cancels = CancellationWatch(office, store)
    _start('jobs', lambda: jobs.run(loaded.jobs_revision))
    _start('cancels', lambda: cancels.run(loaded.cancellations_revision))


def _plan_gap_s(office: SchedulerService) -> float:
    """Return the pause after a plan; dear plans are made less often."""
    return max(MIN_PLAN_PAUSE_S, office.plan_cost_s * PLAN_PAUSE_FACTOR)


def _start(name: str, target: Callable[[], None]) -> None:
    threading.Thread(target=target, name=name, daemon=True).start()
