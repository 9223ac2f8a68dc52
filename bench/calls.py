"""Measures the processor time of one short call in the calling thread.

Usage: python -m bench.calls [CALLS]

A server in a separate process answers each request at once. The connection
pool that most adapters use and the keep-alive connection to workers alternate
in blocks, so that both run under the same machine load.
"""

import asyncio
import sys
import time
from collections.abc import Callable
from multiprocessing import Pipe, Process
from multiprocessing.connection import Connection
from statistics import median
from typing import Final

from gentianpulley.deadline import deadline_in
from gentianpulley.http_conn import HttpAddress, HttpConn
from gentianpulley.keep_alive import KeepAliveConn, ResponseDeadlines
from tests.scripted_server import ScriptedServer, build_response

DEFAULT_CALLS: Final = 12_000
BLOCKS: Final = 12
TIMEOUT_MS: Final = 1000
HOST: Final = '127.0.0.1'
PATH: Final = '/gentianpulley/run-start'
HEADERS: Final = (('X-Target-Instance', 'i-0123456789'),)
REQUEST: Final = (
    b'{"task":"5c0e7a21d94b36f8.0.1.17","run":2,"task_spec":"text",'
    b'"deadline_ms":486000,"fence_token":7,"checkpoint":""}'
)
BODY: Final = b'{"clock_ms":482113,"born":1796415446768}'
ANSWER: Final = build_response(
    BODY, extra_headers=b'Content-Type: application/json\r\n'
)


def main() -> None:
    """Measure both clients and print the processor time of a call."""
    calls = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_CALLS
    parent_pipe, child_pipe = Pipe()
    server = Process(target=_serve, args=(child_pipe,), daemon=True)
    server.start()
    address = HttpAddress(HOST, int(parent_pipe.recv()))
    with asyncio.Runner() as runner:
        clients = {
            'pool': _pool(address),
            'keep-alive': _keep_alive(address, runner),
        }
        costs: dict[str, list[float]] = {name: [] for name in clients}
        for _ in range(BLOCKS):
            for name, make_calls in clients.items():
                costs[name].append(_cost_us(make_calls, calls // BLOCKS))
    for name, blocks in costs.items():
        print(
            f'{name:>10}: {median(blocks):6.1f} us a call '
            f'(blocks {min(blocks):.1f} to {max(blocks):.1f})'
        )
    parent_pipe.send(None)
    server.join()


def _pool(address: HttpAddress) -> Callable[[int], None]:
    conn = HttpConn(address, 1)

    def make_calls(calls: int) -> None:
        for _ in range(calls):
            conn.call('POST', PATH, deadline_in(TIMEOUT_MS), REQUEST, HEADERS)

    return make_calls


def _keep_alive(
    address: HttpAddress, runner: asyncio.Runner
) -> Callable[[int], None]:
    conn = KeepAliveConn(address, HEADERS)

    async def make_calls(calls: int) -> None:
        left = calls
        while left:
            await conn.post(PATH, REQUEST, _deadlines())
            left -= 1

    return lambda calls: runner.run(make_calls(calls))


def _deadlines() -> ResponseDeadlines:
    until_ms = deadline_in(TIMEOUT_MS)
    return ResponseDeadlines(until_ms, TIMEOUT_MS, until_ms)


def _cost_us(make_calls: Callable[[int], None], calls: int) -> float:
    start_ns = time.thread_time_ns()
    make_calls(calls)
    return (time.thread_time_ns() - start_ns) / calls / 1000


def _serve(pipe: Connection) -> None:
    server = ScriptedServer(lambda _: (ANSWER,))
    pipe.send(server.port)
    pipe.recv()
    server.close()


if __name__ == '__main__':
    main()
