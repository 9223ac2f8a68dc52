"""The local state of the control keys in the store."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from gentianpulley.control_keys import (
    DOCUMENTS_PREFIX,
    MEMBERS_PREFIX,
    OWNERS_PREFIX,
)
from gentianpulley.deadline import now_ms
from gentianpulley.document import ActiveDocuments, decode_document
from gentianpulley.logs import EventLog
from gentianpulley.ownership import Ownership, decode_ownership
from gentianpulley.store import ABSENT, Change, Entry, Snapshot

ControlListener = Callable[[], None]


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A member as it registered itself; addresses are host:port."""

    instance: str
    boot_id: str
    failure_domain: str
    http: str
    peer: str

    @property
    def member_id(self) -> str:
        """Return the id of this run of the instance."""
        return f'{self.instance}.{self.boot_id}'


@dataclass(frozen=True, slots=True)
class StoredOwnership:
    """An ownership record with its revision in the store."""

    ownership: Ownership = Ownership()
    revision: int = ABSENT


class ControlState:
    """Members, worker ownership and documents, as last seen in the store.

    Readers get complete records; listeners run after each change, on the
    thread that reads the watch.
    """

    def __init__(self, documents: ActiveDocuments, log: EventLog) -> None:
        """Start empty."""
        self._documents = documents
        self._log = log
        self._lock = threading.Lock()
        self._members: dict[str, MemberRecord] = {}
        self._owners: dict[str, StoredOwnership] = {}
        self._listeners: list[ControlListener] = []
        self._last_contact_ms = 0
        self.has_snapshot = False

    @property
    def last_contact_ms(self) -> int:
        """Return the time of the last contact with the store."""
        return self._last_contact_ms

    def update_last_contact(self) -> None:
        """Record that the store has just responded."""
        self._last_contact_ms = now_ms()

    def add_listener(self, listener: ControlListener) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def members(self) -> tuple[MemberRecord, ...]:
        """Return the members that hold a lease."""
        with self._lock:
            return tuple(self._members.values())

    def ownership(self, failure_domain: str) -> StoredOwnership:
        """Return the ownership record of a failure domain."""
        with self._lock:
            return self._owners.get(failure_domain, StoredOwnership())

    def ownerships(self) -> dict[str, StoredOwnership]:
        """Return the ownership records of all failure domains."""
        with self._lock:
            return dict(self._owners)

    def owner_of(self, worker: str) -> str:
        """Return the member id that owns a worker, or an empty string."""
        with self._lock:
            stored = tuple(self._owners.values())
        for candidate in stored:
            owner = candidate.ownership.owner_of(worker)
            if owner:
                return owner
        return ''

    def load_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state by a complete snapshot of the control keys."""
        with self._lock:
            self._members.clear()
            self._owners.clear()
        for entry in snapshot.entries:
            self._apply(Change(entry.key, entry, entry.revision))
        self.has_snapshot = True
        self._notify()

    def apply(self, changes: tuple[Change, ...]) -> None:
        """Apply changes in the order of revisions."""
        for change in changes:
            self._apply(change)
        if changes:
            self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def _apply(self, change: Change) -> None:
        try:
            self._dispatch(change)
        except msgspec.DecodeError as exc:
            self._log.document_damaged(change.key, str(exc))

    def _dispatch(self, change: Change) -> None:
        entry = change.entry
        if change.key.startswith(MEMBERS_PREFIX):
            self._apply_member(change.key.removeprefix(MEMBERS_PREFIX), entry)
        elif change.key.startswith(OWNERS_PREFIX):
            self._apply_owners(change.key.removeprefix(OWNERS_PREFIX), entry)
        elif change.key.startswith(DOCUMENTS_PREFIX) and entry is not None:
            self._documents.update(decode_document(entry.body))

    def _apply_member(self, instance: str, entry: Entry | None) -> None:
        if entry is None:
            with self._lock:
                self._members.pop(instance, None)
            return
        record = msgspec.json.decode(entry.body, type=MemberRecord)
        with self._lock:
            self._members[instance] = record

    def _apply_owners(self, domain: str, entry: Entry | None) -> None:
        if entry is None:
            with self._lock:
                self._owners.pop(domain, None)
            return
        ownership = decode_ownership(entry.body)
        with self._lock:
            self._owners[domain] = StoredOwnership(ownership, entry.revision)
