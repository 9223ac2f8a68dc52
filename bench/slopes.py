"""Measures how the cost of an entry instance scales: `make slopes`.

Each row is one size; the last row of a table is the least-squares slope per
unit, from which docs/CAPACITY.md extrapolates.
"""

import time
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Final

from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.transport.TTransport import TMemoryBuffer

from bench.path import processor_seconds, resident_mib
from gentianpulley.peer import Headroom, PeerStatus
from gentianpulley.peer_codec import status_to_wire
from gentianpulley.resources import Resources
from standins.site import Site, wait_for
from tests.cluster_helpers import RequestSpec, put_cfg, submit

WINDOW_S: Final = 6.0
SETTLE_S: Final = 2.0
WORKERS: Final = (4, 12, 24)
TASKS: Final = (0, 24, 48)
PEERS: Final = (0, 2, 5)
REQUESTS: Final = (200, 400, 800)
ENTRY: Final = 'e-0'
MS: Final = 1000


@dataclass(frozen=True)
class Cost:
    """The cost of one instance for one cluster size."""

    size: int
    core_ms_per_s: float
    resident_mib: float
    store_calls_per_s: float


def main() -> None:
    """Measure every slope and print a table for each."""
    _print_table('owned workers', [_with_workers(count) for count in WORKERS])
    _print_table('running tasks', [_with_tasks(count) for count in TASKS])
    _print_table('peers', [_with_peers(count) for count in PEERS])
    _measure_requests()
    print(f'heartbeat: {_heartbeat_bytes()} bytes each way')


def _with_workers(count: int) -> Cost:
    with ExitStack() as stack:
        site = _start(stack, count, 0)
        return _idle_cost(site, count)


def _with_tasks(count: int) -> Cost:
    with ExitStack() as stack:
        site = _start(stack, 12, 0)
        for number in range(count):
            run = RequestSpec(
                f'r-{number}',
                'scaling-run',
                {'run_ms': 60_000},
                deadline_ms=90_000,
            )
            submit(site, ENTRY, run, 0)
        wait_for(lambda: len(site.record()) == count or count == 0, 30)
        return _idle_cost(site, count)


def _with_peers(count: int) -> Cost:
    with ExitStack() as stack:
        site = _start(stack, 0, count)
        return _idle_cost(site, count)


def _start(stack: ExitStack, workers: int, peers: int) -> Site:
    site = Site()
    stack.callback(site.stop)
    site.start_platform()
    put_cfg(site)
    for number in range(workers):
        site.start_worker(f'w-{number}', 'leith')
    for entry in range(peers + 1):
        site.start_entry(f'e-{entry}', 'leith')
    site.wait_until_serving(workers)
    time.sleep(SETTLE_S)
    return site


def _idle_cost(site: Site, size: int) -> Cost:
    pid = site.processes[ENTRY].popen.pid
    seconds = processor_seconds(pid)
    calls = _store_calls(site)
    time.sleep(WINDOW_S)
    used_s = processor_seconds(pid) - seconds
    return Cost(
        size,
        used_s / WINDOW_S * MS,
        resident_mib(pid),
        (_store_calls(site) - calls) / WINDOW_S,
    )


def _store_calls(site: Site) -> int:
    return int(site.call(ENTRY, 'GET', '/v1/status')['store_calls'])


def _measure_requests() -> None:
    """Print processor time and store calls per request for two classes."""
    with ExitStack() as stack:
        site = _start(stack, 4, 0)
        pid = site.processes[ENTRY].popen.pid
        for work_class in ('fit-preview', 'last-build'):
            for count in REQUESTS:
                seconds = processor_seconds(pid)
                calls = _store_calls(site)
                for number in range(count):
                    key = f'{work_class}-{count}-{number}'
                    submit(
                        site, ENTRY, RequestSpec(key, work_class, {'run_ms': 0})
                    )
                used_ms = (processor_seconds(pid) - seconds) * MS / count
                made = (_store_calls(site) - calls) / count
                print(
                    f'{count} x {work_class}: {used_ms:.2f} core-ms and '
                    f'{made:.2f} store calls each, {resident_mib(pid):.0f} MiB'
                )


def _heartbeat_bytes() -> int:
    need = Resources(64_000, 250_000, 2)
    headroom = Headroom(need, need, 8, 2, (need,))
    status = PeerStatus('entry-leith-1', 'b', 'leith', 1, 1, False, 1, headroom)
    memory = TMemoryBuffer()
    status_to_wire(status).write(TBinaryProtocol(memory))
    return len(memory.getvalue())


def _print_table(title: str, costs: list[Cost]) -> None:
    print(f'{title:>14}  core-ms/s     MiB  store calls/s')
    for cost in costs:
        print(
            f'{cost.size:14}  {cost.core_ms_per_s:9.1f}  '
            f'{cost.resident_mib:6.1f}  {cost.store_calls_per_s:13.2f}'
        )
    sizes = [float(cost.size) for cost in costs]
    slopes = (
        _slope(sizes, [cost.core_ms_per_s for cost in costs]),
        _slope(sizes, [cost.resident_mib for cost in costs]),
        _slope(sizes, [cost.store_calls_per_s for cost in costs]),
    )
    print(
        f'{"for each":>14}  {slopes[0]:9.2f}  '
        f'{slopes[1]:6.2f}  {slopes[2]:13.3f}'
    )


def _slope(sizes: list[float], figures: list[float]) -> float:
    mean_size = sum(sizes) / len(sizes)
    mean = sum(figures) / len(figures)
    covariance = sum(
        (size - mean_size) * (figure - mean)
        for size, figure in zip(sizes, figures, strict=True)
    )
    return covariance / sum((size - mean_size) ** 2 for size in sizes)


if __name__ == '__main__':
    main()
