"""The key-value part of the platform stand-in: an etcd-like store.

Keys, values and 64-bit numbers stay in the JSON gateway's encoding, so that
requests and answers need no conversion.
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
    """Compare-and-swap, leases and watches, in memory."""

    def __init__(self) -> None:
        """Start empty at revision 1."""
        self._lock = threading.Condition()
        self._revision = 1
        self._values: dict[str, _Value] = {}
        self._leases: dict[int, _Lease] = {}
        self._last_lease = 0
        self._history: list[tuple[int, Json]] = []
        threading.Thread(target=self._expire_all, daemon=True).start()

    def range(self, req: Json) -> Json:
        """Answer /v3/kv/range."""
        with self._lock:
            return self._range(req)

    def put(self, req: Json) -> Json:
        """Answer /v3/kv/put."""
        with self._lock:
            self._revision += 1
            self._put(req)
            self._lock.notify_all()
            return self._header()

    def txn(self, req: Json) -> Json:
        """Answer /v3/kv/txn; all changes share one revision."""
        with self._lock:
            self._revision += 1
            answer = self._txn(req)
            self._lock.notify_all()
            return {**self._header(), **answer}

    def grant(self, req: Json) -> Json:
        """Answer /v3/lease/grant."""
        with self._lock:
            self._last_lease += 1
            ttl_s = int(req['TTL'])
            self._leases[self._last_lease] = _Lease(
                ttl_s, time.monotonic() + ttl_s
            )
            return {'ID': str(self._last_lease), 'TTL': str(ttl_s)}

    def keep_alive(self, req: Json) -> Json:
        """Answer /v3/lease/keepalive."""
        with self._lock:
            lease = self._leases.get(int(req['ID']))
            if lease is None:
                return {'result': {'ID': req['ID'], 'TTL': '0'}}
            lease.deadline_s = time.monotonic() + lease.ttl_s
            return {'result': {'ID': req['ID'], 'TTL': str(lease.ttl_s)}}

    def revoke(self, req: Json) -> Json:
        """Answer /v3/lease/revoke."""
        with self._lock:
            self._end_lease(int(req['ID']))
            self._lock.notify_all()
            return self._header()

    def watch(self, req: Json) -> Iterator[Json]:
        """Answer /v3/watch without an end, with regular progress."""
        create = req['create_request']
        seen = int(create.get('start_revision', 0)) - 1
        yield {'result': {**self._header(), 'created': True}}
        while True:
            with self._lock:
                if self._revision <= seen:
                    self._lock.wait(PROGRESS_INTERVAL_S)
                events = self._events_since(seen, create)
                seen = self._revision
                answer = {**self._header(), 'events': events}
            yield {'result': answer}

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
        answer = self._header()
        if found:
            answer['kvs'] = found
        return answer

    def _put(self, req: Json) -> None:
        lease_id = int(req.get('lease', 0))
        former = self._values.get(req['key'])
        if former is not None and former.lease in self._leases:
            self._leases[former.lease].keys.discard(req['key'])
        entry = _Value(req['value'], self._revision, lease_id)
        self._values[req['key']] = entry
        if lease_id:
            self._leases[lease_id].keys.add(req['key'])
        self._note({'kv': _kv(req['key'], entry)})

    def _delete(self, key: str) -> None:
        if self._values.pop(key, None) is not None:
            kv = {'key': key, 'mod_revision': str(self._revision)}
            self._note({'type': 'DELETE', 'kv': kv})

    def _note(self, event: Json) -> None:
        self._history.append((self._revision, event))

    def _txn(self, req: Json) -> Json:
        holds = all(self._holds(cmp) for cmp in req.get('compare', ()))
        ops = req.get('success' if holds else 'failure', ())
        answer: Json = {'responses': [self._apply(op) for op in ops]}
        if holds:
            answer['succeeded'] = True
        return answer

    def _holds(self, compare: Json) -> bool:
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

    def _expire_all(self) -> None:
        while True:
            time.sleep(EXPIRY_INTERVAL_S)
            with self._lock:
                lapsed = [
                    lease_id
                    for lease_id, lease in self._leases.items()
                    if lease.deadline_s <= time.monotonic()
                ]
                for lease_id in lapsed:
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
