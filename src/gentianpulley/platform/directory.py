"""Adapter for the directory: worker registrations in the store.

Other writers may also store entries under this prefix. An entry that cannot be
decoded, or has an unknown state, is not a worker; it is logged and skipped.
"""

from collections.abc import Iterator
from typing import Final

import msgspec

from gentianpulley.cluster.directory import (
    DirectoryBatch,
    DirectoryPage,
    WorkerDirectory,
    RegistrationChange,
)
from gentianpulley.cluster.worker_protocol import WorkerRegistration
from gentianpulley.http_conn import parse_address
from gentianpulley.json_decoding import decode_json
from gentianpulley.logs import EventLog
from gentianpulley.platform.wire import (
    REGISTRATION_DECODER,
    WireRegistration,
)
from gentianpulley.resources import Resources
from gentianpulley.store import Change, Entry, Store

SERVERS_PREFIX: Final = 'servers/'
_READY: Final = 'ready'
_DRAINING: Final = 'draining'


class StoreDirectory(WorkerDirectory):
    """Reads worker registrations from the platform's store."""

    def __init__(self, store: Store, log: EventLog) -> None:
        """Read from `store`; report corrupt entries to `log`."""
        self._store = store
        self._log = log

    def read(self) -> DirectoryPage:
        """Return all registrations that can be decoded."""
        snapshot = self._store.read_prefix(SERVERS_PREFIX)
        parsed = [self._registration(entry) for entry in snapshot.entries]
        registrations = tuple(each for each in parsed if each is not None)
        return DirectoryPage(registrations, snapshot.revision)

    def watch(self, revision: int) -> Iterator[DirectoryBatch]:
        """Yield changes newer than `revision`; batches are empty when idle."""
        for batch in self._store.watch(SERVERS_PREFIX, revision):
            changes = tuple(
                self._registration_change(change) for change in batch.changes
            )
            yield DirectoryBatch(changes, batch.revision)

    def _registration_change(self, change: Change) -> RegistrationChange:
        worker_id = change.key.removeprefix(SERVERS_PREFIX)
        registration = (
            self._registration(change.entry) if change.entry else None
        )
        return RegistrationChange(worker_id, registration, change.revision)

    def _registration(self, entry: Entry) -> WorkerRegistration | None:
        worker_id = entry.key.removeprefix(SERVERS_PREFIX)
        try:
            wire = decode_json(REGISTRATION_DECODER, entry.body)
            parse_address(wire.addr)
        except (msgspec.DecodeError, ValueError) as exc:
            self._log.document_damaged(entry.key, str(exc))
            return None
        if wire.state not in {_READY, _DRAINING}:
            self._log.document_damaged(entry.key, f'state {wire.state}')
            return None
        return _worker_registration(worker_id, wire, entry.revision)


def create_directory(store: Store, log: EventLog) -> WorkerDirectory:
    """Return the worker directory kept in `store`."""
    return StoreDirectory(store, log)


def _worker_registration(
    worker_id: str, wire: WireRegistration, revision: int
) -> WorkerRegistration:
    capacity = wire.capacity
    return WorkerRegistration(
        worker_id=worker_id,
        service=wire.service,
        address=wire.addr,
        failure_domain=wire.zone,
        capacity=Resources(capacity.cpu, capacity.mem_mb, capacity.gpus),
        labels=frozenset(wire.labels),
        # The labels are the worker's kind and its rack, in this order.
        rack=wire.labels[-1] if wire.labels else '',
        is_draining=wire.state == _DRAINING,
        warmup_ms=wire.cold_ms,
        incarnation_ms=wire.born_ms,
        drain_remaining_ms=wire.leaves_ms,
        revision=revision,
        sequence=wire.seq,
    )
