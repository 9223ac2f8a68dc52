"""A job of two steps on the users' platform, with a change of the leader.

Shows the view of a caller: one instance accepts the job, the leader is stopped
while the first step runs, and another instance reports that the job has
completed. Every task must have run once.
"""

from contextlib import closing

import eliot

from standins.grid_site import (
    Site,
    call,
    cfg_document,
    job_body,
    state_of,
    wait_until,
)
from standins.grid_store import GridStore

JOB = '/batch/00000000000000d1'
TASKS = 6
RUN_MS = 1500


def run_steps() -> list[str]:
    """Run the job and return the violated guarantees."""
    print('== A job of two steps on the platform ==')
    eliot.add_destinations(_discard_message)
    store = GridStore()
    store.run_in_background()
    store.put('op/config', cfg_document(1))
    site = Site(store)
    for worker_id in ('w1', 'w2', 'w3'):
        site.add_worker(worker_id)
    for _ in range(2):
        site.add_node()
    with closing(site):
        return _run_job(site)


def _run_job(site: Site) -> list[str]:
    steps = ({'count': TASKS - 2}, {'count': 2, 'after': [0]})
    status, _ = call(site.nodes[0], 'POST', JOB, job_body(*steps, ms=RUN_MS))
    print(f'accepted with {status}')
    wait_until(lambda: _started(site))
    site.take_leader().shut_down()
    print('the leader was stopped; the next leader continues')
    next_leader = site.nodes[0]
    wait_until(lambda: state_of(next_leader, JOB) == 'completed')
    print(f'completed; {_started(site)} starts of {TASKS} tasks')
    if _started(site) == TASKS:
        return []
    return ['a task of the job with steps ran twice']


def _started(site: Site) -> int:
    return sum(len(worker.started) for worker in site.workers.values())


def _discard_message(message: object) -> None:
    """Discard log messages of the instances."""
