"""What the store records of maintenance waves, for the next leader.

A machine is recorded before the first order for it is sent. The write fails
once another instance leads, so a leader knows of each order that an earlier one
may have sent, and of each that may still arrive.
"""

from dataclasses import dataclass
from typing import Final

import msgspec

from gentianpulley.cluster.leader_store import LeaderStore
from gentianpulley.errors import StoreError
from gentianpulley.json_decoding import decode_json
from gentianpulley.logs import EventLog
from gentianpulley.store import ABSENT, Entry, Precondition, Put, Transaction

WAVE_PREFIX: Final = 'gp/wave/'


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """Which machines of a wave are or were down.

    Orders for those in `ordered` may have been sent, and their maintenance may
    start at any time; that of those in `started` has started. Unless the
    progress `is_known`, either may hold for any machine.
    """

    ordered: tuple[str, ...] = ()
    started: tuple[str, ...] = ()
    is_known: bool = True


UNKNOWN_PROGRESS: Final = WaveProgress(is_known=False)


class _Document(msgspec.Struct, frozen=True):
    """The progress of a wave as it is stored."""

    ordered: tuple[str, ...]
    started: tuple[str, ...]


_DECODER: Final[msgspec.json.Decoder[_Document | tuple[str, ...]]] = (
    msgspec.json.Decoder(_Document | tuple[str, ...])
)


class WaveRecords:
    """Reads and writes the progress of all waves for one leader."""

    def __init__(self, store: LeaderStore, log: EventLog) -> None:
        """Write under the token of the leader; report damage to `log`."""
        self.store = store
        self._log = log
        self._revisions: dict[int, int] = {}
        self._saved: dict[int, WaveProgress] = {}

    def load(self) -> dict[int, WaveProgress]:
        """Return the progress that previous leaders recorded, by wave.

        That is of all waves, as one that was withdrawn may still have orders
        under way. Keys that name no wave are no leader's.
        """
        entries = {
            _number(entry.key): entry
            for entry in self.store.reader.read_prefix(WAVE_PREFIX).entries
            if entry.key.removeprefix(WAVE_PREFIX).isdecimal()
        }
        self._revisions = {
            number: entry.revision for number, entry in entries.items()
        }
        return {
            number: self._progress(entry) for number, entry in entries.items()
        }

    def save(self, number: int, progress: WaveProgress) -> None:
        """Record the progress of a wave, unless it is certainly recorded.

        Raises `StoreError` if it may not be. A write whose response was lost
        may still be applied late. The precondition keeps it from overwriting a
        newer one.
        """
        if self._saved.get(number) == progress:
            return
        self._saved.pop(number, None)
        key = _key(number)
        precondition = Precondition(key, self._revisions.get(number, ABSENT))
        document = _Document(progress.ordered, progress.started)
        put = Put(key, msgspec.json.encode(document))
        commit = self.store.commit(Transaction((precondition,), (put,)))
        if not commit.applied:
            current = {entry.key: entry.revision for entry in commit.current}
            self._revisions[number] = current.get(key, ABSENT)
            raise StoreError('the record of a wave has another revision')
        self._revisions[number] = commit.revision
        self._saved[number] = progress

    def delete(self, number: int) -> None:
        """Delete the record of a wave; raises `StoreError`."""
        key = _key(number)
        precondition = Precondition(key, self._revisions.get(number, ABSENT))
        self.store.commit(Transaction((precondition,), (), (key,)))
        self._revisions.pop(number, None)
        self._saved.pop(number, None)

    def _progress(self, entry: Entry) -> WaveProgress:
        try:
            return _decode(entry.body)
        except msgspec.DecodeError as exc:
            self._log.document_damaged(entry.key, str(exc))
        return UNKNOWN_PROGRESS


def _number(key: str) -> int:
    return int(key.removeprefix(WAVE_PREFIX))


def _key(number: int) -> str:
    return f'{WAVE_PREFIX}{number}'


def _decode(body: bytes) -> WaveProgress:
    """Decode a record; older releases wrote the machines that had started."""
    decoded = decode_json(_DECODER, body)
    if isinstance(decoded, _Document):
        return WaveProgress(decoded.ordered, decoded.started)
    return WaveProgress(started=decoded)
