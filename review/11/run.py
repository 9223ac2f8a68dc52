"""A worker goes down and up by turns; the one job that needs it is given up."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-3'))

from small_site import HAS_TROUBLE, Site, play, wait_for  # noqa: E402

WORKERS = 10
"""One of ten goes down and up: a share of 0.1."""
DOWN_S, UP_S, TURNS = 1.0, 0.4, 4
"""Four turns of 1.4 s: 5.6 s in all."""
WORK_S = 1.0
FINISH_S = 30.0
FINAL = {'completed', 'failed', 'cancelled'}


def work(worker_id: str, task: str) -> tuple[float, bool]:
    """Every task works for a second and then ends as done."""
    return WORK_S, False


def case(site: Site) -> bool:
    """Return whether the job is shown as failed only with cause."""
    for number in range(WORKERS - 1):
        site.add_worker(f'w{number}', work, labels=('a', 'r1-1'))
    only = site.add_worker('w9', work, labels=('b', 'r1-2'))
    site.start()
    time.sleep(3)
    step = {
        'count': 1,
        'cpu': 4000,
        'mem_mb': 1000,
        'est_runtime_ms': int(WORK_S * 1000),
        'constraints': 'b',
    }
    job_id = site.submit('/batch/', step)
    if HAS_TROUBLE:
        wait_for(lambda: only.started, 10, 'the first start')
        time.sleep(0.2)
        for _ in range(TURNS):
            only.go_down()
            time.sleep(DOWN_S)
            only.come_up()
            time.sleep(UP_S)
    until_s = time.monotonic() + FINISH_S
    state = ''
    while time.monotonic() < until_s and state not in FINAL:
        time.sleep(0.5)
        state = site.call('GET', f'/batch/{job_id}')[1].get('state', '')
    failed_ends = [
        end for worker in site.workers for end in worker.ended
        if end[3] == 'failed'
    ]
    site.record.add(f'state {state}, {len(failed_ends)} ends were failed')
    return not (state == 'failed' and not failed_ends)


play(Path(__file__).resolve().parent, case)
