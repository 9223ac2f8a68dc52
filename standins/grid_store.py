"""A fake of the platform's store, on loopback.

It implements the published protocol: items, paged ranges, watches, conditional
transactions and leases. `faults` reproduces the failures of the real store:

- `down`: rejects every request with 503.
- `lose_answers`: executes the next N writes, then hangs before it responds.
- `drop_requests`: hangs on the next N writes before it executes them.
- `late`: executes the next N writes after `LATE_S`, when their callers have
  timed out.
- `keys`: limits these three to writes of keys with this prefix.
- `silent_watches`: responds to no watch.
- `silent`: responds to no request.
- `compacted`: responds to every watch with 410.
"""

import json
import threading
import time
from base64 import b64decode, b64encode
from bisect import bisect_right
from dataclasses import dataclass, field
from operator import itemgetter
from typing import Any, Final

from standins.http_server import NOT_FOUND, OK, Call, Reply, StandinServer

HOST: Final = '127.0.0.1'
PAGE: Final = 50
HANG_S: Final = 5.0
LATE_S: Final = 1.5
MS: Final = 1000
GONE: Final = 410
CONFLICT: Final = 412
UNAVAILABLE: Final = 503
PREFIX: Final = '/gentianpulley/kv-'

Json = dict[str, Any]


@dataclass
class _Lease:
    ttl_ms: int
    deadline_s: float
    keys: set[str] = field(default_factory=set)


class GridStore(StandinServer):
    """Serves one store, with all state in memory."""

    def __init__(self, host: str = HOST, port: int = 0) -> None:
        """Start with an empty store."""
        super().__init__(host, port)
        self.faults: Json = {}
        self.calls = 0
        self._changed = threading.Condition()
        self._revision = 1
        self._items: dict[str, Json] = {}
        self._history: list[Json] = []
        self._compacted_revision = 0
        self._leases: dict[int, _Lease] = {}
        self._last_lease = 0

    def serve(self, call: Call) -> Reply:
        """Handle one request."""
        name = call.path.removeprefix(PREFIX)
        self.calls += 1
        while self.faults.get('silent'):
            time.sleep(0.05)
        if self.faults.get('down'):
            return Reply(UNAVAILABLE)
        verb, _, lease_id = name.partition('/')
        if verb == 'watch':
            return self._watch(call.query)
        if verb == 'txn':
            return self._faulty_txn(json.loads(call.body))
        with self._changed:
            self._expire()
            if verb == 'key':
                return self._key(call.query['key'])
            if verb == 'range':
                return _reply(self._range(call.query))
            return self._lease_call(verb, lease_id, call)

    def put(self, key: str, document: object) -> int:
        """Write a document as an operator or a worker would.

        Returns the new revision.
        """
        if isinstance(document, bytes):
            value = document
        else:
            value = json.dumps(document).encode()
        with self._changed:
            self._revision += 1
            self._put(key, b64encode(value).decode(), 0)
            self._changed.notify_all()
            return self._revision

    def remove(self, key: str) -> None:
        """Delete a key as an operator or a worker would."""
        with self._changed:
            self._revision += 1
            self._delete(key)
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Compact the history; watches from older revisions get 410."""
        with self._changed:
            self._revision += 1
            self._history.clear()
            self._compacted_revision = self._revision
            self._changed.notify_all()

    def item(self, key: str) -> Json | None:
        """Return the stored item of a key, or None if there is none."""
        with self._changed:
            return self._items.get(key)

    def text(self, key: str) -> str:
        """Return the decoded value of a key, or an empty string if absent."""
        item = self.item(key)
        return b64decode(item['value']).decode() if item else ''

    def keys(self, prefix: str) -> list[str]:
        """Return the keys that start with a prefix."""
        with self._changed:
            return [key for key in self._items if key.startswith(prefix)]

    def _key(self, key: str) -> Reply:
        found = self._items.get(key)
        if found is None:
            return _reply({'current_rev': self._revision}, NOT_FOUND)
        return _reply({**found, 'current_rev': self._revision})

    def _range(self, query: dict[str, str]) -> Json:
        after = query.get('after', '')
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query['prefix']) and key > after
        )
        return {
            'items': [self._items[key] for key in keys[:PAGE]],
            'truncated': len(keys) > PAGE,
            'current_rev': self._revision,
        }

    def _watch(self, query: dict[str, str]) -> Reply:
        after = int(query['after'])
        deadline_s = time.monotonic() + int(query['wait_ms']) / MS
        while self.faults.get('silent_watches'):
            time.sleep(0.05)
        if self.faults.get('compacted'):
            return _reply({}, GONE)
        with self._changed:
            while True:
                self._expire()
                if after < self._compacted_revision:
                    return _reply({}, GONE)
                newer = bisect_right(
                    self._history, after, key=itemgetter('revision')
                )
                events = [
                    event
                    for event in self._history[newer:]
                    if event['key'].startswith(query['prefix'])
                ]
                remaining_s = deadline_s - time.monotonic()
                if events or remaining_s <= 0:
                    return _reply(
                        {'events': events, 'current_rev': self._revision}
                    )
                self._changed.wait(min(remaining_s, 0.1))

    def _faulty_txn(self, req: Json) -> Reply:
        if not self._writes_faulty_key(req):
            return self._txn(req)
        if self._consume_fault('drop_requests'):
            time.sleep(HANG_S)
        if self._consume_fault('late'):
            threading.Timer(LATE_S, self._txn, (req,)).start()
            time.sleep(HANG_S)
        reply = self._txn(req)
        if self._consume_fault('lose_answers'):
            time.sleep(HANG_S)
        return reply

    def _writes_faulty_key(self, req: Json) -> bool:
        prefix = self.faults.get('keys', '')
        written = (*(put['key'] for put in req.get('puts', ())), '')
        return any(key.startswith(prefix) for key in written)

    def _txn(self, req: Json) -> Reply:
        with self._changed:
            self._expire()
            preconditions = req.get('expected_rev', [])
            if not all(
                self._is_met(precondition) for precondition in preconditions
            ):
                current = [
                    self._items.get(
                        precondition['key'],
                        {'key': precondition['key'], 'revision': 0},
                    )
                    for precondition in preconditions
                ]
                return _reply({'items': current}, CONFLICT)
            self._revision += 1
            for put in req.get('puts', []):
                lease = put.get('lease', 0)
                if lease and lease not in self._leases:
                    return _reply({}, NOT_FOUND)
                self._put(put['key'], put['value'], lease)
            for key in req.get('deletes', []):
                self._delete(key)
            self._changed.notify_all()
            return _reply({'revision': self._revision})

    def _is_met(self, precondition: Json) -> bool:
        absent = {'revision': 0}
        found = self._items.get(precondition['key'], absent)
        return bool(found['revision'] == precondition['revision'])

    def _put(self, key: str, value: str, lease: int) -> None:
        previous = self._items.get(key)
        create_revision = (
            previous['create_revision'] if previous else self._revision
        )
        item = {
            'key': key,
            'value': value,
            'revision': self._revision,
            'create_revision': create_revision,
            'lease': lease,
        }
        self._items[key] = item
        self._history.append(item)
        if lease:
            self._leases[lease].keys.add(key)

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._history.append(
                {'key': key, 'revision': self._revision, 'removed': True}
            )

    def _lease_call(self, verb: str, lease_id: str, call: Call) -> Reply:
        if verb == 'lease':
            self._last_lease += 1
            ttl_ms = json.loads(call.body)['ttl_ms']
            deadline_s = time.monotonic() + ttl_ms / MS
            self._leases[self._last_lease] = _Lease(ttl_ms, deadline_s)
            return _reply({'lease': self._last_lease, 'ttl_ms': ttl_ms})
        lease = self._leases.get(int(lease_id))
        if lease is None:
            return _reply({}, NOT_FOUND)
        if verb == 'keep':
            lease.deadline_s = time.monotonic() + lease.ttl_ms / MS
        else:
            self._end_lease(int(lease_id))
        return _reply({'ttl_ms': lease.ttl_ms})

    def _expire(self) -> None:
        for lease_id, lease in tuple(self._leases.items()):
            if lease.deadline_s <= time.monotonic():
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        lease = self._leases.pop(lease_id)
        # A key may have been written again since, under another lease.
        keys = [
            key for key in sorted(lease.keys) if self._is_bound(key, lease_id)
        ]
        if keys:
            self._revision += 1
        for key in keys:
            self._delete(key)
        self._changed.notify_all()

    def _is_bound(self, key: str, lease_id: int) -> bool:
        found = self._items.get(key)
        return found is not None and found['lease'] == lease_id

    def _consume_fault(self, fault: str) -> bool:
        with self._changed:
            remaining = int(self.faults.get(fault, 0))
            if remaining > 0:
                self.faults[fault] = remaining - 1
            return remaining > 0


def _reply(document: Json, status: int = OK) -> Reply:
    return Reply(status, json.dumps(document).encode())
