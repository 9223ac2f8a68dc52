"""Deletes records of finished jobs once they need not be kept any more.

One member of the site does this for all; which one follows from rendezvous
hashing, so that a successor needs no agreement.
"""

from typing import Final

import msgspec

from gentianpulley.background import BackgroundLoop
from gentianpulley.control_keys import JOBS_PREFIX
from gentianpulley.control_state import ControlState, MemberRecord
from gentianpulley.deadline import has_passed
from gentianpulley.errors import StoreError
from gentianpulley.job import JobState, decode_job
from gentianpulley.logs import EventLog
from gentianpulley.ownership import preferred_member
from gentianpulley.store import Entry, ConditionalWrite, Store

GC_INTERVAL_S: Final = 600.0
MAX_DELETES_PER_WRITE: Final = 64
_DUTY: Final = 'record-sweep'


class RecordGarbageCollector(BackgroundLoop):
    """Reads all job records now and then and deletes expired ones."""

    def __init__(
        self,
        store: Store,
        state: ControlState,
        local_member: MemberRecord,
        log: EventLog,
    ) -> None:
        """Prepare the thread."""
        super().__init__(_DUTY, GC_INTERVAL_S, log)
        self._store = store
        self._state = state
        self._myself = local_member

    def step(self) -> None:
        """Sweep once if it is this member's duty."""
        members = [record.member_id for record in self._state.members()]
        if preferred_member(_DUTY, members) != self._myself.member_id:
            return
        try:
            self.delete_expired()
        except StoreError as exc:
            self.log.store_trouble(exc.text)

    def delete_expired(self) -> int:
        """Delete expired records and return how many; raises `StoreError`."""
        found = self._store.read_prefix(JOBS_PREFIX)
        expired = [entry for entry in found.entries if _is_expired(entry)]
        for start in range(0, len(expired), MAX_DELETES_PER_WRITE):
            self._store.write(
                [
                    ConditionalWrite(
                        entry.key, entry.revision, (), (entry.key,)
                    )
                    for entry in expired[start : start + MAX_DELETES_PER_WRITE]
                ]
            )
        return len(expired)


def _is_expired(entry: Entry) -> bool:
    try:
        job = decode_job(entry.body)
    except msgspec.DecodeError:
        return False
    return job.state is JobState.FINISHED and has_passed(job.keep_until_ms)
