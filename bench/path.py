"""Measures the latency that the system adds to a direct call.

Usage: python -m bench.path [REQUESTS]

Direct calls to a worker and requests through an entry instance alternate in
one run. After that, several threads load one entry instance. Then it stays
idle while its memory and its use of a core are measured.
"""

import json
import sys
import time
from base64 import b64encode
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from pathlib import Path
from typing import Final

from standins.site import Site
from tests.cluster_helpers import RequestSpec, start_site, submit

DEFAULT_REQUESTS: Final = 1500
WARM_UP: Final = 100
LOAD_THREADS: Final = 8
IDLE_S: Final = 10.0
CLOCK_TICKS_PER_S: Final = 100
PAGE_KIB: Final = 4
ENTRY: Final = 'e-leith-0'
WORKER: Final = 'w-leith-0'


def main() -> None:
    """Run all three measurements and print the results."""
    requests = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_REQUESTS
    site = start_site(workers=2, entries=1)
    with ExitStack() as stack:
        stack.callback(site.stop)
        _measure_latency(site, requests)
        _measure_throughput(site, requests)
        _measure_idle(site)


def _measure_latency(site: Site, requests: int) -> None:
    direct: list[float] = []
    through: list[float] = []
    epoch = _epoch_of(site)
    for number in range(requests + WARM_UP):
        direct.append(_timed(lambda: _call_worker(site, number, epoch)))
        through.append(_timed(lambda: _call_entry(site, f'lat-{number}')))
    for name, times in (('direct', direct), ('through', through)):
        print(name, _quantiles(times[WARM_UP:]))
    added = [
        after - before
        for before, after in zip(
            sorted(direct[WARM_UP:]), sorted(through[WARM_UP:]), strict=True
        )
    ]
    print('added, quantile by quantile', _quantiles(added))


def _measure_throughput(site: Site, requests: int) -> None:
    started = time.perf_counter()
    with ThreadPoolExecutor(LOAD_THREADS) as pool:
        times = list(
            pool.map(
                lambda number: _timed(
                    lambda: _call_entry(site, f'load-{number}')
                ),
                range(requests),
            )
        )
    elapsed = time.perf_counter() - started
    print(f'load: {requests / elapsed:.0f} requests/s', _quantiles(times))


def _measure_idle(site: Site) -> None:
    pid = site.processes[ENTRY].popen.pid
    before = processor_seconds(pid)
    time.sleep(IDLE_S)
    share = (processor_seconds(pid) - before) / IDLE_S
    print(f'idle: {share:.2%} of a core, {resident_mib(pid):.0f} MiB')


def _call_worker(site: Site, number: int, epoch: int) -> None:
    payload = json.dumps({'run_ms': 0}).encode()
    now_ms = int(time.time() * 1000)
    status = site.call(
        WORKER,
        'POST',
        '/v1/tasks?wait_ms=1000',
        {
            'task_id': f'direct-{number}',
            'epoch': epoch,
            'work_class': 'fit-preview',
            'need': {'processors_milli': 1, 'memory_mib': 1},
            'start_before_ms': now_ms + 5000,
            'lease_deadline_ms': now_ms + 5000,
            'checkpoint': '',
            'payload': b64encode(payload).decode(),
        },
    )
    if status.get('state') != 'finished':
        raise RuntimeError(status)


def _epoch_of(site: Site) -> int:
    workers = site.call(ENTRY, 'GET', '/v1/status')['workers']
    return int(next(row['epoch'] for row in workers if row['name'] == WORKER))


def _call_entry(site: Site, key: str) -> None:
    answer = submit(site, ENTRY, RequestSpec(key, task={'run_ms': 0}))
    if answer['code'] != 0:
        raise RuntimeError(answer)


def _timed(step: Callable[[], None]) -> float:
    started = time.perf_counter()
    step()
    return (time.perf_counter() - started) * 1000


def _quantiles(times: list[float]) -> str:
    ordered = sorted(times)
    last = len(ordered) - 1
    return ' '.join(
        f'p{share:g}={ordered[round(last * share / 100)]:.2f}ms'
        for share in (50, 99, 99.9)
    )


def processor_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * PAGE_KIB / 1024


if __name__ == '__main__':
    main()
