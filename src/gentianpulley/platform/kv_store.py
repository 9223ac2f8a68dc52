"""Store adapter for the platform's key-value service.

Calls are HTTP requests with JSON bodies; values are encoded as base64. A
refused call had no effect; a call without a response may take effect seconds
later if its preconditions still hold.
"""

from base64 import b64decode, b64encode
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from itertools import repeat
from typing import Final, TypeVar
from urllib.parse import quote

import msgspec

from gentianpulley.counters import Counters
from gentianpulley.deadline import MS_PER_SECOND, deadline_in
from gentianpulley.errors import (
    HttpSilentError,
    HttpUnreachableError,
    StoreAnswerLostError,
    StoreCompactedError,
    StoreRefusedError,
    StoreUnreachableError,
)
from gentianpulley.http_conn import (
    HttpAddress,
    HttpResponse,
    HttpConn,
    ReadTimeouts,
)
from gentianpulley.messages import store_refused
from gentianpulley.platform.wire import (
    WireCommit,
    WireEvents,
    WirePrecondition,
    WireItem,
    WireLease,
    WireLeaseRequest,
    WirePut,
    WireRange,
    WireTransaction,
)
from gentianpulley.prefix_scan import PrefixScan
from gentianpulley.store import (
    Change,
    ChangeBatch,
    CommitResult,
    Entry,
    Precondition,
    ConditionalWrite,
    Page,
    Snapshot,
    Store,
    StoreLease,
    Transaction,
    WriteResult,
)

CALL_TIMEOUT_MS: Final = 1000
"""The store responds within milliseconds, or a quarter second when slow."""

IDLE_TIMEOUT_MS: Final = 1500
"""Maximum time without a byte of a response. It allows for a slow response of
the store, queued behind other traffic on a narrow link."""

MAX_RESPONSE_BYTES: Final = 1_500_000
"""A page holds a megabyte of values, which are sent as base64, plus keys."""

MIN_LINK_BYTES_PER_S: Final = 300_000
"""Bandwidth left for one response on a 5 Mbit/s link, half of which may be
used by other calls."""


def _transfer_ms(size_bytes: int) -> int:
    """Return the transfer time of `size_bytes` on the slowest link, in ms."""
    return size_bytes * MS_PER_SECOND // MIN_LINK_BYTES_PER_S


MAX_RESPONSE_TRANSFER_MS: Final = IDLE_TIMEOUT_MS + _transfer_ms(
    MAX_RESPONSE_BYTES
)
"""How long the largest response takes on the slowest link."""

COMMIT_TIMEOUT_MS: Final = 600
"""Maximum duration of a write, not counting its transfer time: twice the
response time of a slow store. Callers wait for two writes."""

WATCH_WAIT_MS: Final = 1800
"""How long a watch request waits. An unresponsive connection must be detected,
and the cfg re-read, within the cluster's limit on activating a cfg."""

MIN_WATCH_WAIT_MS: Final = 1
"""Wait of a watch request that only asks for the changes made so far."""

WATCH_RESPONSE_MARGIN_MS: Final = 500
"""Maximum delay of the start of a watch response after the wait has ended."""

MAX_CONNS: Final = 8

_OK: Final = 200
_NOT_FOUND: Final = 404
_GONE: Final = 410
_CONFLICT: Final = 412
_TOO_MANY: Final = 429
_UNAVAILABLE: Final = 503
_Message = TypeVar('_Message')


class KvStore(Store):
    """Client of the platform's key-value store."""

    def __init__(self, address: HttpAddress, counters: Counters) -> None:
        """Connect on the first call; `counters` counts calls by kind."""
        self._conn = HttpConn(address, MAX_CONNS)
        self._counters = counters

    def with_own_conns(self) -> 'KvStore':
        """Return a client of the same store that has its own connections."""
        return type(self)(self._conn.address, self._counters)

    def read(self, key: str) -> Entry | None:
        """Return the entry at `key`, or None if the key does not exist."""
        path = f'kv-key?key={quote(key, safe="")}'
        response = self._fetch(path, CALL_TIMEOUT_MS)
        if response.status == _NOT_FOUND:
            return None
        return _entry(_decoded(response, WireItem))

    def read_prefix(self, prefix: str) -> Snapshot:
        """Return all entries whose keys start with `prefix`.

        The revision is that of the first page, so a watch from there also
        yields the changes made while the pages were read.
        """
        scan = PrefixScan(self, prefix)
        entries = [entry for page in scan.pages() for entry in page]
        return Snapshot(tuple(entries), scan.revision)

    def read_page(self, prefix: str, after: str) -> Page:
        """Return one page; fails if no byte arrives for `IDLE_TIMEOUT_MS`."""
        path = f'kv-range?prefix={quote(prefix, safe="")}'
        if after:
            path = f'{path}&after={quote(after, safe="")}'
        page = _decoded(self._fetch(path, IDLE_TIMEOUT_MS), WireRange)
        return Page(
            tuple(map(_entry, page.items)),
            page.store_revision,
            is_last=not page.is_truncated or not page.items,
        )

    def write(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Try each write independently, with one call per write."""
        write_results = []
        for each in writes:
            precondition = Precondition(each.key, each.expected_revision)
            commit = self.commit(
                Transaction((precondition,), each.puts, each.deletes)
            )
            current = commit.current[0] if commit.current else None
            write_results.append(
                WriteResult(commit.applied, commit.revision, current)
            )
        return tuple(write_results)

    def commit(self, txn: Transaction) -> CommitResult:
        """Apply all writes of the transaction, or none."""
        wire = WireTransaction(
            tuple(
                WirePrecondition(each.key, each.revision)
                for each in txn.preconditions
            ),
            tuple(
                WirePut(each.key, _encoded(each.body), each.lease_id)
                for each in txn.puts
            ),
            txn.deletes,
        )
        body = msgspec.json.encode(wire)
        timeout_ms = COMMIT_TIMEOUT_MS + _transfer_ms(len(body))
        response = self._call('POST', 'kv-txn', body, timeout_ms)
        if response.status == _NOT_FOUND:
            raise StoreRefusedError(store_refused('kv-txn', response.status))
        commit = _decoded(response, WireCommit)
        current = tuple(
            _entry(found) for found in commit.items if found.revision
        )
        return CommitResult(response.status == _OK, commit.revision, current)

    def grant_lease(self, ttl_s: int) -> StoreLease:
        """Grant a lease of `ttl_s` seconds."""
        ttl_ms = ttl_s * MS_PER_SECOND
        deadline_ms = deadline_in(ttl_ms)
        body = msgspec.json.encode(WireLeaseRequest(ttl_ms))
        lease = _decoded(self._call('POST', 'kv-lease', body), WireLease)
        return StoreLease(lease.lease, deadline_ms)

    def keep_alive(self, lease: StoreLease) -> StoreLease | None:
        """Renew the lease; return None if it has already expired."""
        sent_ms = deadline_in(0)
        response = self._call('POST', f'kv-keep/{lease.lease_id}')
        if response.status == _NOT_FOUND:
            return None
        renewed = _decoded(response, WireLease)
        return StoreLease(lease.lease_id, sent_ms + renewed.ttl_ms)

    def revoke(self, lease: StoreLease) -> None:
        """End the lease and delete the keys bound to it."""
        self._call('DELETE', f'kv-lease-end/{lease.lease_id}')

    def watch(self, prefix: str, revision: int) -> Iterator[ChangeBatch]:
        """Yield changes below `prefix` that are newer than `revision`.

        Raises `StoreCompactedError` if that history has been compacted.
        """
        after = revision
        for wait_ms in repeat(WATCH_WAIT_MS):
            batch = self.wait_for_changes(prefix, after, wait_ms)
            after = batch.revision
            yield batch

    def read_changes(self, prefix: str, revision: int) -> ChangeBatch:
        """Return the changes below `prefix` that are newer than `revision`.

        Raises `StoreCompactedError` if that history has been compacted.
        """
        path = _watch_path(prefix, revision, MIN_WATCH_WAIT_MS)
        response = self._fetch(path, IDLE_TIMEOUT_MS)
        return _batch(response, prefix, revision)

    def wait_for_changes(
        self, prefix: str, revision: int, wait_ms: int
    ) -> ChangeBatch:
        """Return the next changes below `prefix`, none after `wait_ms`.

        Raises `StoreCompactedError` if that history has been compacted.
        """
        path = _watch_path(prefix, revision, wait_ms)
        response = self._fetch(path, wait_ms + WATCH_RESPONSE_MARGIN_MS)
        return _batch(response, prefix, revision)

    def call_count(self) -> int:
        """Return the number of calls sent so far."""
        return self._counters.count('store_calls')

    def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> HttpResponse:
        with _counted(self._counters, path):
            response = self._conn.call(
                method,
                f'/gentianpulley/{path}',
                deadline_in(timeout_ms),
                body,
            )
        _check_status(response.status, path)
        return response

    def _fetch(self, path: str, idle_ms: int) -> HttpResponse:
        """Return a response that may be large."""
        timeouts = ReadTimeouts(
            deadline_in(idle_ms + MAX_RESPONSE_TRANSFER_MS),
            idle_ms / MS_PER_SECOND,
        )
        with _counted(self._counters, path):
            response = self._conn.fetch(f'/gentianpulley/{path}', timeouts)
        _check_status(response.status, path)
        return response


def connect_kv_store(address: HttpAddress, counters: Counters) -> KvStore:
    """Return a client of the platform's store at `address`."""
    return KvStore(address, counters)


@contextmanager
def _counted(counters: Counters, path: str) -> Iterator[None]:
    """Count and time a call; map HTTP errors to store errors."""
    kind = _kind(path)
    counters.add('store_calls')
    counters.add(f'store_{kind}_calls')
    try:
        with counters.timed(f'store_{kind}'):
            yield
    except HttpUnreachableError as exc:
        raise StoreUnreachableError(exc.text) from exc
    except HttpSilentError as exc:
        raise StoreAnswerLostError(exc.text) from exc


def _check_status(status: int, path: str) -> None:
    """Raise for an error status; 429 and 503 are sent before the store acts."""
    if status in {_OK, _NOT_FOUND, _GONE, _CONFLICT}:
        return
    text = store_refused(path, status)
    if status in {_TOO_MANY, _UNAVAILABLE}:
        raise StoreUnreachableError(text)
    raise StoreRefusedError(text)


def _kind(path: str) -> str:
    """Return the kind of a call, as used in counter names."""
    name = path.removeprefix('kv-')
    verb = name.partition('?')[0].partition('/')[0]
    return verb.replace('-', '_')


def _decoded(response: HttpResponse, message: type[_Message]) -> _Message:
    try:
        return msgspec.json.decode(response.body, type=message)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise StoreAnswerLostError(str(exc)) from exc


def _watch_path(prefix: str, after: int, wait_ms: int) -> str:
    quoted = quote(prefix, safe='')
    return f'kv-watch?prefix={quoted}&after={after}&wait_ms={wait_ms}'


def _batch(response: HttpResponse, prefix: str, after: int) -> ChangeBatch:
    """Return the changes in the response to a watch."""
    if response.status == _GONE:
        raise StoreCompactedError(store_refused(prefix, _GONE))
    batch = _decoded(response, WireEvents)
    changes = tuple(map(_change, batch.events))
    return ChangeBatch(changes, max(after, batch.store_revision))


def _encoded(body: bytes) -> str:
    return b64encode(body).decode()


def _entry(found: WireItem) -> Entry:
    try:
        body = b64decode(found.value, validate=True)
    except ValueError as exc:
        raise StoreAnswerLostError(str(exc)) from exc
    return Entry(found.key, body, found.revision)


def _change(event: WireItem) -> Change:
    entry = None if event.is_removed else _entry(event)
    return Change(event.key, entry, event.revision)
