"""Which life of a worker gave an answer that came late."""

import pytest

from gentianpulley.cluster.link import (
    Listing,
    StartOrder,
    StartReply,
    StartVerdict,
)
from tests.scheduling.site import HandSite, facts, hand_site, job, step

BORN_MS = 1
CLOCK_MS = 50_000
WAITED_MS = 4000


def _sent_start() -> tuple[HandSite, StartOrder]:
    """Return a start that is under way while newer looks are answered."""
    site = hand_site()
    site.scheduler.update_worker(facts('w', born_ms=BORN_MS), site.at_ms)
    _look(site, CLOCK_MS)
    site.scheduler.add_job(job(step()))
    (order,) = site.plan()
    assert site.scheduler.wants_start(order, site.at_ms)
    site.at_ms += WAITED_MS
    _look(site, CLOCK_MS + WAITED_MS)
    return site, order


def _look(site: HandSite, clock_ms: int) -> None:
    worker = site.scheduler.workers['w']
    site.scheduler.look_order(worker, 0)
    listing = Listing(clock_ms, BORN_MS)
    site.scheduler.note_listing(worker, listing, site.at_ms, site.at_ms)


@pytest.mark.parametrize(
    ('clock_ms', 'born_ms', 'is_same'),
    [
        pytest.param(CLOCK_MS + 1, 0, True, id='answered at once'),
        pytest.param(CLOCK_MS, 0, True, id='answered within the ms'),
        pytest.param(CLOCK_MS + 1, BORN_MS, True, id='same birth'),
        pytest.param(CLOCK_MS + WAITED_MS, 0, True, id='answered late'),
        pytest.param(0, 0, True, id='no clock'),
        pytest.param(CLOCK_MS - 1, 0, False, id='before it was sent'),
        pytest.param(40, 0, False, id='a young clock'),
        pytest.param(CLOCK_MS + 1, 2, False, id='another birth'),
        pytest.param(CLOCK_MS + WAITED_MS, 2, False, id='only another birth'),
    ],
)
def test_a_slow_answer_is_not_taken_for_another_life(
    clock_ms: int, born_ms: int, is_same: bool
) -> None:
    site, order = _sent_start()
    worker = site.scheduler.workers['w']
    reply = StartReply(StartVerdict.ACCEPTED, clock_ms, born_ms=born_ms)
    site.scheduler.note_start(order, reply, site.at_ms)
    assert (site.scheduler.workers.get('w') is worker) == is_same
    assert (order.key in worker.charges) == is_same
