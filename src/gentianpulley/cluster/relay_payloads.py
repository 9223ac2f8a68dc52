"""Payloads of jobs that a relay has read, bounded by their size."""

import threading
from collections import OrderedDict
from hashlib import blake2b
from typing import Final

import msgspec

from gentianpulley.cluster.job_book import job_key
from gentianpulley.deadline import has_passed, now_ms
from gentianpulley.errors import StoreError
from gentianpulley.jobs.spec import decode_job
from gentianpulley.logs import EventLog
from gentianpulley.store import Store

SHELF_BYTES: Final = 8_000_000
"""Payloads that are kept: some thousand, in a part of the least memory."""

STORE_REST_MS: Final = 2000
"""How long nothing is read after the store did not answer: callers send
payloads themselves meanwhile."""

_DIGEST_BYTES: Final = 8


def payload_digest(payload: str) -> bytes:
    """Return what tells one payload from another under the same job's id."""
    return blake2b(payload.encode(), digest_size=_DIGEST_BYTES).digest()


class PayloadShelf:
    """Reads payloads once and keeps those that were used last."""

    def __init__(self, store: Store, log: EventLog) -> None:
        """Hold nothing yet."""
        self._store = store
        self._log = log
        self._lock = threading.Lock()
        self._held: OrderedDict[bytes, str] = OrderedDict()
        self._held_bytes = 0
        self._rests_until_ms = 0

    def payload(self, job_id: str, digest: bytes) -> str | None:
        """Return the payload of a job, None if it cannot be read now."""
        with self._lock:
            held = self._held.get(digest)
            if held is not None:
                self._held.move_to_end(digest)
                return held
        found = self._read(job_id, digest)
        if found is not None:
            self._keep(digest, found)
        return found

    def _read(self, job_id: str, digest: bytes) -> str | None:
        """Read a job: any copy, and the newest if that is not the one."""
        if not has_passed(self._rests_until_ms):
            return None
        key = job_key(job_id)
        for read in (self._store.read_stale, self._store.read):
            try:
                entry = read(key)
            except StoreError as exc:
                self._rests_until_ms = now_ms() + STORE_REST_MS
                self._log.store_trouble(exc.text)
                return None
            payload = _payload_in(entry.body) if entry else None
            if payload is not None and payload_digest(payload) == digest:
                return payload
        return None

    def _keep(self, digest: bytes, payload: str) -> None:
        with self._lock:
            if digest in self._held:
                return
            self._held[digest] = payload
            self._held_bytes += len(payload)
            while self._held_bytes > SHELF_BYTES:
                _, dropped = self._held.popitem(last=False)
                self._held_bytes -= len(dropped)


def _payload_in(body: bytes) -> str | None:
    try:
        return decode_job(body).payload
    except msgspec.DecodeError:
        # The leader reports jobs that cannot be read.
        return None
