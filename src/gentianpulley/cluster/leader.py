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

from gentianpulley.cluster.advice import Adviser
from gentianpulley.cluster.advice_loop import AdviceLoop
from gentianpulley.cluster.capacity import DEFAULT_LINK_BYTES_S
from gentianpulley.cluster.directory import WorkerDirectory
from gentianpulley.cluster.job_book import (
    JobBook,
    LoadedJobs,
    save_batches,
)
from gentianpulley.cluster.job_watches import CancelWatch, JobWatch
from gentianpulley.cluster.leader_notes import HARM_KEY, LeaderNotes
from gentianpulley.cluster.leader_store import (
    DeposedError,
    create_leader_store,
    insist,
)
from gentianpulley.cluster.leader_watches import (
    RETRY_S,
    WorkerWatch,
)
from gentianpulley.cluster.link import WorkerLinks
from gentianpulley.cluster.machines import MachinePark, WaveRequest
from gentianpulley.cluster.office import Office, Tenure
from gentianpulley.cluster.scheduler import create_scheduler
from gentianpulley.cluster.scheduler_state import Reign
from gentianpulley.cluster.timing import LEADER_TTL_S, Timing
from gentianpulley.cluster.upkeep_loop import UpkeepLoop
from gentianpulley.counters import Counters
from gentianpulley.deadline import MS_PER_SECOND, now_ms
from gentianpulley.errors import StoreError
from gentianpulley.logs import EventLog
from gentianpulley.store import Guard, Store

PLAN_GAP_S: Final = 0.015
"""Shortest time between two plans, so that ends that come together share
one."""

PLAN_PAUSES: Final = 3
"""Pause after a plan in units of its cost: a site that is full of waiting work
leaves processor time to the threads that speak with workers."""

IDLE_PLAN_S: Final = 0.2
"""Longest time between two plans: lapses and due times need no event."""

SAVE_GAP_S: Final = 0.025
"""Shortest time between two writes of records: ends share a call. A look that
comes before the ends of the one before are written returns at once, for the
same ends, so this stays below the gap between looks."""

IDLE_SAVE_S: Final = 0.5
"""Longest time between two writes: what begins is written without an event."""

HARM_SAVE_S: Final = 1.0
"""Time between two writes of the learned harm: one call, and a successor
learns again at most what a second showed."""

KEY_MARGIN_MS: Final = 100
"""Taken off the lease of the leader's key: rounding and drift of clocks."""

ROSTER_RETRIES: Final = 2
"""A write of the roster that was carried out, though its answer was lost, is
refused as an older one the next time."""

CLOSING_S: Final = 0.3
"""How long a leader that hands over waits for answers under way."""


@dataclass(frozen=True, slots=True)
class LeaderParts:
    """What a leader works with.

    `status_ms` is how long ends are kept, `upkeep_ms` how long a machine is
    down for upkeep, `link_bytes_s` what the own link carries.

    A site without queues that need tickets has no `adviser`, one whose
    machines cannot be asked for has no `park`.
    """

    store: Store
    directory: WorkerDirectory
    links: WorkerLinks
    adviser: Adviser | None
    park: MachinePark | None
    timing: Timing
    status_ms: int
    upkeep_ms: int
    counters: Counters
    log: EventLog
    link_bytes_s: int = DEFAULT_LINK_BYTES_S


class Leader:
    """One reign of this instance."""

    def __init__(
        self, parts: LeaderParts, guard: Guard, tenure: Tenure
    ) -> None:
        """Prepare; `guard` is the leader's key at the reign's token."""
        self._parts = parts
        self._log = parts.log
        self._tenure = tenure
        self._store = create_leader_store(parts.store, guard)
        self._book = JobBook(self._store, parts.log)
        self._notes = LeaderNotes(self._store)
        self._token = guard.revision
        self._office: Office | None = None
        self._saving = threading.Lock()
        self._closed_domains: frozenset[str] = frozenset()
        self._next_harm_ms = 0
        self._saved_harm = b''
        self._upkeep: UpkeepLoop | None = None
        self._workers: WorkerWatch | None = None

    @property
    def office(self) -> Office | None:
        """Return what the threads share, None before the reign is open."""
        return self._office

    def open(self) -> None:
        """Fence the workers, load the jobs and start to schedule.

        Raises `StoreError` when something could not be read.
        """
        reign = _begin_reign(self._token, self._parts, self._notes)
        page = insist(self._parts.directory.read, self._log)
        office = self._open_office(reign)
        office.await_jobs()
        workers = _watch_workers(office, self._parts, self._notes)
        self._workers = workers
        insist(partial(workers.take, page), self._log, ROSTER_RETRIES)
        loaded = self._book.load()
        if loaded.jobs:
            # A successor may have begun those that came while they were read.
            self._tenure.await_certainty()
        office.take_over(loaded.jobs, loaded.cancelled)
        detail = f'{len(loaded.jobs)} jobs'
        self._log.leader_state('leads', self._token, detail)
        _start('workers', lambda: workers.run(page.revision))
        _follow_jobs(office, self._parts.store, self._book, loaded)
        self._start_loops(office, workers)

    def close_domains(self, domains: frozenset[str]) -> None:
        """Start nothing in these failure domains from now on."""
        self._closed_domains = domains
        office = self._office
        if office is not None:
            with office.lock:
                office.scheduler.closed_domains = domains
            office.work_came.set()

    def open_waves(self, requests: tuple[WaveRequest, ...]) -> None:
        """Carry out these waves of upkeep from now on."""
        if self._upkeep is not None:
            self._upkeep.requests = requests

    def hand_over(self) -> None:
        """Let answers under way arrive, and write what is known."""
        office = self._office
        self._tenure.resign('handed over')
        if office is None:
            return
        threading.Event().wait(CLOSING_S)
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

    def _leave(self, office: Office) -> None:
        """Write what the successor needs, at its latest state."""
        self._save(office)
        if self._workers is not None:
            self._workers.leave_roster()
        self._next_harm_ms = 0
        self._save_harm(office)

    def _open_office(self, reign: Reign) -> Office:
        scheduler = create_scheduler(reign, self._log)
        scheduler.closed_domains = self._closed_domains
        office = Office(
            scheduler, self._tenure, self._parts.counters, self._log
        )
        self._take_harm(office)
        self._office = office
        return office

    def _take_harm(self, office: Office) -> None:
        """Begin with the harm that the former leader learned."""
        body = insist(self._notes.load_harm, self._log)
        if body is None:
            return
        try:
            office.scheduler.harm.load(body)
        except msgspec.DecodeError as exc:
            # The leader learns the harm anew, as the first one does.
            self._log.document_damaged(HARM_KEY, str(exc))

    def _start_loops(self, office: Office, workers: WorkerWatch) -> None:
        park = self._parts.park
        if park is not None:
            upkeep_ms = self._parts.upkeep_ms
            self._upkeep = UpkeepLoop(office, park, self._notes, upkeep_ms)
            self._upkeep.start()
        if self._parts.adviser is not None:
            AdviceLoop(office, self._parts.adviser).start()
        _start('plan', lambda: self._plan_loop(office))
        _start('save', lambda: self._save_loop(office, workers))

    def _plan_loop(self, office: Office) -> None:
        while not self._tenure.is_over():
            office.work_came.wait(IDLE_PLAN_S)
            office.work_came.clear()
            try:
                office.plan()
                office.detach_gone()
            except Exception as fault:
                # One faulty plan must not end the thread that plans.
                self._log.internal_fault(repr(fault))
            threading.Event().wait(_plan_gap_s(office))

    def _save_loop(self, office: Office, workers: WorkerWatch) -> None:
        while not self._tenure.is_over():
            office.ends_came.wait(IDLE_SAVE_S)
            office.ends_came.clear()
            gap_s = SAVE_GAP_S
            try:
                self._save_and_tidy(office, workers)
            except DeposedError as exc:
                office.resign(exc.text)
            except StoreError as exc:
                self._log.store_trouble(exc.text)
                office.ends_came.set()
                gap_s = RETRY_S
            except Exception as fault:
                # Without this thread nothing is written or acknowledged.
                self._log.internal_fault(repr(fault))
                gap_s = RETRY_S
            threading.Event().wait(gap_s)

    def _save_and_tidy(self, office: Office, workers: WorkerWatch) -> None:
        self._save(office)
        workers.shrink_roster()
        self._save_harm(office)
        self._book.forget_ended(now_ms() - self._parts.status_ms)

    def _save_harm(self, office: Office) -> None:
        """Write the learned harm from time to time."""
        at_ms = now_ms()
        if at_ms < self._next_harm_ms:
            return
        self._next_harm_ms = at_ms + int(HARM_SAVE_S * MS_PER_SECOND)
        with office.lock:
            learned = office.scheduler.harm.export()
        if learned != self._saved_harm:
            self._notes.save_harm(learned)
            self._saved_harm = learned

    def _save(self, office: Office) -> None:
        """Write all changed records; their ends may then be acknowledged."""
        with self._saving:
            with office.lock:
                number = office.scheduler.change_number
                changed = office.scheduler.changed_jobs()
            batches = save_batches(changed)
            try:
                self._book.save(batches)
            except Exception:
                # Whatever failed, the next write acknowledges these ends too.
                with office.lock:
                    office.scheduler.note_unsaved(list(chain(*batches)))
                raise
            office.note_saved(number)


def tenure_end_ms(sent_ms: int, timing: Timing) -> int:
    """Return until when a leader may act after a renewal sent then."""
    return sent_ms + timing.tenure_ms


def certain_end_ms(sent_ms: int) -> int:
    """Return until when a renewal sent then surely keeps the leader's key."""
    return sent_ms + LEADER_TTL_S * MS_PER_SECOND - KEY_MARGIN_MS


def open_tenure(sent_ms: int, timing: Timing) -> Tenure:
    """Return the tenure that begins with a lease asked for at a time."""
    return Tenure(tenure_end_ms(sent_ms, timing), certain_end_ms(sent_ms))


def _begin_reign(token: int, parts: LeaderParts, notes: LeaderNotes) -> Reign:
    since_ms = now_ms()
    roster = insist(notes.load_roster, parts.log)
    return Reign(
        token,
        since_ms,
        roster.worker_ids,
        parts.timing,
        roster.deadlines(now_ms()),
        parts.link_bytes_s,
    )


def _watch_workers(
    office: Office, parts: LeaderParts, notes: LeaderNotes
) -> WorkerWatch:
    return WorkerWatch(office, parts.directory, parts.links, notes)


def _follow_jobs(
    office: Office, store: Store, book: JobBook, loaded: LoadedJobs
) -> None:
    jobs = JobWatch(office, store, book)
    cancels = CancelWatch(office, store)
    _start('jobs', lambda: jobs.run(loaded.jobs_revision))
    _start('cancels', lambda: cancels.run(loaded.cancels_revision))


def _plan_gap_s(office: Office) -> float:
    """Return the pause after a plan; dear plans are made less often."""
    return max(PLAN_GAP_S, office.plan_cost_s * PLAN_PAUSES)


def _start(name: str, target: Callable[[], None]) -> None:
    threading.Thread(target=target, name=name, daemon=True).start()
