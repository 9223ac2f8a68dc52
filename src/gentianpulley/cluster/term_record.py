"""What a leader term records in the roster in case its process is killed."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TermRecord:
    """The term that wrote a roster.

    `token` is the term's. `earlier_left_ms` gives how long after the roster was
    written runs of earlier terms may continue on the workers in use, in any of
    their incarnations. `unanswered_start_ids` are the workers in use to which
    starts of an earlier incarnation may still arrive.
    """

    token: int
    earlier_left_ms: int
    unanswered_start_ids: frozenset[str] = frozenset()
