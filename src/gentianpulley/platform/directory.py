"""Adapter of the directory: workers' registrations in the store.

Other writers may leave entries there. What cannot be read, or names a state
that is not known, is no worker; it is logged and left out.
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
    """Reads registrations from the platform's store."""

    def __init__(self, store: Store, log: EventLog) -> None:
        """Use one store."""
        self._store = store
        self._log = log

    def read(self) -> DirectoryPage:
        """Return all readable registrations."""
        snapshot = self._store.read_prefix(SERVERS_PREFIX)
        found = [self._facts(entry) for entry in snapshot.entries]
        facts = tuple(each for each in found if each is not None)
        return DirectoryPage(facts, snapshot.revision)

    def watch(self, revision: int) -> Iterator[DirectoryBatch]:
        """Yield changes newer than `revision`; empty when idle."""
        for batch in self._store.watch(SERVERS_PREFIX, revision):
            news = tuple(self._news(change) for change in batch.changes)
            yield DirectoryBatch(news, batch.revision)

    def _news(self, change: Change) -> RegistrationChange:
        worker_id = change.key.removeprefix(SERVERS_PREFIX)
        facts = self._facts(change.entry) if change.entry else None
        return RegistrationChange(worker_id, facts)

    def _facts(self, entry: Entry) -> WorkerRegistration | None:
        worker_id = entry.key.removeprefix(SERVERS_PREFIX)
        try:
            wire = REGISTRATION_DECODER.decode(entry.body)
            parse_address(wire.addr)
        except (msgspec.DecodeError, ValueError) as exc:
            self._log.document_damaged(entry.key, str(exc))
            return None
        if wire.state not in {_READY, _DRAINING}:
            self._log.document_damaged(entry.key, f'state {wire.state}')
            return None
        return _worker_facts(worker_id, wire)


def create_directory(store: Store, log: EventLog) -> WorkerDirectory:
    """Return the directory that stands in a store."""
    return StoreDirectory(store, log)


def _worker_facts(worker_id: str, wire: WireRegistration) -> WorkerRegistration:
    room = wire.capacity
    return WorkerRegistration(
        worker_id=worker_id,
        service=wire.service,
        address=wire.addr,
        failure_domain=wire.zone,
        capacity=Resources(room.cpu, room.mem_mb, room.gpus),
        labels=frozenset(wire.labels),
        # The labels are the kind of the worker and its rack, in this order.
        rack=wire.labels[-1] if wire.labels else '',
        is_draining=wire.state == _DRAINING,
        warmup_ms=wire.cold_ms,
        incarnation_ms=wire.born_ms,
        drain_remaining_ms=wire.leaves_ms,
    )
