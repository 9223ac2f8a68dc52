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
    too short. `term` is None if the writer did not record its term.
    """

    in_use: frozenset[str] = frozenset()
    remaining_ms: Mapping[str, int] = field(default_factory=dict)
    term: TermRecord | None = None

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


UNKNOWN_ROSTER: Final = Roster(frozenset(('',)))
"""Roster of an unknown worker, which never answers: the next leader waits for
as long as any run of an earlier leader may continue."""


class _Document(msgspec.Struct, frozen=True, omit_defaults=True):
    """A roster as it is stored."""

    used: list[str]
    left_ms: dict[str, int]
    term: TermRecord | None = None


_DECODER: Final[msgspec.json.Decoder[_Document | list[str]]] = (
    msgspec.json.Decoder(_Document | list[str])
)


def encode_roster(roster: Roster) -> bytes:
    """Encode a roster for the store."""
    document = _Document(
        sorted(roster.in_use), dict(roster.remaining_ms), roster.term
    )
    return msgspec.json.encode(document)


def decode_roster(body: bytes) -> Roster:
    """Decode a stored roster; older releases wrote a plain list of ids."""
    decoded = decode_json(_DECODER, body)
    if isinstance(decoded, list):
        return Roster(frozenset(decoded))
    return Roster(frozenset(decoded.used), decoded.left_ms, decoded.term)
