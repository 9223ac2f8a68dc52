"""A store of one entry, the roster."""

from gentianpulley.cluster.roster import Roster, decode_roster
from gentianpulley.errors import StoreError
from gentianpulley.store import CommitResult, Entry, Transaction


class RosterStore:
    """A store that applies each commit, and may lose the answers."""

    def __init__(self) -> None:
        """Start without the entry."""
        self.loses_answers = False
        self.commits = 0
        self._entry: Entry | None = None

    @property
    def roster(self) -> Roster:
        """Return the roster that the next leader would read."""
        assert self._entry is not None
        return decode_roster(self._entry.body)

    def commit(self, txn: Transaction) -> CommitResult:
        """Apply a transaction whose precondition holds."""
        revision = self._entry.revision if self._entry else 0
        if txn.preconditions[0].revision != revision:
            return CommitResult(
                False, revision, tuple(filter(None, (self._entry,)))
            )
        self.commits += 1
        (put,) = txn.puts
        self._entry = Entry(put.key, put.body, self.commits)
        if self.loses_answers:
            raise StoreError('no answer')
        return CommitResult(True, self.commits)
