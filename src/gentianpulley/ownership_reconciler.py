"""Claims and releases the ownership of workers."""

import threading
from typing import Final

from gentianpulley.background import BackgroundLoop
from gentianpulley.control_keys import owners_key
from gentianpulley.control_state import ControlState, StoredOwnership
from gentianpulley.deadline import now_ms
from gentianpulley.errors import StoreError
from gentianpulley.instance_list import ListedInstance
from gentianpulley.job_store import JobStore
from gentianpulley.logs import EventLog
from gentianpulley.membership import Membership
from gentianpulley.ownership import (
    Ownership,
    OwnershipPlan,
    encode_ownership,
    plan_changes,
)
from gentianpulley.start_gate import StartGate
from gentianpulley.store import ConditionalWrite, Put, Store
from gentianpulley.worker_fleet import WorkerFleet
from gentianpulley.worker_reconciler import WorkerReconciler

RECONCILE_INTERVAL_S: Final = 0.5
DOMAIN_ABANDONED_AFTER_MS: Final = 8000
"""Time without a response after which a failure domain gets caretakers."""


class OwnershipReconciler(BackgroundLoop):
    """Reconciles the ownership records with the owned workers.

    An instance owns workers of its own failure domain. If a domain has no
    instance left, neither by lease nor by heartbeat, instances of other
    domains become caretakers of its workers: they resolve the tasks that run
    there and start none, and hand the workers over as soon as the domain has
    an instance again.
    """

    def __init__(
        self,
        store: Store,
        state: ControlState,
        membership: Membership,
        fleet: WorkerFleet,
        log: EventLog,
    ) -> None:
        """Prepare the thread."""
        super().__init__('ownership', RECONCILE_INTERVAL_S, log)
        self._store = store
        self._state = state
        self._membership = membership
        self._fleet = fleet
        self._local_domain = membership.local_member.failure_domain
        self._reconcilers: dict[str, WorkerReconciler] = {}
        self._is_draining = False
        self._pass_lock = threading.Lock()
        self._unreachable_since_ms: dict[str, int] = {}

    def attach(self, jobs: JobStore, gate: StartGate) -> None:
        """Set the dependencies of the worker reconcilers."""
        self._jobs = jobs
        self._gate = gate

    def step(self) -> None:
        """Update the records if needed, then apply them to owned workers."""
        with self._pass_lock:
            if self._is_draining:
                return
            listed = self._membership.all_workers()
            domains = {worker.failure_domain for worker in listed}
            for domain in sorted({self._local_domain, *domains}):
                in_domain = tuple(
                    worker
                    for worker in listed
                    if worker.failure_domain == domain
                )
                self._change_record(domain, in_domain)
            self._apply_records(listed)

    def release_all(self) -> None:
        """Hand over all workers; their tasks continue under new owners."""
        with self._pass_lock:
            self._is_draining = True
            for domain, stored in self._state.ownerships().items():
                self._release_record(domain, stored)
            for name in tuple(self._reconcilers):
                self._drop_worker(name)

    def _release_record(self, domain: str, stored: StoredOwnership) -> None:
        local_member_id = self._membership.local_member.member_id
        names = tuple(stored.ownership.owned_by(local_member_id))
        if names:
            released = stored.ownership.release(names, local_member_id)
            self._write(domain, StoredOwnership(released, stored.revision))

    def _change_record(
        self, domain: str, listed: tuple[ListedInstance, ...]
    ) -> None:
        stored = self._state.ownership(domain)
        plan = self._plan(domain, stored.ownership, listed)
        if not plan.claims and not plan.releases:
            return
        local_member_id = self._membership.local_member.member_id
        for name in plan.releases:
            self._drop_worker(name)
        changed = stored.ownership.release(plan.releases, local_member_id)
        changed = changed.claim(plan.claims, local_member_id)
        self._write(domain, StoredOwnership(changed, stored.revision))

    def _plan(
        self,
        domain: str,
        ownership: Ownership,
        listed: tuple[ListedInstance, ...],
    ) -> OwnershipPlan:
        """Return the claims and releases to make in a failure domain."""
        members = self._membership.owner_candidates(domain)
        local_member_id = self._membership.local_member.member_id
        names = [worker.name for worker in listed]
        if domain != self._local_domain:
            if self._is_abandoned(domain, members):
                members = self._membership.owner_candidates()
            elif not members:
                return OwnershipPlan((), ())
        if domain == self._local_domain and local_member_id not in members:
            return OwnershipPlan((), ())
        return plan_changes(ownership, names, members, local_member_id)

    def _is_abandoned(self, domain: str, members: tuple[str, ...]) -> bool:
        if members or self._membership.is_domain_reachable(domain):
            self._unreachable_since_ms.pop(domain, None)
            return False
        since_ms = self._unreachable_since_ms.setdefault(domain, now_ms())
        return now_ms() - since_ms >= DOMAIN_ABANDONED_AFTER_MS

    def _write(self, domain: str, changed: StoredOwnership) -> None:
        key = owners_key(domain)
        put = Put(key, encode_ownership(changed.ownership))
        try:
            self._store.write(
                (ConditionalWrite(key, changed.revision, (put,)),)
            )
        except StoreError as exc:
            self.log.store_trouble(exc.text)

    def _apply_records(self, listed: tuple[ListedInstance, ...]) -> None:
        epochs = self._epochs()
        addresses = {worker.name: worker.http for worker in listed}
        for name, reconciler in tuple(self._reconcilers.items()):
            worker = reconciler.worker
            has_moved = addresses.get(name, worker.address) != worker.address
            if has_moved or epochs.get(name) != worker.epoch:
                self._drop_worker(name)
        self._fleet.update_leaving(listed)
        for listed_worker in listed:
            if (
                listed_worker.name in epochs
                and listed_worker.name not in self._reconcilers
            ):
                self._start_reconciler(
                    listed_worker, epochs[listed_worker.name]
                )

    def _epochs(self) -> dict[str, int]:
        """Return the epochs of the workers that this instance owns."""
        local_member_id = self._membership.local_member.member_id
        epochs: dict[str, int] = {}
        for stored in self._state.ownerships().values():
            epochs.update(stored.ownership.owned_by(local_member_id))
        return epochs

    def _start_reconciler(self, listed: ListedInstance, epoch: int) -> None:
        may_start = listed.failure_domain == self._local_domain
        worker = self._fleet.add_worker(listed, epoch, may_start=may_start)
        reconciler = WorkerReconciler(
            worker, self._fleet, self._jobs, self._gate, self.log
        )
        self._reconcilers[listed.name] = reconciler
        reconciler.start()

    def _drop_worker(self, name: str) -> None:
        reconciler = self._reconcilers.pop(name, None)
        if reconciler is not None:
            reconciler.stop()
        self._fleet.remove_worker(name)
