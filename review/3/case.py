"""A task that lasts, begun just before its worker crashed, isn't run again.

With TROUBLE=0 the worker doesn't crash.
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

from site_of_review import (
    HOST,
    CannotRun,
    LinkState,
    Site,
    TcpProxy,
    is_trouble,
    run_case,
)

WORKERS = ('w1', 'w2', 'w3', 'w4')
CRASH_AFTER_S = 0.3
DARK_S = 4.5
ENTRY_GONE_S = 3.3
CONTACT_S = 3.0
CALM_S = 4.0
IDLE_S = 3.0
JOB_ID = '00000000000000d1'
JOB = f'/quick/{JOB_ID}'
TASK = {
    'count': 1,
    'cpu': 13000,
    'mem_mb': 26000,
    'long_running': True,
    'image': 'serve-1',
    'target_ms': 50,
}


def _crash(site: Site, worker_id: str, link: TcpProxy) -> None:
    """Crash a worker; another life comes up at the same address."""
    worker = site.workers[worker_id]
    link.switch(LinkState.CUT)
    with worker._lock:
        worker.is_off = True
        ended = sorted(worker._runs)
        worker._runs.clear()
    site.record.note(f'{worker_id} crashes; it ran {ended}')
    time.sleep(ENTRY_GONE_S)
    site.store.remove(f'servers/{worker_id}')
    time.sleep(DARK_S - ENTRY_GONE_S)
    addr = f'{HOST}:{link.port}'
    second = site.add_worker(f'{worker_id}-life2', addr=addr)
    link.retarget(second.port)
    link.switch(LinkState.UP)
    site.record.note(f'{second.worker_id} is up at the address of {worker_id}')


def play(site: Site) -> list[str]:
    """Return whether the task had nothing running for too long."""
    site.write_config()
    links = {}
    for worker_id in WORKERS:
        worker = site.add_worker(worker_id)
        links[worker_id] = TcpProxy(worker.port)
        addr = f'{HOST}:{links[worker_id].port}'
        worker.register('ready', addr=addr)
    site.add_instances(2)
    site.wait(site.leader, 10, 'a leader')
    time.sleep(2)
    body = {'task_spec': '{"ms": 600000}', 'phases': [TASK]}
    if site.instances[0].call('POST', JOB, body)[0] != 200:
        raise CannotRun('the job was not accepted')

    def starts():
        return [
            (event.at_s, event.worker_id, event.run)
            for worker in site.all_workers
            for event in worker.events
            if event.kind.value == 'started' and event.task.startswith(JOB_ID)
        ]

    site.wait(starts, 10, 'the first start')
    _, worker_id, run = starts()[0]
    site.record.note(f'{worker_id} started {JOB_ID}.0.0.0 run {run}')
    time.sleep(CRASH_AFTER_S)
    if is_trouble():
        _crash(site, worker_id, links[worker_id])
        running_at_s = None
    else:
        time.sleep(DARK_S)
    up_s = time.monotonic()
    site.record.note('from here on nothing is disrupted')
    time.sleep(20)
    first_again_s = None
    for at_s, name, run in starts()[1:]:
        site.record.note(
            f'{name} started {JOB_ID}.0.0.0 run {run}, {at_s - up_s:.3f} s'
            ' after the end of the disruption'
        )
        first_again_s = first_again_s or at_s - up_s
    running = [w.worker_id for w in site.all_workers if w.running()]
    site.record.note(f'running at the end: on {running}')
    site.instances[0].call('GET', JOB)
    if not is_trouble():
        return [] if running else ['LOST: the task does not run']
    most_s = CONTACT_S + CALM_S + IDLE_S
    if first_again_s is None or first_again_s > most_s:
        return [
            f'LOST: {JOB_ID}.0.0.0 is to last and had nothing running until'
            f' {first_again_s} s after the end of the disruption, with three'
            f' workers idle all the time (at most {most_s} s of that are excused)'
        ]
    return []


run_case(Path(__file__).parent, play)
