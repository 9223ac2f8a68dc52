"""A job whose cancelling was answered with 410 is started seconds later."""

import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    PREFIX,
    GridStore,
    main,
    wait_for,
)

JOB = '5c0e7a21d94b36fa'
OTHERS = 8
WINDOW_S = 1.5
LATE_S = 6.0
CANCEL_S = 3.0
WATCH_S = 15.0


class LossyStore(GridStore):
    """Answers none of a job's first writes, and carries them out late."""

    def __init__(self):
        super().__init__()
        self.lossy_until = 0.0
        self.writes = 0
        self.lost = 0

    def _txn(self, req):
        keys = [put['key'] for put in req.get('puts', ())]
        self.writes += time.monotonic() < self.lossy_until
        is_of_job = any(key.endswith(JOB) for key in keys)
        if is_of_job and time.monotonic() < self.lossy_until:
            self.lost += 1
            threading.Timer(LATE_S, super()._txn, (req,)).start()
            # A channel on which an answer is lost returns nothing further.
            time.sleep(LATE_S + 1)
            raise ConnectionAbortedError
        return super()._txn(req)


def play(site, has_trouble):
    site.put_config()
    for number in range(1, 9):
        site.add_worker(f'w{number}', 'ab'[number % 2], ('a', f'r{number % 2}'))
    site.start()
    step = {'count': 1, 'cpu': 2000, 'mem_mb': 512, 'est_runtime_ms': 500}
    if has_trouble:
        site.store.lossy_until = time.monotonic() + WINDOW_S
    others = [
        threading.Thread(
            target=site.submit,
            args=(f'{number:016x}', [step]),
            kwargs={'ms': 500},
        )
        for number in range(OTHERS)
    ]
    for other in others:
        other.start()
    submitted = site.submit(JOB, [step], ms=500)
    # The caller leaves: it does not send the job again.
    cancelled, _ = site.call('DELETE', PREFIX + JOB)
    acked = time.monotonic()
    for other in others:
        other.join()
    time.sleep(WATCH_S)
    starts = site.starts(JOB)
    late = [each for each in starts if each[0] > acked + CANCEL_S]
    state = site.state(JOB)
    text = (
        f'POST {submitted}, DELETE {cancelled}; {len(late)} starts later '
        f'than {CANCEL_S:g} s after that; shown as {state!r}; '
        f'{site.store.lost} of {site.store.writes} writes lost'
    )
    if cancelled not in {200, 410}:
        return NOT_RUN, text
    return (BROKEN if late else HELD), text


main(__file__, play, store_type=LossyStore)
