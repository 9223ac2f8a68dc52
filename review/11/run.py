"""A worker goes dark and is replaced; a task that lasts stays away."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-3'))

from small_site import HAS_TROUBLE, Site, play, wait_for  # noqa: E402

WORKERS = 7
"""One of seven goes dark: a share of 0.143."""
DARK_S = 2.5
DRAIN_MS = 2000
CHECK_INS_S = 3.3
"""An entry is removed after three check-ins of silence."""
WATCH_S = 25.0
ENDLESS_S = 1e6
AFTER_RUN_S, AWAY_S, CALM_S = 6.0, 3.0, 4.0


def work(worker_id: str, task: str) -> tuple[float, bool]:
    """The task works until it is stopped."""
    return ENDLESS_S, False


def case(site: Site) -> bool:
    """Return whether the task ran again in time."""
    for number in range(WORKERS):
        site.add_worker(f'w{number}', work)
    site.start()
    time.sleep(3)
    step = {
        'count': 1,
        'cpu': 4000,
        'mem_mb': 1000,
        'long_running': True,
        'image': 'i1',
    }
    site.submit('/quick/', step)
    wait_for(lambda: any(each.runs for each in site.workers), 10, 'a start')
    time.sleep(3)
    leaving = next(each for each in site.workers if each.runs)
    dark = next(each for each in site.workers if not each.runs)
    leaving.drain(DRAIN_MS)
    time.sleep(0.1)
    if HAS_TROUBLE:
        dark.go_dark()
        former = dark.worker_id
        time.sleep(DARK_S)
        dark.replace('w-new')
        time.sleep(CHECK_INS_S - DARK_S)
        site.store.remove(f'servers/{former}')
    else:
        time.sleep(DRAIN_MS / 1000)
    leaving.leave()
    calm_s = site.record.at_s()
    site.record.add('calm from here on')
    time.sleep(WATCH_S)
    last_end = max(end[0] for each in site.workers for end in each.ended)
    later = [
        start[0]
        for each in site.workers
        for start in each.started
        if start[0] > last_end
    ]
    next_start = min(later, default=site.record.at_s())
    due = max(last_end + AFTER_RUN_S, calm_s + CALM_S) + AWAY_S
    site.record.add(
        f'last run ended at {last_end:.1f}, due to run by {due:.1f}, '
        f'next run began at {next_start:.1f}'
    )
    return next_start < due


play(Path(__file__).resolve().parent, case)
