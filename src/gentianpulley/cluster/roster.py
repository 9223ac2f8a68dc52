"""The roster: workers on which a new leader may find runs that it has not seen.

A worker that is missing from the directory may be partitioned and still run
what an earlier leader started. Only its listing or the passage of time rules
that out, and a leader term may be shorter than that time. So each leader
writes how much of it is left.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

import msgspec

from gentianpulley.cluster.term_record import TermRecord
from gentianpulley.json_decoding import decode_json


@dataclass(frozen=True, slots=True)
class Roster:
    """Workers by what the next leader has to expect of them.

    The writer may send orders to those in `in_use`, and sends none to others.
    For those others, `remaining_ms` gives how long after the roster was written
    a run of an earlier leader may continue. It is a duration, as clocks of
    instances differ: counted from the time of reading it is too long, never
    too short. `addresses` gives the address at which each worker was last sent
    orders, where it is known. `late_starts_ms` gives for how long a start of an
    earlier leader may still arrive at a worker, and `term` is None if the
    writer did not record its term.
    """

    in_use: frozenset[str] = frozenset()
    remaining_ms: Mapping[str, int] = field(default_factory=dict)
    addresses: Mapping[str, str] = field(default_factory=dict)
    term: TermRecord | None = None
    late_starts_ms: Mapping[str, int] = field(default_factory=dict)

    @property
    def worker_ids(self) -> frozenset[str]:
        """Return all workers of the roster."""
        return self.in_use.union(self.remaining_ms)

    def run_deadlines(self, read_ms: int) -> dict[str, int]:
        """Return until when runs may continue, where a leader recorded it."""
        return {
            worker_id: read_ms + left_ms
            for worker_id, left_ms in self.remaining_ms.items()
        }

    def late_start_deadlines(self, read_ms: int) -> dict[str, int]:
        """Return until when starts may arrive late, by worker."""
        return {
            worker_id: read_ms + left_ms
            for worker_id, left_ms in self.late_starts_ms.items()
        }


UNKNOWN_ROSTER: Final = Roster(frozenset(('',)))
"""Roster of an unknown worker, which never answers: the next leader waits for
as long as any run of an earlier leader may continue."""


def covers(stored: Roster, roster: Roster) -> bool:
    """Return whether a leader that reads `stored` expects no less."""
    if not roster.addresses.items() <= stored.addresses.items():
        return False
    if not _covers_term(stored.term, roster.term):
        return False
    if any(
        stored.late_starts_ms.get(worker_id, 0) < left_ms
        for worker_id, left_ms in roster.late_starts_ms.items()
    ):
        return False
    return roster.in_use <= stored.in_use and all(
        worker_id in stored.in_use
        or stored.remaining_ms.get(worker_id, -1) >= left_ms
        for worker_id, left_ms in roster.remaining_ms.items()
    )


def _covers_term(stored: TermRecord | None, term: TermRecord | None) -> bool:
    """Return whether a stored record leaves no less to expect of its term.

    That of another term, or none, tells nothing of it.
    """
    if stored is None or term is None or stored.token != term.token:
        return True
    return term.unanswered_start_ids <= stored.unanswered_start_ids


class _Document(msgspec.Struct, frozen=True, omit_defaults=True):
    """A roster as it is stored.

    `at` are the addresses of `used`, then of `left_ms`, in that order.
    """

    used: list[str]
    left_ms: dict[str, int]
    at: list[str] = []
    term: TermRecord | None = None
    late_ms: dict[str, int] = {}


_DECODER: Final[msgspec.json.Decoder[_Document | list[str]]] = (
    msgspec.json.Decoder(_Document | list[str])
)


def encode_roster(roster: Roster) -> bytes:
    """Encode a roster for the store."""
    used = sorted(roster.in_use)
    left_ms = dict(roster.remaining_ms)
    worker_ids = [*used, *left_ms]
    at = [roster.addresses.get(each, '') for each in worker_ids]
    document = _Document(
        used,
        left_ms,
        at if any(at) else [],
        roster.term,
        dict(roster.late_starts_ms),
    )
    return msgspec.json.encode(document)


def decode_roster(body: bytes) -> Roster:
    """Decode a stored roster; older releases wrote a plain list of ids."""
    decoded = decode_json(_DECODER, body)
    if isinstance(decoded, list):
        return Roster(frozenset(decoded))
    worker_ids = (*decoded.used, *decoded.left_ms)
    addresses = {
        worker_id: address
        for worker_id, address in zip(worker_ids, decoded.at, strict=False)
        if address
    }
    return Roster(
        frozenset(decoded.used),
        decoded.left_ms,
        addresses,
        decoded.term,
        decoded.late_ms,
    )
