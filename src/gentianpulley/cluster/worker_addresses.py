"""Addresses of the workers of the roster.

A leader records the address of a worker on the stored roster before it sends
orders there, so that the next leader can ask at that address once the worker
is missing from the directory.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from gentianpulley.cluster.roster import Roster
from gentianpulley.cluster.worker_protocol import WorkerRegistration


class WorkerAddresses:
    """The latest known address of each worker.

    One thread records at a time; any thread may look an address up.
    """

    def __init__(self, stored: Mapping[str, str]) -> None:
        """Start with the addresses that the previous leader stored."""
        self._addresses = dict(stored)
        self._revisions: dict[str, int] = {}

    def record(self, registrations: Iterable[WorkerRegistration]) -> None:
        """Record addresses, but none that has been replaced since."""
        for registration in registrations:
            worker_id = registration.worker_id
            if registration.revision >= self._revisions.get(worker_id, 0):
                self._revisions[worker_id] = registration.revision
                self._addresses[worker_id] = registration.address

    def address_of(self, worker_id: str) -> str:
        """Return the address of a worker, empty if none is known."""
        return self._addresses.get(worker_id, '')

    def of_workers(self, worker_ids: Iterable[str]) -> dict[str, str]:
        """Return the known addresses of these workers."""
        return {
            worker_id: self._addresses[worker_id]
            for worker_id in worker_ids
            if worker_id in self._addresses
        }

    def add_to(self, roster: Roster) -> Roster:
        """Return a roster with the known addresses of its workers."""
        return replace(roster, addresses=self.of_workers(roster.worker_ids))
