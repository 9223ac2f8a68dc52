"""A stand-in of the advice service of the users' platform, over loopback.

It allows the workers in `allowed` and remembers the tickets that it gave.
`busy` refuses the next N questions.
"""

import json
import time
from typing import Any, Final

from standins.http_server import OK, Call, Reply, StandinServer

HOST: Final = '127.0.0.1'
TOO_MANY: Final = 429
ANSWER_S: Final = 0.02


class GridAdviser(StandinServer):
    """Serves tickets such as `0123.0.1/w1` for a step and a worker."""

    def __init__(self, allowed: set[str]) -> None:
        """Listen on a free port."""
        super().__init__(HOST, 0)
        self.allowed = allowed
        self.busy = 0
        self.questions: list[dict[str, Any]] = []

    def serve(self, call: Call) -> Reply:
        """Answer one question."""
        if self.busy > 0:
            self.busy -= 1
            return Reply(TOO_MANY)
        time.sleep(ANSWER_S)
        question = json.loads(call.body)
        self.questions.append(question)
        good = [
            [worker_id, f'{question["step"]}/{worker_id}']
            for worker_id in question['workers']
            if worker_id in self.allowed
        ]
        return Reply(OK, json.dumps({'good': good}).encode())
