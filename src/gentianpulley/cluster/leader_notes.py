"""What a leader leaves to the next one beside the jobs.

The roster of workers that may hold runs, the learned harm between images, and
how far waves of upkeep are; and, for entry instances, how long work waits.
"""

from typing import Final

import msgspec

from gentianpulley.cluster.leader_store import LeaderStore
from gentianpulley.store import Put, Transaction

ROSTER_KEY: Final = 'gp/roster'
HARM_KEY: Final = 'gp/harm'
BACKLOG_KEY: Final = 'gp/backlog'
WAVE_PREFIX: Final = 'gp/wave/'


class LeaderNotes:
    """Reads and writes the notes of one leader."""

    def __init__(self, store: LeaderStore) -> None:
        """Write under the token of the leader."""
        self.store = store

    def save_roster(self, worker_ids: frozenset[str]) -> None:
        """Write the ids of all workers that may be sent orders."""
        self._put(ROSTER_KEY, msgspec.json.encode(sorted(worker_ids)))

    def load_roster(self) -> frozenset[str]:
        """Return the ids that earlier leaders may have sent orders to."""
        entry = self.store.read(ROSTER_KEY)
        if entry is None:
            return frozenset()
        return frozenset(msgspec.json.decode(entry.body, type=list[str]))

    def save_harm(self, body: bytes) -> None:
        """Write what was learned of the harm between images."""
        self._put(HARM_KEY, body)

    def load_harm(self) -> bytes | None:
        """Return what the former leader had learned, None if nothing."""
        entry = self.store.read(HARM_KEY)
        return entry.body if entry else None

    def save_backlog(self, body: bytes) -> None:
        """Publish how long work waits."""
        self._put(BACKLOG_KEY, body)

    def save_wave(self, number: int, begun: tuple[str, ...]) -> None:
        """Write which machines of a wave have begun their upkeep."""
        self._put(f'{WAVE_PREFIX}{number}', msgspec.json.encode(begun))

    def load_wave(self, number: int) -> tuple[str, ...]:
        """Return the machines of a wave that have begun their upkeep."""
        entry = self.store.read(f'{WAVE_PREFIX}{number}')
        if entry is None:
            return ()
        return msgspec.json.decode(entry.body, type=tuple[str, ...])

    def _put(self, key: str, body: bytes) -> None:
        self.store.commit(Transaction((), (Put(key, body),)))
