"""The key-value store of the fake platform, modelled on etcd.

Keys, values and 64-bit numbers keep the encoding of the JSON gateway, so
requests and responses need no conversion.
"""

import threading
import time
from base64 import b64decode
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final

Json = dict[str, Any]

PROGRESS_INTERVAL_S: Final = 1.0
EXPIRY_INTERVAL_S: Final = 0.1


@dataclass
class _Value:
    body: str
    mod_revision: int
    lease: int


@dataclass
class _Lease:
    ttl_s: int
    deadline_s: float
    keys: set[str] = field(default_factory=set)


class KeyValues:
    """An in-memory store with compare-and-swap, leases and watches."""

    def __init__(self) -> None:
        """Start empty at revision 1."""
        self._lock = threading.Condition()
        self._revision = 1
        self._values: dict[str, _Value] = {}
        self._leases: dict[int, _Lease] = {}
        self._last_lease = 0
        self._history: list[tuple[int, Json]] = []
        threading.Thread(target=self._expire_loop, daemon=True).start()

    def range(self, req: Json) -> Json:
        """Handle /v3/kv/range."""
        with self._lock:
            return self._range(req)

    def put(self, req: Json) -> Json:
        """Handle /v3/kv/put."""
        with self._lock:
            self._revision += 1
            self._put(req)
            self._lock.notify_all()
            return self._header()

    def txn(self, req: Json) -> Json:
        """Handle /v3/kv/txn; all changes get the same, single revision."""
        with self._lock:
            self._revision += 1
            response = self._txn(req)
            self._lock.notify_all()
            return {**self._header(), **response}

    def grant(self, req: Json) -> Json:
        """Handle /v3/lease/grant."""
        with self._lock:
            self._last_lease += 1
            ttl_s = int(req['TTL'])
            self._leases[self._last_lease] = _Lease(
                ttl_s, time.monotonic() + ttl_s
            )
            return {'ID': str(self._last_lease), 'TTL': str(ttl_s)}

    def keep_alive(self, req: Json) -> Json:
        """Handle /v3/lease/keepalive."""
        with self._lock:
            lease = self._leases.get(int(req['ID']))
            if lease is None:
                return {'result': {'ID': req['ID'], 'TTL': '0'}}
            lease.deadline_s = time.monotonic() + lease.ttl_s
            return {'result': {'ID': req['ID'], 'TTL': str(lease.ttl_s)}}

    def revoke(self, req: Json) -> Json:
        """Handle /v3/lease/revoke."""
        with self._lock:
            self._end_lease(int(req['ID']))
            self._lock.notify_all()
            return self._header()

    def watch(self, req: Json) -> Iterator[Json]:
        """Handle /v3/watch with an endless stream and regular progress."""
        create = req['create_request']
        seen = int(create.get('start_revision', 0)) - 1
        yield {'result': {**self._header(), 'created': True}}
        while True:
            with self._lock:
                if self._revision <= seen:
                    self._lock.wait(PROGRESS_INTERVAL_S)
                events = self._events_since(seen, create)
                seen = self._revision
                response = {**self._header(), 'events': events}
            yield {'result': response}

    def _events_since(self, seen: int, create: Json) -> list[Json]:
        newer = [event for revision, event in self._history if revision > seen]
        return [
            event for event in newer if _in_range(event['kv']['key'], create)
        ]

    def _header(self) -> Json:
        return {'header': {'revision': str(self._revision)}}

    def _range(self, req: Json) -> Json:
        found = [
            _kv(key, entry)
            for key, entry in sorted(self._values.items())
            if _in_range(key, req)
        ]
        response = self._header()
        if found:
            response['kvs'] = found
        return response

    def _put(self, req: Json) -> None:
        lease_id = int(req.get('lease', 0))
        previous = self._values.get(req['key'])
        if previous is not None and previous.lease in self._leases:
            self._leases[previous.lease].keys.discard(req['key'])
        entry = _Value(req['value'], self._revision, lease_id)
        self._values[req['key']] = entry
        if lease_id:
            self._leases[lease_id].keys.add(req['key'])
        self._append_event({'kv': _kv(req['key'], entry)})

    def _delete(self, key: str) -> None:
        if self._values.pop(key, None) is not None:
            kv = {'key': key, 'mod_revision': str(self._revision)}
            self._append_event({'type': 'DELETE', 'kv': kv})

    def _append_event(self, event: Json) -> None:
        self._history.append((self._revision, event))

    def _txn(self, req: Json) -> Json:
        is_met = all(self._is_met(cmp) for cmp in req.get('compare', ()))
        ops = req.get('success' if is_met else 'failure', ())
        response: Json = {'responses': [self._apply(op) for op in ops]}
        if is_met:
            response['succeeded'] = True
        return response

    def _is_met(self, compare: Json) -> bool:
        entry = self._values.get(compare['key'])
        revision = entry.mod_revision if entry else 0
        return revision == int(compare.get('mod_revision', 0))

    def _apply(self, op: Json) -> Json:
        kind, req = next(iter(op.items()))
        if kind == 'request_range':
            return {'response_range': self._range(req)}
        if kind == 'request_txn':
            return {'response_txn': self._txn(req)}
        if kind == 'request_put':
            self._put(req)
        else:
            self._delete(req['key'])
        return {}

    def _end_lease(self, lease_id: int) -> None:
        lease = self._leases.pop(lease_id, None)
        if lease is None or not lease.keys:
            return
        self._revision += 1
        for key in sorted(lease.keys):
            self._delete(key)

    def _expire_loop(self) -> None:
        while True:
            time.sleep(EXPIRY_INTERVAL_S)
            with self._lock:
                expired = [
                    lease_id
                    for lease_id, lease in self._leases.items()
                    if lease.deadline_s <= time.monotonic()
                ]
                for lease_id in expired:
                    self._end_lease(lease_id)
                self._lock.notify_all()


def _kv(key: str, entry: _Value) -> Json:
    return {
        'key': key,
        'value': entry.body,
        'mod_revision': str(entry.mod_revision),
    }


def _in_range(encoded: str, req: Json) -> bool:
    key = b64decode(encoded)
    start = b64decode(req['key'])
    if not req.get('range_end'):
        return key == start
    return start <= key < b64decode(req['range_end'])
