"""A fake of the platform's machine provider API, on loopback.

Each machine runs one worker of `grid_worker`. Maintenance ends the worker's
incarnation; a new one registers after `UPKEEP_S`. The fault `lose_orders`
executes the next N orders but delays their responses by `HANG_S`; `late_orders`
executes them after that, `drop_orders` never; `busy` rejects the next N
orders.
"""

import json
import threading
import time
from typing import Any, Final

from standins.grid_worker import GridWorker
from standins.http_server import OK, Call, Reply, StandinServer

HOST: Final = '127.0.0.1'
UPKEEP_S: Final = 0.4
HANG_S: Final = 3.0
CONFLICT: Final = 409
BAD_REQUEST: Final = 400
UNAVAILABLE: Final = 503


class GridMachines(StandinServer):
    """Serves machines `m-w1` and so on.

    `begun` lists the workers whose machines entered maintenance, each once.
    """

    def __init__(self, workers: dict[str, GridWorker]) -> None:
        """Listen on a free port."""
        super().__init__(HOST, 0)
        self.faults: dict[str, int] = {}
        self.begun: list[str] = []
        self.most_down = 0
        self._workers = workers
        self._down: set[str] = set()
        self._token = 0
        self._lock = threading.Lock()

    def serve(self, call: Call) -> Reply:
        """Handle one request."""
        if call.method == 'GET':
            return _reply({'machines': self._rows(), 'next_token': None})
        order = json.loads(call.body)
        token = int(call.headers['X-Fence-Token'])
        if self._consume_fault('late_orders'):
            time.sleep(HANG_S)
        if self._consume_fault('drop_orders'):
            time.sleep(HANG_S)
            return _reply({}, UNAVAILABLE)
        reply = self._start_maintenance(order, token)
        if self._consume_fault('lose_orders'):
            time.sleep(HANG_S)
        return reply

    def _rows(self) -> list[dict[str, Any]]:
        return [
            {
                'machine': f'm-{worker_id}',
                'state': 'upkeep' if worker_id in self._down else 'up',
                'id': worker_id,
            }
            for worker_id in self._workers
        ]

    def _start_maintenance(self, order: dict[str, Any], token: int) -> Reply:
        worker_id = order['machine'].removeprefix('m-')
        with self._lock:
            if token < self._token:
                return _reply({'reason': 'fence'}, CONFLICT)
            self._token = token
            if worker_id not in self._workers:
                return _reply({}, BAD_REQUEST)
            if worker_id in self.begun:
                return _reply({})
            if self.faults.get('busy', 0) > 0:
                self.faults['busy'] -= 1
                return _reply({'reason': 'busy'}, CONFLICT)
            self.begun.append(worker_id)
            self._down.add(worker_id)
            self.most_down = max(self.most_down, len(self._down))
        threading.Timer(UPKEEP_S, self._end_maintenance, (worker_id,)).start()
        return _reply({})

    def _end_maintenance(self, worker_id: str) -> None:
        self._workers[worker_id].crash()
        with self._lock:
            self._down.discard(worker_id)

    def _consume_fault(self, fault: str) -> bool:
        with self._lock:
            remaining = self.faults.get(fault, 0)
            if remaining > 0:
                self.faults[fault] = remaining - 1
            return remaining > 0


def _reply(document: dict[str, Any], status: int = OK) -> Reply:
    return Reply(status, json.dumps(document).encode())
