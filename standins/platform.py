"""A fake platform: key-value store and instance list over HTTP.

Usage: python -m standins.platform PORT

Besides these two protocols it has a control request for tests, POST
/standin/faults, which reproduces failures of the real store.
"""

import json
import sys
import threading
import time
from collections.abc import Iterator
from typing import Any, Final

from standins.http_server import NOT_FOUND, OK, Call, Reply, StandinServer
from standins.key_values import KeyValues

LIST_PATH: Final = '/apis/discovery.k8s.io/v1/endpointslices'
HOST: Final = '127.0.0.1'
UNAVAILABLE: Final = 503
HANG_S: Final = 30.0


class Platform(StandinServer):
    """Serves the store and the instance list.

    Faults, as set by /standin/faults:

    - `down`: rejects every request to the store with 503.
    - `delay_ms`: delays every request to the store.
    - `lose_answers`: executes the next N transactions, then hangs before it
      responds.
    - `drop_requests`: hangs on the next N transactions before it executes them.
    - `silent_watches`: sends nothing on watches.
    """

    def __init__(self, host: str, port: int) -> None:
        """Start with an empty store and an empty instance list."""
        super().__init__(host, port)
        self.key_values = KeyValues()
        self.faults: dict[str, Any] = {}
        self.calls = 0
        self._lock = threading.Lock()
        self._slices: dict[str, Any] = {}

    def serve(self, call: Call) -> Reply:
        """Handle one request."""
        if call.path == LIST_PATH:
            items = {'items': list(self._slices.values())}
            return _reply(items)
        req = json.loads(call.body or b'{}')
        if call.path == '/standin/faults':
            self.faults = req
            return _reply(req)
        if call.path == '/standin/instances':
            return self._update_list(req)
        if call.path == '/standin/calls':
            return _reply({'calls': self.calls})
        return self._serve_store(call.path, req)

    def _update_list(self, req: dict[str, Any]) -> Reply:
        for name, slice_ in req.items():
            if slice_ is None:
                self._slices.pop(name, None)
            else:
                self._slices[name] = slice_
        return _reply({})

    def _serve_store(self, path: str, req: dict[str, Any]) -> Reply:
        with self._lock:
            self.calls += 1
        if self.faults.get('down'):
            return Reply(UNAVAILABLE)
        time.sleep(self.faults.get('delay_ms', 0) / 1000)
        if path == '/v3/watch':
            return Reply(OK, lines=self._watch(req))
        if path.startswith('/v3/kv/txn') and self._consume_fault(
            'drop_requests'
        ):
            time.sleep(HANG_S)
        response = self._handle_store_call(path, req)
        if response is None:
            return Reply(NOT_FOUND)
        if path.startswith('/v3/kv/txn') and self._consume_fault(
            'lose_answers'
        ):
            time.sleep(HANG_S)
        return _reply(response)

    def _handle_store_call(
        self, path: str, req: dict[str, Any]
    ) -> dict[str, Any] | None:
        methods = {
            '/v3/kv/range': self.key_values.range,
            '/v3/kv/put': self.key_values.put,
            '/v3/kv/txn': self.key_values.txn,
            '/v3/lease/grant': self.key_values.grant,
            '/v3/lease/keepalive': self.key_values.keep_alive,
            '/v3/lease/revoke': self.key_values.revoke,
        }
        method = methods.get(path)
        return method(req) if method else None

    def _watch(self, req: dict[str, Any]) -> Iterator[bytes]:
        for response in self.key_values.watch(req):
            if self.faults.get('down'):
                return
            while self.faults.get('silent_watches'):
                time.sleep(0.1)
            line = json.dumps(response)
            yield f'{line}\n'.encode()

    def _consume_fault(self, fault: str) -> bool:
        with self._lock:
            remaining = int(self.faults.get(fault, 0))
            if remaining > 0:
                self.faults[fault] = remaining - 1
            return remaining > 0


def main() -> None:
    """Serve until the process is killed."""
    server = Platform(HOST, int(sys.argv[1]))
    server.serve_forever()


def _reply(response: Any) -> Reply:
    return Reply(OK, json.dumps(response).encode())


if __name__ == '__main__':
    main()
