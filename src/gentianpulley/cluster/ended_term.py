"""Ends the leader term of the previous process of this instance.

A process that was killed while it led leaves its key until the key's lease
expires, and its successor waits until a leader that was cut off would have
stopped. Once another process listens on the same address of the same machine,
the previous one is certain to be gone: what is left of its term are the leases
that it granted before.
"""

from dataclasses import replace
from typing import Final

import msgspec

from gentianpulley.cluster.election_policy import Candidate, decode_candidate
from gentianpulley.cluster.handover_state import ROSTER_KEY
from gentianpulley.cluster.job_storage import LEADER_KEY
from gentianpulley.cluster.roster import (
    UNKNOWN_ROSTER,
    Roster,
    decode_roster,
    encode_roster,
)
from gentianpulley.cluster.timing import Timing
from gentianpulley.errors import StoreError
from gentianpulley.logs import EventLog
from gentianpulley.store import (
    ABSENT,
    Entry,
    Precondition,
    Put,
    Store,
    Transaction,
)

MAX_ATTEMPTS: Final = 3
"""Attempts in a row while writes of the previous process arrive late."""


class EndedTerm:
    """Ends the previous process's term before this process runs for leader."""

    def __init__(
        self, own: Candidate, store: Store, timing: Timing, log: EventLog
    ) -> None:
        """Prepare; nothing is read before the first call of `end`."""
        self._own = own
        self._store = store
        self._timing = timing
        self._log = log
        self._runs_until_ms = 0
        self._is_settled = False

    def end(self, at_ms: int) -> None:
        """End the previous process's term, if the leader's key is its.

        To be called while this process listens on its address, until a call
        returns, and not after it has run for leader: from then on, the key may
        be its own. Later calls do nothing.

        Raises `StoreError` if the store does not answer or writes of the
        previous process keep arriving.
        """
        # A worker that restarted unnoticed may have taken the last order, whose
        # deadline its new clock reaches later.
        self._runs_until_ms = (
            self._runs_until_ms or at_ms + self._timing.max_run_ms
        )
        for _ in range(MAX_ATTEMPTS):
            if self._is_settled:
                return
            leader = self._store.read(LEADER_KEY)
            if leader is None or not self._is_previous(leader):
                self._is_settled = True
            else:
                self._is_settled = self._try_to_end(leader.revision, at_ms)
        if not self._is_settled:
            raise StoreError('the previous leader term keeps changing')

    def _is_previous(self, leader: Entry) -> bool:
        holder = decode_candidate(leader.body)
        return self._own.is_same_machine(holder)

    def _try_to_end(self, token: int, at_ms: int) -> bool:
        """Delete the key and adapt the roster; False if either has changed.

        A write whose response was lost may still be applied late. Both
        preconditions fail once another one has ended the term.
        """
        entry = self._store.read(ROSTER_KEY)
        puts: tuple[Put, ...] = ()
        if entry is not None:
            run_left_ms = max(0, self._runs_until_ms - at_ms)
            roster = create_ended_roster(
                self._decode_roster(entry), token, run_left_ms
            )
            if roster is not None:
                puts = (Put(ROSTER_KEY, encode_roster(roster)),)
        preconditions = (
            Precondition(LEADER_KEY, token),
            Precondition(ROSTER_KEY, entry.revision if entry else ABSENT),
        )
        commit = self._store.commit(
            Transaction(preconditions, puts, (LEADER_KEY,))
        )
        if commit.applied:
            detail = 'with its roster' if puts else 'but not its roster'
            self._log.leader_state('ended by next process', token, detail)
        return commit.applied

    def _decode_roster(self, entry: Entry) -> Roster:
        """Return the stored roster; one that is damaged stays as it is."""
        try:
            return decode_roster(entry.body)
        except msgspec.DecodeError as exc:
            self._log.document_damaged(entry.key, str(exc))
        return UNKNOWN_ROSTER


def create_ended_roster(
    roster: Roster, token: int, run_left_ms: int
) -> Roster | None:
    """Return the roster of a term whose leader is certain to be gone.

    `run_left_ms` is how long the last run that it started may last, in any
    incarnation of its worker. Returns None if the roster does not tell what the
    term left: another term wrote it.
    """
    term = roster.term
    if term is None or term.token != token:
        return None
    in_use = roster.in_use & term.unanswered_start_ids
    left_ms = max(run_left_ms, term.earlier_left_ms)
    remaining_ms = dict.fromkeys(roster.in_use - in_use, left_ms)
    return replace(
        roster,
        in_use=in_use,
        remaining_ms={**roster.remaining_ms, **remaining_ms},
        term=None,
    )
