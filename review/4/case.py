"""A new leader waits long for a worker that has left, and runs its task late.

With TROUBLE=0 the worker isn't lost and the leader isn't killed.
"""

import signal
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
KILL_AFTER_S = 0.6
ENTRY_GONE_S = 3.3
RESTART_S = 0.5
CONTACT_S = 3.0
CALM_S = 4.0
IDLE_S = 3.0
JOB_ID = '00000000000000a5'
JOB = f'/quick/{JOB_ID}'
TASK = {
    'count': 1,
    'cpu': 13000,
    'mem_mb': 26000,
    'long_running': True,
    'image': 'serve-1',
    'target_ms': 50,
}


def _starts(site: Site) -> list:
    return sorted(
        (event.at_s, event.worker_id, event.run)
        for worker in site.all_workers
        for event in worker.events
        if event.kind.value == 'started' and event.task.startswith(JOB_ID)
    )


def play(site: Site) -> list[str]:
    """Return whether the task had nothing running for too long."""
    site.write_config()
    links = {}
    for worker_id in WORKERS:
        worker = site.add_worker(worker_id)
        links[worker_id] = TcpProxy(worker.port)
        addr = f'{HOST}:{links[worker_id].port}'
        worker.register('ready', addr=addr)
    site.add_instances(3)
    site.wait(site.leader, 10, 'a leader')
    time.sleep(2)
    body = {'task_spec': '{"ms": 600000}', 'phases': [TASK]}
    if site.instances[0].call('POST', JOB, body)[0] != 200:
        raise CannotRun('the job was not accepted')
    site.wait(lambda: _starts(site), 10, 'the first start')
    _, worker_id, run = _starts(site)[0]
    site.record.note(f'{worker_id} started {JOB_ID}.0.0.0 run {run}')
    time.sleep(4)
    leader = site.leader()
    if leader is None:
        raise CannotRun('no leader')
    if is_trouble():
        worker = site.workers[worker_id]
        links[worker_id].switch(LinkState.CUT)
        with worker._lock:
            worker.is_off = True
            ended = sorted(worker._runs)
            worker._runs.clear()
        lost_s = time.monotonic()
        site.record.note(f'{worker_id} is lost for good; it ran {ended}')
        time.sleep(KILL_AFTER_S)
        leader.tell(signal.SIGKILL)
        leader.process.wait()
        time.sleep(RESTART_S)
        leader.start()
        calm_s = time.monotonic()
        site.record.note(f'{leader.name} is started again')
        time.sleep(max(0, lost_s + ENTRY_GONE_S - time.monotonic()))
        site.store.remove(f'servers/{worker_id}')
        site.record.note(f'the entry of {worker_id} is removed')
    else:
        calm_s = time.monotonic()
    time.sleep(max(0, calm_s + 20 - time.monotonic()))
    again_s = None
    for at_s, name, run in _starts(site)[1:]:
        site.record.note(
            f'{name} started {JOB_ID}.0.0.0 run {run}, {at_s - calm_s:.3f} s'
            ' after the end of the disruptions'
        )
        again_s = again_s or at_s - calm_s
    running = [w.worker_id for w in site.all_workers if w.running()]
    site.record.note(f'running at the end: on {running}')
    site.instances[0].call('GET', JOB)
    if not is_trouble():
        return [] if running else ['LOST: the task does not run']
    most_s = CONTACT_S + CALM_S + IDLE_S
    if again_s is None or again_s > most_s:
        return [
            f'LOST: {JOB_ID}.0.0.0 is to last and had nothing running until'
            f' {again_s} s after the last disruption, with three workers idle'
            f' all the time (at most {most_s} s of that are excused)'
        ]
    return []


run_case(Path(__file__).parent, play)
