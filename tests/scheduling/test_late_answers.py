"""Which life of a worker gave an answer that came late."""

import pytest

from gentianpulley.cluster.worker_protocol import (
    EndCause,
    EndedRow,
    Listing,
    RunningRow,
    StartOrder,
    StartReply,
    StartVerdict,
)
from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.job import JobState, TaskPhase
from tests.scheduling.harness import (
    JOB_ID,
    SchedulerHarness,
    registration,
    create_harness,
    job,
    step,
)

BORN_MS = 1
CLOCK_MS = 50_000
WAITED_MS = 4000
NEXT_CLOCK_MS = 700


def _sent_start() -> tuple[SchedulerHarness, StartOrder]:
    """Return a start that is under way while newer looks are answered."""
    site = create_harness()
    site.scheduler.update_worker(
        registration('w', incarnation_ms=BORN_MS), site.at_ms
    )
    _look(site, CLOCK_MS)
    site.scheduler.add_job(job(step()))
    (order,) = site.plan()
    assert site.scheduler.claim_start_send(order, site.at_ms)
    site.at_ms += WAITED_MS
    _look(site, CLOCK_MS + WAITED_MS)
    return site, order


def _look(site: SchedulerHarness, clock_ms: int) -> None:
    worker = site.scheduler.workers['w']
    site.scheduler.poll_order(worker, 0)
    listing = Listing(clock_ms, BORN_MS)
    site.scheduler.handle_listing(worker, listing, site.at_ms, site.at_ms)


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
    reply = StartReply(StartVerdict.ACCEPTED, clock_ms, incarnation_ms=born_ms)
    site.scheduler.handle_start_reply(order, reply, site.at_ms)
    assert (site.scheduler.workers.get('w') is worker) == is_same
    assert (order.key in worker.reservations) == is_same


def _reborn_while_it_answers(
    site: SchedulerHarness, order: StartOrder
) -> Worker:
    """Let the run be listed and the worker be born anew; returns the former
    life."""
    former = site.scheduler.workers['w']
    site.report_listing('w', (RunningRow(order.key, '', 30, 0),))
    site.scheduler.update_worker(
        registration('w', incarnation_ms=BORN_MS + 1), site.at_ms
    )
    return former


@pytest.mark.parametrize('is_loading', [False, True])
def test_what_a_former_life_ran_is_not_taken_for_running(
    *, is_loading: bool
) -> None:
    """The task waited for a run that nobody saw, and never ran again."""
    site, order = _sent_start()
    former = _reborn_while_it_answers(site, order)
    if is_loading:
        site.scheduler.buffer_listings()
    row = RunningRow(order.key, '', 30, 0)
    late = Listing(CLOCK_MS + WAITED_MS, BORN_MS, (row,))
    assert not site.scheduler.handle_listing(
        former, late, site.at_ms, site.at_ms
    )
    assert not site.scheduler.process_buffered_listings()
    assert site.task(order.key.task_id).phase is TaskPhase.WAITING
    assert not former.reservations


def test_an_end_that_a_former_life_listed_counts() -> None:
    site, order = _sent_start()
    former = _reborn_while_it_answers(site, order)
    row = EndedRow(1, order.key, EndCause.DONE, '')
    late = Listing(CLOCK_MS + WAITED_MS, BORN_MS, (), (row,))
    site.scheduler.handle_listing(former, late, site.at_ms, site.at_ms)
    assert site.scheduler.jobs[JOB_ID].state is JobState.COMPLETED


@pytest.mark.parametrize('born_ms', [0, BORN_MS])
def test_an_answer_of_a_former_life_tells_nothing_of_the_next_one(
    born_ms: int,
) -> None:
    """Its clock made each lease of the next life look as if it had lapsed,
    and its birth ended that life."""
    site, order = _sent_start()
    site.scheduler.update_worker(
        registration('w', incarnation_ms=BORN_MS + 1), site.at_ms
    )
    current = site.scheduler.workers['w']
    _look(site, NEXT_CLOCK_MS)
    late = StartReply(
        StartVerdict.ACCEPTED, CLOCK_MS + WAITED_MS, incarnation_ms=born_ms
    )
    assert not site.scheduler.handle_start_reply(order, late, site.at_ms)
    assert site.scheduler.workers['w'] is current
    assert current.clock.seen_worker_ms == NEXT_CLOCK_MS
