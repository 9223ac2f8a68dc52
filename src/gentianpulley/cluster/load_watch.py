"""An entry instance follows the leader's digest of the load.

The digest's age is counted on this process's own clock, which is never stepped
and also counts time in which the process was suspended. Without a new digest
for a while, jobs are accepted as if there were none. So an instance that is
cut off, one with a leader that is frozen, and one without a leader accept.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import msgspec

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.admission import (
    AdmissionGate,
    Refusal,
    find_refusal,
)
from gentianpulley.cluster.load_digest import (
    LOAD_KEY,
    MAX_DIGEST_AGE_MS,
    ClosedQueue,
    LoadDigest,
    decode_digest,
)
from gentianpulley.counters import Counters
from gentianpulley.deadline import MS_PER_SECOND, now_ms
from gentianpulley.errors import StoreError
from gentianpulley.jobs.spec import JobSpec
from gentianpulley.logs import EventLog
from gentianpulley.store import Entry, Store

WATCH_WAIT_MS: Final = 25_000
"""How long one call waits for a change. With no closed queue, an instance sends
one call in this time, and a broken connection matters to nobody."""

RETRY_DELAY_S: Final = 1.0
"""Pause after a failed call; meanwhile the age of the digest decides."""

MIN_CALL_MS: Final = 200
"""Minimum time between two calls, should a store answer at once without any
change."""

_NEVER_MS: Final = -MAX_DIGEST_AGE_MS


@dataclass(frozen=True, slots=True)
class _Known:
    """The newest digest, and until when it counts."""

    digest: LoadDigest | None = None
    valid_until_ms: int = 0


class DigestTracker:
    """The newest digest and its age, without input or output.

    One thread updates it, and any thread may read it.
    """

    def __init__(self) -> None:
        """Start without a digest."""
        self._known = _Known()

    @property
    def digest(self) -> LoadDigest | None:
        """Return the newest digest, whether or not it counts."""
        return self._known.digest

    def update(
        self, digest: LoadDigest, written_after_ms: int, at_ms: int
    ) -> bool:
        """Take a digest that was seen at a time; return whether it counts.

        It was certainly written after `written_after_ms`. If that is long ago,
        it may be old already, as one that a former leader left, or one that was
        received before this process was suspended; only the next one counts.
        One that is not newer than the last changes nothing.
        """
        known = self._known.digest
        if known is not None and digest.order <= known.order:
            return False
        is_new = at_ms - written_after_ms <= MAX_DIGEST_AGE_MS
        until_ms = at_ms + MAX_DIGEST_AGE_MS if is_new else 0
        self._known = _Known(digest, until_ms)
        return is_new

    def closed_queue(self, queue: str, at_ms: int) -> ClosedQueue | None:
        """Return what is known of a closed queue, None if it is open."""
        known = self._known
        if known.digest is None or at_ms >= known.valid_until_ms:
            return None
        return known.digest.closed.get(queue)

    def has_expired(self, at_ms: int) -> bool:
        """Return whether the digest closes queues, but is too old by now."""
        known = self._known
        is_closing = known.digest is not None and bool(known.digest.closed)
        return is_closing and at_ms >= known.valid_until_ms


class LoadWatch(BackgroundLoop, AdmissionGate):
    """Follows the digest with one waiting call, and decides by it."""

    def __init__(self, store: Store, counters: Counters, log: EventLog) -> None:
        """Prepare the thread without starting it.

        Its call has a connection of its own, as it takes long, and a failure
        closes the idle connections of other calls.
        """
        super().__init__('load-watch', RETRY_DELAY_S, log)
        self._store = store.with_own_conns()
        self._counters = counters
        self._tracker = DigestTracker()
        self._report_lock = threading.Lock()
        self._reported: frozenset[str] = frozenset()

    def refusal(self, spec: JobSpec) -> Refusal | None:
        """Return why a job is refused, None if it is accepted."""
        at_ms = now_ms()
        queue = spec.policy.queue
        if self._tracker.has_expired(at_ms):
            self._report((), 'too old')
        return find_refusal(spec, self._tracker.closed_queue(queue, at_ms))

    def step(self) -> None:
        """Read the digest, then follow it until a call fails."""
        try:
            self._follow()
        except StoreError as exc:
            self.log.store_trouble(exc.text)

    def _follow(self) -> None:
        """Follow the digest; raises `StoreError`.

        What a call returns has changed since the call before it was answered,
        and so since that one was sent.
        """
        sent_ms = now_ms()
        snapshot = self._store.read_prefix(LOAD_KEY)
        self._apply(snapshot.entries, _NEVER_MS)
        revision = snapshot.revision
        while not self.is_stopping:
            previous_ms = sent_ms
            sent_ms = now_ms()
            batch = self._store.wait_for_changes(
                LOAD_KEY, revision, WATCH_WAIT_MS
            )
            entries = [each.entry for each in batch.changes if each.entry]
            self._apply(entries, previous_ms)
            revision = batch.revision
            left_ms = sent_ms + MIN_CALL_MS - now_ms()
            if left_ms > 0:
                self.pause(left_ms / MS_PER_SECOND)

    def _apply(self, entries: Iterable[Entry], written_after_ms: int) -> None:
        for entry in entries:
            if entry.key == LOAD_KEY:
                self._apply_digest(entry, written_after_ms)

    def _apply_digest(self, entry: Entry, written_after_ms: int) -> None:
        try:
            digest = decode_digest(entry.body)
        except msgspec.DecodeError as exc:
            self.log.document_damaged(entry.key, str(exc))
            return
        self._counters.add('load_digests_seen')
        if self._tracker.update(digest, written_after_ms, now_ms()):
            self._report(digest.closed, f'{digest.token} {digest.sequence}')

    def _report(self, closed: Iterable[str], detail: str) -> None:
        """Log which queues are taken to be closed, if that changes."""
        queues = frozenset(closed)
        with self._report_lock:
            if queues == self._reported:
                return
            self._reported = queues
        self.log.closed_queues(sorted(queues), detail)


def create_load_watch(
    store: Store, counters: Counters, log: EventLog
) -> LoadWatch:
    """Return the watch of an entry instance, which is not started."""
    return LoadWatch(store, counters, log)
