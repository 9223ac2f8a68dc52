"""Claims and hands over workers of this failure domain."""

import threading
from typing import Final

from gentianpulley.background import BackgroundLoop
from gentianpulley.control_keys import owners_key
from gentianpulley.control_state import ControlState, StoredOwnership
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
from gentianpulley.store import GuardedWrite, Put, Store
from gentianpulley.worker_fleet import WorkerFleet
from gentianpulley.worker_keeper import WorkerKeeper

ROUND_INTERVAL_S: Final = 0.5


class OwnershipKeeper(BackgroundLoop):
    """Brings the ownership record and the owned workers in line."""

    def __init__(
        self,
        store: Store,
        state: ControlState,
        membership: Membership,
        fleet: WorkerFleet,
        log: EventLog,
    ) -> None:
        """Prepare the thread."""
        super().__init__('ownership', ROUND_INTERVAL_S, log)
        self._store = store
        self._state = state
        self._membership = membership
        self._fleet = fleet
        self._keepers: dict[str, WorkerKeeper] = {}
        self._is_draining = False
        self._round_lock = threading.Lock()

    def attach(self, jobs: JobStore, gate: StartGate) -> None:
        """Name what the keepers of owned workers need."""
        self._jobs = jobs
        self._gate = gate

    def step(self) -> None:
        """Change the record if needed, then own what it says."""
        with self._round_lock:
            domain = self._membership.myself.failure_domain
            listed = self._membership.workers(domain)
            stored = self._state.ownership(domain)
            if not self._is_draining:
                self._change_record(stored, listed)
            self._follow_record(self._state.ownership(domain), listed)

    def release_all(self) -> None:
        """Hand all workers over; their tasks run on under new owners."""
        with self._round_lock:
            self._is_draining = True
            self._release_record()
            for name in tuple(self._keepers):
                self._drop(name)

    def _release_record(self) -> None:
        domain = self._membership.myself.failure_domain
        myself = self._membership.myself.member_id
        try:
            entry = self._store.read(owners_key(domain))
        except StoreError as exc:
            self.log.store_trouble(exc.text)
            return
        if entry is None:
            return
        stored = self._state.ownership(domain)
        names = tuple(stored.ownership.owned_by(myself))
        released = stored.ownership.release(names, myself)
        self._write(StoredOwnership(released, stored.revision))

    def _change_record(
        self, stored: StoredOwnership, listed: tuple[ListedInstance, ...]
    ) -> None:
        plan = self._plan(stored.ownership, listed)
        if not plan.claims and not plan.releases:
            return
        myself = self._membership.myself.member_id
        for name in plan.releases:
            self._drop(name)
        changed = stored.ownership.release(plan.releases, myself)
        changed = changed.claim(plan.claims, myself)
        self._write(StoredOwnership(changed, stored.revision))

    def _plan(
        self, ownership: Ownership, listed: tuple[ListedInstance, ...]
    ) -> OwnershipPlan:
        members = self._membership.owner_candidates()
        myself = self._membership.myself.member_id
        if myself not in members:
            return OwnershipPlan((), ())
        names = [worker.name for worker in listed]
        return plan_changes(ownership, names, members, myself)

    def _write(self, changed: StoredOwnership) -> None:
        key = owners_key(self._membership.myself.failure_domain)
        put = Put(key, encode_ownership(changed.ownership))
        try:
            self._store.write((GuardedWrite(key, changed.revision, (put,)),))
        except StoreError as exc:
            self.log.store_trouble(exc.text)

    def _follow_record(
        self, stored: StoredOwnership, listed: tuple[ListedInstance, ...]
    ) -> None:
        myself = self._membership.myself.member_id
        epochs = stored.ownership.owned_by(myself)
        for name, keeper in tuple(self._keepers.items()):
            if epochs.get(name) != keeper.worker.epoch:
                self._drop(name)
        self._fleet.note_listed(listed)
        for worker in listed:
            epoch = epochs.get(worker.name)
            if epoch is not None and worker.name not in self._keepers:
                self._own(worker, epoch)

    def _own(self, listed: ListedInstance, epoch: int) -> None:
        worker = self._fleet.own(listed, epoch)
        keeper = WorkerKeeper(
            worker, self._fleet, self._jobs, self._gate, self.log
        )
        self._keepers[listed.name] = keeper
        keeper.start()

    def _drop(self, name: str) -> None:
        keeper = self._keepers.pop(name, None)
        if keeper is not None:
            keeper.stop()
        self._fleet.drop(name)
