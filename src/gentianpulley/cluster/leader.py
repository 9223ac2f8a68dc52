"""A leader's threads during one term, from loading to handover.

The order matters. The leader's key comes first, then the workers, then a fence
at each worker, which returns its run list and renews its lease. Jobs are loaded
meanwhile, because loading takes longer the more is stored. The run lists are
processed only after that, and nothing is started before the cancellations that
were stored meanwhile are known.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import chain
from typing import Final

from gentianpulley.cluster.advice import AdviceService
from gentianpulley.cluster.advice_loop import AdviceLoop
from gentianpulley.cluster.capacity import DEFAULT_LINK_BYTES_S
from gentianpulley.cluster.customers import Customers
from gentianpulley.cluster.directory import DirectoryPage, WorkerDirectory
from gentianpulley.cluster.job_storage import (
    LeaderJobStore,
    LoadedJobs,
    split_into_batches,
)
from gentianpulley.cluster.job_watches import CancellationWatch, JobWatch
from gentianpulley.cluster.handover_state import HandoverState
from gentianpulley.cluster.leader_store import (
    DeposedError,
    create_leader_store,
    call_with_retries,
)
from gentianpulley.cluster.leader_loops import start_view_loops
from gentianpulley.cluster.leader_watches import (
    RETRY_DELAY_S,
    WorkerWatch,
)
from gentianpulley.cluster.worker_protocol import WorkerClientFactory
from gentianpulley.cluster.machines import MachineProvider, WaveRequest
from gentianpulley.cluster.scheduler_service import (
    EXCLUSIVE_MS,
    Leadership,
    SchedulerService,
)
from gentianpulley.cluster.scheduler import create_scheduler
from gentianpulley.cluster.scheduler_state import LeaderTerm
from gentianpulley.cluster.timing import Timing
from gentianpulley.cluster.tombstones import TombstoneSweeper
from gentianpulley.cluster.maintenance_loop import MaintenanceLoop
from gentianpulley.cluster.wave_records import WaveRecords
from gentianpulley.cluster.worker_probers import start_probers
from gentianpulley.counters import Counters
from gentianpulley.deadline import MS_PER_SECOND, now_ms
from gentianpulley.errors import StoreError
from gentianpulley.logs import EventLog
from gentianpulley.store import Precondition, Store

MIN_PLAN_PAUSE_S: Final = 0.015
"""Minimum pause between two plans, so that ends of runs that arrive together
share one plan."""

PLAN_PAUSE_FACTOR: Final = 3
"""Pause after a plan as a multiple of its cost. In a cluster full of waiting
work this leaves processor time to the threads that communicate with workers."""

MAX_PLAN_WAIT_S: Final = 0.2
"""Maximum wait between two plans, as expiries and due times cause no event."""

MIN_SAVE_PAUSE_S: Final = 0.025
"""Minimum pause between two writes of records, so that ends of runs share a
call. A poll that arrives before the ends of the one before it are written
returns at once with the same ends, so this is below the interval between
polls."""

MAX_SAVE_WAIT_S: Final = 0.5
"""Maximum wait between two writes, as started runs cause no event."""

INTERFERENCE_SAVE_INTERVAL_S: Final = 1.0
"""Interval between two writes of the learned interference. A write takes one
call, and the next leader has to learn at most one second of it again."""

ROSTER_RETRIES: Final = 2
"""Number of retries of a roster write. If a write was applied but its response
was lost, the next attempt is rejected because it expects an older revision."""

HAND_OVER_DRAIN_S: Final = 0.3
"""How long a leader that hands over waits for responses in flight."""


@dataclass(frozen=True, slots=True)
class LeaderDependencies:
    """The services and settings that a leader depends on.

    `status_ms` is how long records of ended jobs are kept, `maintenance_ms` how
    long a machine is down for maintenance, and `link_bytes_s` the bandwidth of
    this instance's link.

    `advice_service` is None in a cluster without queues that need tickets, and
    `machine_provider` is None in a cluster without an interface to machines.
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
    """One leader term of this instance."""

    def __init__(
        self,
        dependencies: LeaderDependencies,
        leader_key: Precondition,
        leadership: Leadership,
    ) -> None:
        """Prepare; `leader_key` is the leader's key at the term's token."""
        self._dependencies = dependencies
        self._log = dependencies.log
        self._leadership = leadership
        self._store = create_leader_store(dependencies.store, leader_key)
        self._job_store = LeaderJobStore(self._store, dependencies.log)
        self._tombstone_sweeper = TombstoneSweeper(self._store)
        self._handover_state = HandoverState(self._store, dependencies.log)
        self._token = leader_key.revision
        self._scheduler_service: SchedulerService | None = None
        self._save_lock = threading.Lock()
        self._operator_lock = threading.Lock()
        self._closed_domains: frozenset[str] = frozenset()
        self._wave_requests: tuple[WaveRequest, ...] = ()
        self._customers = Customers()
        self._next_interference_save_ms = 0
        self._saved_interference = b''
        self._maintenance_loop: MaintenanceLoop | None = None
        self._worker_watch: WorkerWatch | None = None

    @property
    def scheduler_service(self) -> SchedulerService | None:
        """Return the service that the threads share, None before `open`."""
        return self._scheduler_service

    def open(self) -> None:
        """Fence the workers, load the jobs and start to schedule.

        Raises `StoreError` if something could not be read.
        """
        term = _create_term(
            self._token, self._dependencies, self._handover_state
        )
        page = call_with_retries(self._dependencies.directory.read, self._log)
        service = self._open_service(term)
        service.begin_loading()
        worker_watch = WorkerWatch(
            service,
            self._dependencies.directory,
            self._dependencies.worker_client_factory,
            self._handover_state,
        )
        self._worker_watch = worker_watch
        _open_sessions(worker_watch, page, self._dependencies)
        loaded = self._job_store.load()
        if loaded.jobs:
            # The next leader may have started jobs that arrived during the
            # read.
            self._leadership.wait_until_exclusive()
        service.load_inherited_jobs(loaded.jobs, loaded.cancelled)
        detail = f'{len(loaded.jobs)} jobs'
        self._log.leader_state('leads', self._token, detail)
        _start('workers', lambda: worker_watch.run(page.revision))
        _start_job_watches(
            service, self._dependencies.store, self._job_store, loaded
        )
        self._start_loops(service, worker_watch)

    def replace_closed_domains(self, domains: frozenset[str]) -> None:
        """Start no runs in these failure domains from now on."""
        with self._operator_lock:
            self._closed_domains = domains
            service = self._scheduler_service
            if service is not None:
                with service.lock:
                    service.scheduler.closed_domains = domains
                service.plan_requested.set()

    def replace_customers(self, customers: Customers) -> None:
        """Apply these customers' ceilings and weights from now on."""
        with self._operator_lock:
            self._customers = customers
            service = self._scheduler_service
            if service is not None:
                with service.lock:
                    service.scheduler.replace_customers(customers)
                service.plan_requested.set()

    def replace_wave_requests(self, requests: tuple[WaveRequest, ...]) -> None:
        """Carry out these maintenance waves from now on."""
        with self._operator_lock:
            self._wave_requests = requests
            if self._maintenance_loop is not None:
                self._maintenance_loop.wave_requests = requests

    def hand_over(self) -> None:
        """Wait for responses in flight, then save the state and close."""
        service = self._scheduler_service
        self._leadership.resign('handed over')
        if service is None:
            return
        threading.Event().wait(HAND_OVER_DRAIN_S)
        try:
            self._save_final_state(service)
        except StoreError as exc:
            self._log.store_trouble(exc.text)
        self.close()

    def close(self) -> None:
        """End all threads; the next leader fences orders in flight."""
        service = self._scheduler_service
        if service is not None:
            service.resign('closed')
            service.close()
        self._log.leader_state('ended', self._token, self._leadership.reason)

    def _save_final_state(self, service: SchedulerService) -> None:
        """Write the latest state of everything that the next leader needs."""
        self._save(service)
        if self._worker_watch is not None:
            self._worker_watch.save_final_roster()
        self._next_interference_save_ms = 0
        self._save_interference(service)

    def _open_service(self, term: LeaderTerm) -> SchedulerService:
        scheduler = create_scheduler(term, self._log)
        service = SchedulerService(
            scheduler, self._leadership, self._dependencies.counters, self._log
        )
        call_with_retries(
            partial(
                self._handover_state.restore_interference,
                scheduler.interference,
            ),
            self._log,
        )
        with self._operator_lock:
            scheduler.closed_domains = self._closed_domains
            scheduler.replace_customers(self._customers)
            self._scheduler_service = service
        return service

    def _start_loops(
        self, service: SchedulerService, worker_watch: WorkerWatch
    ) -> None:
        machine_provider = self._dependencies.machine_provider
        if machine_provider is not None:
            loop = MaintenanceLoop(
                service,
                machine_provider,
                WaveRecords(self._store, self._log),
                self._dependencies.maintenance_ms,
            )
            with self._operator_lock:
                loop.wave_requests = self._wave_requests
                self._maintenance_loop = loop
            loop.start()
        if self._dependencies.advice_service is not None:
            AdviceLoop(service, self._dependencies.advice_service).start()
        _start('plan', lambda: self._plan_loop(service))
        _start('save', lambda: self._save_loop(service))
        start_view_loops(service, worker_watch, self._store)

    def _plan_loop(self, service: SchedulerService) -> None:
        while not self._leadership.is_over():
            service.plan_requested.wait(MAX_PLAN_WAIT_S)
            service.plan_requested.clear()
            try:
                service.plan()
                service.detach_removed_workers()
            except Exception as error:
                # One failed plan must not end the planning thread.
                self._log.internal_fault(repr(error))
            threading.Event().wait(_plan_pause_s(service))

    def _save_loop(self, service: SchedulerService) -> None:
        while not self._leadership.is_over():
            service.save_requested.wait(MAX_SAVE_WAIT_S)
            service.save_requested.clear()
            pause_s = MIN_SAVE_PAUSE_S
            try:
                self._save_and_prune(service)
            except DeposedError as exc:
                service.resign(exc.text)
            except StoreError as exc:
                self._log.store_trouble(exc.text)
                service.save_requested.set()
                pause_s = RETRY_DELAY_S
            except Exception as error:
                # Without this thread, nothing is written or acknowledged.
                self._log.internal_fault(repr(error))
                pause_s = RETRY_DELAY_S
            threading.Event().wait(pause_s)

    def _save_and_prune(self, service: SchedulerService) -> None:
        self._save(service)
        self._save_interference(service)
        self._job_store.delete_ended(now_ms() - self._dependencies.status_ms)
        if self._tombstone_sweeper.sweep():
            service.save_requested.set()

    def _save_interference(self, service: SchedulerService) -> None:
        """Write the learned interference if it is due and has changed."""
        at_ms = now_ms()
        if at_ms < self._next_interference_save_ms:
            return
        self._next_interference_save_ms = at_ms + int(
            INTERFERENCE_SAVE_INTERVAL_S * MS_PER_SECOND
        )
        with service.lock:
            interference = service.scheduler.interference.export()
        if interference != self._saved_interference:
            self._handover_state.save_interference(interference)
            self._saved_interference = interference

    def _save(self, service: SchedulerService) -> None:
        """Write all changed records, then acknowledge their ends."""
        with self._save_lock:
            with service.lock:
                number = service.scheduler.change_number
                changed = service.scheduler.changed_jobs()
            batches = split_into_batches(changed)
            try:
                self._job_store.save(batches)
            except Exception:
                # Whatever failed, the next write also acknowledges these ends.
                with service.lock:
                    service.scheduler.mark_unsaved(list(chain(*batches)))
                raise
            service.acknowledge_saved_ends(number)


def leadership_end_ms(sent_ms: int, timing: Timing) -> int:
    """Return until when a leader may act after a renewal sent at `sent_ms`."""
    return sent_ms + timing.leadership_ms


def exclusive_end_ms(sent_ms: int) -> int:
    """Return until when a renewal sent at `sent_ms` guarantees the key."""
    return sent_ms + EXCLUSIVE_MS


def create_leadership(sent_ms: int, timing: Timing) -> Leadership:
    """Return the leadership under a lease requested at `sent_ms`."""
    return Leadership(
        leadership_end_ms(sent_ms, timing), exclusive_end_ms(sent_ms)
    )


def _create_term(
    token: int, dependencies: LeaderDependencies, handover_state: HandoverState
) -> LeaderTerm:
    since_ms = now_ms()
    roster = call_with_retries(handover_state.load_roster, dependencies.log)
    return LeaderTerm(
        token,
        since_ms,
        roster.worker_ids,
        dependencies.timing,
        roster.run_deadlines(now_ms()),
        dependencies.link_bytes_s,
        roster.late_start_deadlines(now_ms()),
    )


def _open_sessions(
    watch: WorkerWatch, page: DirectoryPage, dependencies: LeaderDependencies
) -> None:
    """Open sessions with the workers of a page, and ask absent ones."""
    call_with_retries(
        partial(watch.open_sessions, page), dependencies.log, ROSTER_RETRIES
    )
    start_probers(watch, dependencies.worker_client_factory)


def _start_job_watches(
    service: SchedulerService,
    store: Store,
    job_store: LeaderJobStore,
    loaded: LoadedJobs,
) -> None:
    jobs = JobWatch(service, store, job_store)
    cancels = CancellationWatch(service, store)
    _start('cancels', lambda: cancels.run(loaded.cancellations_revision))
    _start('jobs', lambda: jobs.run(loaded.jobs_revision))


def _plan_pause_s(service: SchedulerService) -> float:
    """Return the pause after a plan; expensive plans run less often."""
    return max(MIN_PLAN_PAUSE_S, service.plan_cost_s * PLAN_PAUSE_FACTOR)


def _start(name: str, target: Callable[[], None]) -> None:
    threading.Thread(target=target, name=name, daemon=True).start()
