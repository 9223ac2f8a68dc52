"""Store adapter for the etcd v3 JSON gateway.

Requests are POSTs with JSON bodies; keys and values are encoded as base64 and
64-bit integers as decimal strings. Independent conditional writes share one
call: each is a nested transaction inside one outer transaction that has no
conditions.
"""

import threading
from base64 import b64decode, b64encode
from collections.abc import Iterator, Sequence
from typing import Final, TypeVar

import msgspec

from gentianpulley.deadline import MS_PER_SECOND, deadline_in
from gentianpulley.errors import (
    HttpSilentError,
    HttpUnreachableError,
    StoreAnswerLostError,
    StoreRefusedError,
    StoreUnreachableError,
)
from gentianpulley.etcd_messages import (
    EMPTY_KV,
    Compare,
    CompareTarget,
    DeleteRequest,
    FlatTxnResponse,
    KeyValue,
    LeaseGrantRequest,
    LeaseGrantResponse,
    LeaseKeepAliveResponse,
    LeaseRequest,
    PutRequest,
    RangeRequest,
    RangeResponse,
    RequestOp,
    ResponseOp,
    TxnRequest,
    TxnResponse,
    WatchCreate,
    WatchEnvelope,
    WatchRequest,
)
from gentianpulley.http_conn import HttpAddress, HttpConn
from gentianpulley.messages import store_refused
from gentianpulley.store import (
    Change,
    ChangeBatch,
    CommitResult,
    Entry,
    ConditionalWrite,
    Put,
    Snapshot,
    Store,
    StoreLease,
    Transaction,
    WriteResult,
)

CALL_TIMEOUT_MS: Final = 2000
WATCH_IDLE_TIMEOUT_S: Final = 4.0
MAX_CONNS: Final = 8
_HTTP_OK: Final = 200
_HTTP_SERVER_ERRORS: Final = 500
_HTTP_UNAVAILABLE: Final = 503
_LAST_BYTE: Final = 0xFF
_DELETE_EVENT: Final = 'DELETE'

_Resp = TypeVar('_Resp')


class EtcdStore(Store):
    """Accesses the store through an etcd v3 JSON gateway."""

    def __init__(self, address: HttpAddress) -> None:
        """Store the address; the first call connects."""
        self._conn = HttpConn(address, MAX_CONNS)
        self._calls = 0
        self._calls_lock = threading.Lock()

    def read(self, key: str) -> Entry | None:
        """Return the entry at `key`, or None if there is none."""
        resp = self._call(
            '/v3/kv/range', RangeRequest(key=_encode(key)), RangeResponse
        )
        return _entry(resp.kvs[0]) if resp.kvs else None

    def read_prefix(self, prefix: str) -> Snapshot:
        """Return all entries whose keys start with `prefix`."""
        req = RangeRequest(key=_encode(prefix), range_end=_prefix_end(prefix))
        resp = self._call('/v3/kv/range', req, RangeResponse)
        return Snapshot(
            tuple(_entry(kv) for kv in resp.kvs), int(resp.header.revision)
        )

    def write(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Try each write independently in one call; results keep the order."""
        req = TxnRequest(
            success=tuple(
                RequestOp(request_txn=_nested_txn(write)) for write in writes
            )
        )
        resp = self._call('/v3/kv/txn', req, TxnResponse)
        revision = int(resp.header.revision)
        return tuple(_write_result(op, revision) for op in resp.responses)

    def commit(self, txn: Transaction) -> CommitResult:
        """Apply either all writes of a transaction or none."""
        req = TxnRequest(
            compare=tuple(
                Compare(
                    key=_encode(precondition.key),
                    target=CompareTarget.MOD,
                    mod_revision=str(precondition.revision),
                )
                for precondition in txn.preconditions
            ),
            success=(
                *(RequestOp(request_put=_put(put)) for put in txn.puts),
                *(
                    RequestOp(
                        request_delete_range=DeleteRequest(key=_encode(key))
                    )
                    for key in txn.deletes
                ),
            ),
            failure=tuple(
                RequestOp(
                    request_range=RangeRequest(key=_encode(precondition.key))
                )
                for precondition in txn.preconditions
            ),
        )
        resp = self._call('/v3/kv/txn', req, FlatTxnResponse)
        current = tuple(
            _entry(kv)
            for op in resp.responses
            if op.response_range is not None
            for kv in op.response_range.kvs
        )
        return CommitResult(resp.succeeded, int(resp.header.revision), current)

    def grant_lease(self, ttl_s: int) -> StoreLease:
        """Grant a lease with a TTL of `ttl_s` seconds."""
        deadline_ms = deadline_in(ttl_s * MS_PER_SECOND)
        resp = self._call(
            '/v3/lease/grant',
            LeaseGrantRequest(TTL=str(ttl_s)),
            LeaseGrantResponse,
        )
        return StoreLease(int(resp.ID), deadline_ms)

    def keep_alive(self, lease: StoreLease) -> StoreLease | None:
        """Renew the lease; returns None if it has already expired."""
        sent_ms = deadline_in(0)
        resp = self._call(
            '/v3/lease/keepalive',
            LeaseRequest(ID=str(lease.lease_id)),
            LeaseKeepAliveResponse,
        )
        ttl_s = int(resp.result.TTL)
        if ttl_s <= 0:
            return None
        return StoreLease(lease.lease_id, sent_ms + ttl_s * MS_PER_SECOND)

    def revoke(self, lease: StoreLease) -> None:
        """Revoke the lease and delete the keys attached to it."""
        self._call(
            '/v3/lease/revoke',
            LeaseRequest(ID=str(lease.lease_id)),
            RangeResponse,
        )

    def watch(self, prefix: str, revision: int) -> Iterator[ChangeBatch]:
        """Yield changes under `prefix` that are newer than `revision`."""
        self._count()
        req = WatchRequest(
            create_request=WatchCreate(
                key=_encode(prefix),
                range_end=_prefix_end(prefix),
                start_revision=str(revision + 1),
            )
        )
        try:
            for line in self._conn.stream(
                '/v3/watch', msgspec.json.encode(req), WATCH_IDLE_TIMEOUT_S
            ):
                yield _batch(line)
        except HttpUnreachableError as unreachable:
            raise StoreUnreachableError(unreachable.text) from unreachable
        except HttpSilentError as silent:
            raise StoreAnswerLostError(silent.text) from silent

    def call_count(self) -> int:
        """Return the number of calls sent; each watch counts as one call."""
        return self._calls

    def _count(self) -> None:
        with self._calls_lock:
            self._calls += 1

    def _call(
        self, path: str, req: msgspec.Struct, resp_type: type[_Resp]
    ) -> _Resp:
        self._count()
        try:
            resp = self._conn.call(
                'POST',
                path,
                deadline_in(CALL_TIMEOUT_MS),
                msgspec.json.encode(req),
            )
        except HttpUnreachableError as unreachable:
            raise StoreUnreachableError(unreachable.text) from unreachable
        except HttpSilentError as silent:
            raise StoreAnswerLostError(silent.text) from silent
        _check_status(resp.status, path)
        return _decode(resp.body, resp_type)


def connect_store(address: HttpAddress) -> Store:
    """Return a store that uses the gateway at `address`."""
    return EtcdStore(address)


def _check_status(status: int, path: str) -> None:
    """Raise the error that tells whether a failed call may have taken effect.

    The gateway responds with 503 before it processes a call, and with 4xx to
    calls that it never processes. Any other error status is inconclusive: the
    call may already have taken effect.
    """
    if status == _HTTP_OK:
        return
    text = store_refused(path, status)
    if status == _HTTP_UNAVAILABLE:
        raise StoreUnreachableError(text)
    if status < _HTTP_SERVER_ERRORS:
        raise StoreRefusedError(text)
    raise StoreAnswerLostError(text)


def _decode(body: bytes, resp_type: type[_Resp]) -> _Resp:
    try:
        return msgspec.json.decode(body, type=resp_type)
    except msgspec.DecodeError as exc:
        raise StoreAnswerLostError(str(exc)) from exc


def _encode(key: str) -> str:
    return b64encode(key.encode()).decode()


def _prefix_end(prefix: str) -> str:
    """Return the first key that sorts after all keys with this prefix."""
    raw = bytearray(prefix.encode())
    while raw and raw[-1] == _LAST_BYTE:
        raw.pop()
    raw[-1] += 1
    return b64encode(bytes(raw)).decode()


def _entry(kv: KeyValue) -> Entry:
    return Entry(
        b64decode(kv.key).decode(),
        b64decode(kv.value),
        int(kv.mod_revision),
    )


def _nested_txn(write: ConditionalWrite) -> TxnRequest:
    key = _encode(write.key)
    precondition = Compare(
        key=key,
        target=CompareTarget.MOD,
        mod_revision=str(write.expected_revision),
    )
    puts = tuple(RequestOp(request_put=_put(put)) for put in write.puts)
    deletes = tuple(
        RequestOp(request_delete_range=DeleteRequest(key=_encode(deleted)))
        for deleted in write.deletes
    )
    return TxnRequest(
        compare=(precondition,),
        success=puts + deletes,
        failure=(RequestOp(request_range=RangeRequest(key=key)),),
    )


def _put(put: Put) -> PutRequest:
    return PutRequest(
        key=_encode(put.key),
        value=b64encode(put.body).decode(),
        lease=str(put.lease_id),
    )


def _write_result(op: ResponseOp, revision: int) -> WriteResult:
    nested = op.response_txn
    if nested.succeeded:
        return WriteResult(applied=True, revision=revision, current=None)
    ranges = [inner.response_range for inner in nested.responses if inner]
    kvs = ranges[0].kvs if ranges and ranges[0] else ()
    current = _entry(kvs[0]) if kvs else None
    return WriteResult(applied=False, revision=revision, current=current)


def _batch(line: bytes) -> ChangeBatch:
    resp = _decode(line, WatchEnvelope).result
    if resp.canceled:
        raise StoreRefusedError(store_refused('/v3/watch', _HTTP_OK))
    changes = []
    for event in resp.events:
        kv = event.kv or EMPTY_KV
        entry = None if event.type == _DELETE_EVENT else _entry(kv)
        changes.append(
            Change(b64decode(kv.key).decode(), entry, int(kv.mod_revision))
        )
    return ChangeBatch(tuple(changes), int(resp.header.revision))
