"""State that a leader hands over to the next one in addition to the jobs.

This is the roster of workers that may have runs, and the learned interference
between images. `wave_records` adds the progress of maintenance waves.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import msgspec

from gentianpulley.cluster.interference import InterferenceModel
from gentianpulley.cluster.roster import (
    UNKNOWN_ROSTER,
    Roster,
    covers,
    decode_roster,
    encode_roster,
)
from gentianpulley.cluster.leader_store import LeaderStore
from gentianpulley.errors import StoreError
from gentianpulley.logs import EventLog
from gentianpulley.store import (
    ABSENT,
    Entry,
    Precondition,
    Put,
    Transaction,
)

ROSTER_KEY: Final = 'gp/roster'
INTERFERENCE_KEY: Final = 'gp/harm'

NO_ADDRESSES: Final[Mapping[str, str]] = MappingProxyType({})


class HandoverState:
    """Reads and writes the handover state of one leader."""

    def __init__(self, store: LeaderStore, log: EventLog) -> None:
        """Write under the token of the leader; report damage to `log`."""
        self.store = store
        self._log = log
        self.roster = Roster()
        self._is_roster_written = True
        self._roster_revision = ABSENT

    def save_roster(self, roster: Roster) -> None:
        """Write the roster; raises `StoreError` if it may not be written.

        A write whose response was lost may still be applied late. The
        precondition keeps it from overwriting a newer one, and the response to
        the next write shows what it has stored, which may be enough.
        """
        if self._is_roster_written and roster == self.roster:
            return
        self.roster = roster
        self._is_roster_written = False
        precondition = Precondition(ROSTER_KEY, self._roster_revision)
        put = Put(ROSTER_KEY, encode_roster(roster))
        commit = self.store.commit(Transaction((precondition,), (put,)))
        if commit.applied:
            self._roster_revision = commit.revision
            self._is_roster_written = True
            return
        self._roster_revision = ABSENT
        for entry in commit.current:
            if entry.key == ROSTER_KEY:
                self._apply_stored(entry)
        if not (self._is_roster_written and covers(self.roster, roster)):
            raise StoreError('the roster has another revision')

    def load_roster(self) -> Roster:
        """Return the roster that the previous leader wrote."""
        entry = self.store.read(ROSTER_KEY)
        if entry is not None:
            self._apply_stored(entry)
        return self.roster

    def has_marked_used(
        self,
        worker_ids: frozenset[str],
        addresses: Mapping[str, str] = NO_ADDRESSES,
    ) -> bool:
        """Return whether the stored roster is certain to show these as used.

        With `addresses`, at these addresses.
        """
        if not self._is_roster_written:
            return False
        is_used = worker_ids <= self.roster.in_use
        return is_used and addresses.items() <= self.roster.addresses.items()

    def save_interference(self, body: bytes) -> None:
        """Write the learned interference between images."""
        self._put(INTERFERENCE_KEY, body)

    def restore_interference(self, model: InterferenceModel) -> None:
        """Load what the previous leader learned into a model, if anything."""
        entry = self.store.read(INTERFERENCE_KEY)
        if entry is None:
            return
        try:
            model.load(entry.body)
        except msgspec.DecodeError as exc:
            # The leader learns it from scratch, as the first leader did.
            self._log.document_damaged(INTERFERENCE_KEY, str(exc))

    def _apply_stored(self, entry: Entry) -> None:
        self._roster_revision = entry.revision
        self._is_roster_written = True
        self.roster = self._decode_roster(entry)

    def _decode_roster(self, entry: Entry) -> Roster:
        """Return the stored roster; one that is damaged may list anything."""
        try:
            return decode_roster(entry.body)
        except msgspec.DecodeError as exc:
            self._log.document_damaged(entry.key, str(exc))
        return UNKNOWN_ROSTER

    def _put(self, key: str, body: bytes) -> None:
        self.store.commit(Transaction((), (Put(key, body),)))
