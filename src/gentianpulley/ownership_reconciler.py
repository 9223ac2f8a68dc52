"""Claims and hands over workers of this failure domain."""

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
"""How long a failure domain has to be silent before others look after it."""


class OwnershipReconciler(BackgroundLoop):
    """Brings the ownership records and the owned workers in line.

    An instance owns workers of its own failure domain. Where a domain has no
    instance left, neither by lease nor by heartbeat, instances of other
    domains become caretakers of its workers: they settle what runs there and
    start nothing, and hand over as soon as the domain has an instance again.
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
        self._home = membership.local_member.failure_domain
        self._keepers: dict[str, WorkerReconciler] = {}
        self._is_draining = False
        self._round_lock = threading.Lock()
        self._silent_since_ms: dict[str, int] = {}

    def attach(self, jobs: JobStore, gate: StartGate) -> None:
        """Name what the keepers of owned workers need."""
        self._jobs = jobs
        self._gate = gate

    def step(self) -> None:
        """Change the records if needed, then own what they say."""
        with self._round_lock:
            if self._is_draining:
                return
            listed = self._membership.all_workers()
            domains = {worker.failure_domain for worker in listed}
            for domain in sorted({self._home, *domains}):
                in_domain = tuple(
                    worker
                    for worker in listed
                    if worker.failure_domain == domain
                )
                self._change_record(domain, in_domain)
            self._follow_records(listed)

    def release_all(self) -> None:
        """Hand all workers over; their tasks run on under new owners."""
        with self._round_lock:
            self._is_draining = True
            for domain, stored in self._state.ownerships().items():
                self._release_record(domain, stored)
            for name in tuple(self._keepers):
                self._drop(name)

    def _release_record(self, domain: str, stored: StoredOwnership) -> None:
        myself = self._membership.local_member.member_id
        names = tuple(stored.ownership.owned_by(myself))
        if names:
            released = stored.ownership.release(names, myself)
            self._write(domain, StoredOwnership(released, stored.revision))

    def _change_record(
        self, domain: str, listed: tuple[ListedInstance, ...]
    ) -> None:
        stored = self._state.ownership(domain)
        plan = self._plan(domain, stored.ownership, listed)
        if not plan.claims and not plan.releases:
            return
        myself = self._membership.local_member.member_id
        for name in plan.releases:
            self._drop(name)
        changed = stored.ownership.release(plan.releases, myself)
        changed = changed.claim(plan.claims, myself)
        self._write(domain, StoredOwnership(changed, stored.revision))

    def _plan(
        self,
        domain: str,
        ownership: Ownership,
        listed: tuple[ListedInstance, ...],
    ) -> OwnershipPlan:
        """Return what to claim and release in a domain."""
        members = self._membership.owner_candidates(domain)
        myself = self._membership.local_member.member_id
        names = [worker.name for worker in listed]
        if domain != self._home:
            if self._is_abandoned(domain, members):
                members = self._membership.owner_candidates()
            elif not members:
                return OwnershipPlan((), ())
        if domain == self._home and myself not in members:
            return OwnershipPlan((), ())
        return plan_changes(ownership, names, members, myself)

    def _is_abandoned(self, domain: str, members: tuple[str, ...]) -> bool:
        if members or self._membership.is_domain_reachable(domain):
            self._silent_since_ms.pop(domain, None)
            return False
        since_ms = self._silent_since_ms.setdefault(domain, now_ms())
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

    def _follow_records(self, listed: tuple[ListedInstance, ...]) -> None:
        epochs = self._epochs()
        places = {worker.name: worker.http for worker in listed}
        for name, keeper in tuple(self._keepers.items()):
            worker = keeper.worker
            has_moved = places.get(name, worker.address) != worker.address
            if has_moved or epochs.get(name) != worker.epoch:
                self._drop(name)
        self._fleet.update_leaving(listed)
        for place in listed:
            if place.name in epochs and place.name not in self._keepers:
                self._own(place, epochs[place.name])

    def _epochs(self) -> dict[str, int]:
        """Return the workers that this instance owns by the records."""
        myself = self._membership.local_member.member_id
        epochs: dict[str, int] = {}
        for stored in self._state.ownerships().values():
            epochs.update(stored.ownership.owned_by(myself))
        return epochs

    def _own(self, listed: ListedInstance, epoch: int) -> None:
        may_start = listed.failure_domain == self._home
        worker = self._fleet.add_worker(listed, epoch, may_start=may_start)
        keeper = WorkerReconciler(
            worker, self._fleet, self._jobs, self._gate, self.log
        )
        self._keepers[listed.name] = keeper
        keeper.start()

    def _drop(self, name: str) -> None:
        keeper = self._keepers.pop(name, None)
        if keeper is not None:
            keeper.stop()
        self._fleet.remove_worker(name)
