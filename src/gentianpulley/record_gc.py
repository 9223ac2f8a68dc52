"""Deletes records of finished jobs after their retention period.

One member does this for the whole cluster. Rendezvous hashing selects it, so
that a successor takes over without a separate agreement.
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
_COLLECTOR_NAME: Final = 'record-sweep'


class RecordGarbageCollector(BackgroundLoop):
    """Reads all job records periodically and deletes expired ones."""

    def __init__(
        self,
        store: Store,
        state: ControlState,
        local_member: MemberRecord,
        log: EventLog,
    ) -> None:
        """Prepare the thread."""
        super().__init__(_COLLECTOR_NAME, GC_INTERVAL_S, log)
        self._store = store
        self._state = state
        self._local_member = local_member

    def step(self) -> None:
        """Collect once if this member is the selected one."""
        members = [record.member_id for record in self._state.members()]
        if (
            preferred_member(_COLLECTOR_NAME, members)
            != self._local_member.member_id
        ):
            return
        try:
            self.delete_expired()
        except StoreError as exc:
            self.log.store_trouble(exc.text)

    def delete_expired(self) -> int:
        """Delete expired records, return their number; raises `StoreError`."""
        snapshot = self._store.read_prefix(JOBS_PREFIX)
        expired = [entry for entry in snapshot.entries if _is_expired(entry)]
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
