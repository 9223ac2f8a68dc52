"""A fake of the platform's advice service, on loopback.

It allows the workers in `allowed` and records the queries that it answered.
`busy` rejects the next N queries.
"""

import json
import time
from typing import Any, Final

from standins.http_server import OK, Call, Reply, StandinServer

HOST: Final = '127.0.0.1'
TOO_MANY: Final = 429
ANSWER_S: Final = 0.02


class GridAdviser(StandinServer):
    """Issues tickets such as `0123.0.1/w1` for a step and a worker."""

    def __init__(self, allowed: set[str]) -> None:
        """Listen on a free port."""
        super().__init__(HOST, 0)
        self.allowed = allowed
        self.busy = 0
        self.questions: list[dict[str, Any]] = []

    def serve(self, call: Call) -> Reply:
        """Handle one query."""
        if self.busy > 0:
            self.busy -= 1
            return Reply(TOO_MANY)
        time.sleep(ANSWER_S)
        query = json.loads(call.body)
        self.questions.append(query)
        good = [
            [worker_id, f'{query["step"]}/{worker_id}']
            for worker_id in query['workers']
            if worker_id in self.allowed
        ]
        return Reply(OK, json.dumps({'good': good}).encode())
