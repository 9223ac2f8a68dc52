"""The messages of the etcd v3 JSON gateway that the project uses.

Field names are those of the protocol. The gateway omits fields that have
their default value, so every field of a response has a default.
"""

import enum
from typing import Final

import msgspec

_ZERO: Final = '0'


class CompareTarget(enum.StrEnum):
    """The property that a condition of a transaction compares."""

    MOD = 'MOD'


class Header(msgspec.Struct, frozen=True):
    """The header of each response."""

    revision: str = _ZERO


class KeyValue(msgspec.Struct, frozen=True):
    """One key with its value, both in base64."""

    key: str = ''
    value: str = ''
    mod_revision: str = _ZERO


EMPTY_KV: Final = KeyValue()


class RangeRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Reads one key, or all keys from `key` up to `range_end`."""

    key: str
    range_end: str = ''


class RangeResponse(msgspec.Struct, frozen=True):
    """The entries that were read."""

    header: Header = Header()
    kvs: tuple[KeyValue, ...] = ()


class PutRequest(msgspec.Struct, frozen=True):
    """Writes one key."""

    key: str
    value: str
    lease: str = _ZERO


class DeleteRequest(msgspec.Struct, frozen=True):
    """Deletes one key."""

    key: str


class Compare(msgspec.Struct, frozen=True):
    """Holds when the key's revision equals `mod_revision`."""

    key: str
    target: CompareTarget
    mod_revision: str
    result: str = 'EQUAL'


class RequestOp(msgspec.Struct, frozen=True, omit_defaults=True):
    """One operation of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None
    request_txn: 'TxnRequest | None' = None


class TxnRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Runs `success` if every condition holds, else `failure`."""

    compare: tuple[Compare, ...] = ()
    success: tuple[RequestOp, ...] = ()
    failure: tuple[RequestOp, ...] = ()


class NestedTxnResponse(msgspec.Struct, frozen=True):
    """The response to a transaction nested in another transaction."""

    succeeded: bool = False
    responses: tuple['ReadResponseOp', ...] = ()


class ReadResponseOp(msgspec.Struct, frozen=True):
    """The response to one operation of a nested transaction."""

    response_range: RangeResponse | None = None


class ResponseOp(msgspec.Struct, frozen=True):
    """The response to one operation of the outer transaction."""

    response_txn: NestedTxnResponse = NestedTxnResponse()


class TxnResponse(msgspec.Struct, frozen=True):
    """The response to the outer transaction."""

    header: Header = Header()
    responses: tuple[ResponseOp, ...] = ()


class FlatTxnResponse(msgspec.Struct, frozen=True):
    """The response to a transaction without nested ones."""

    header: Header = Header()
    succeeded: bool = False
    responses: tuple[ReadResponseOp, ...] = ()


class LeaseGrantRequest(msgspec.Struct, frozen=True):
    """Requests a lease of `TTL` seconds; the server chooses the id."""

    TTL: str
    ID: str = _ZERO


class LeaseGrantResponse(msgspec.Struct, frozen=True):
    """The granted lease."""

    ID: str
    TTL: str = _ZERO


class LeaseRequest(msgspec.Struct, frozen=True):
    """Renews or revokes a lease."""

    ID: str


class LeaseStatus(msgspec.Struct, frozen=True):
    """The remaining time of a lease; a `TTL` of zero means it expired."""

    TTL: str = _ZERO


class LeaseKeepAliveResponse(msgspec.Struct, frozen=True):
    """The response to a renewal."""

    result: LeaseStatus = LeaseStatus()


class WatchCreate(msgspec.Struct, frozen=True):
    """Watches keys starting at revision `start_revision`."""

    key: str
    range_end: str
    start_revision: str
    progress_notify: bool = True


class WatchRequest(msgspec.Struct, frozen=True):
    """Opens a watch."""

    create_request: WatchCreate


class WatchEvent(msgspec.Struct, frozen=True):
    """One change; `type` is empty or PUT for a write."""

    type: str = 'PUT'
    kv: KeyValue | None = None


class WatchResponse(msgspec.Struct, frozen=True):
    """Changes of one revision, or a progress report without changes."""

    header: Header = Header()
    events: tuple[WatchEvent, ...] = ()
    canceled: bool = False


class WatchEnvelope(msgspec.Struct, frozen=True):
    """One line of the watch stream."""

    result: WatchResponse
