"""Decides whether workers are reached through relays, and through which.

A relay is another entry instance that forwards calls to workers. A leader
with a wide link needs none.
"""

from dataclasses import dataclass
from hashlib import blake2b
from typing import Final

WORKER_BYTES_S: Final = 10_000
"""Bytes a second in one direction that a busy worker needs of its leader: two
looks whose lists are 2 kB each, and two starts."""

_HASH_BYTES: Final = 8


@dataclass(frozen=True, slots=True)
class RelayFacts:
    """An instance that relays; `address` is that of its relay service."""

    instance: str
    failure_domain: str
    address: str


def needs_relays(link_bytes_s: int, workers: int) -> bool:
    """Tell whether a link is too narrow for calls to so many workers."""
    return workers * WORKER_BYTES_S > link_bytes_s


def choose_relay(
    worker_id: str, failure_domain: str, relays: tuple[RelayFacts, ...]
) -> RelayFacts | None:
    """Return a worker's relay: one of its failure domain if there is one.

    The choice is by rendezvous hashing, so it changes only for workers whose
    relay has gone, and for those that a new one takes over.
    """
    near = [each for each in relays if each.failure_domain == failure_domain]
    return max(
        near or relays,
        key=lambda relay: _rank(worker_id, relay.instance),
        default=None,
    )


def _rank(worker_id: str, instance: str) -> bytes:
    pair = f'{worker_id}/{instance}'.encode()
    return blake2b(pair, digest_size=_HASH_BYTES).digest()
