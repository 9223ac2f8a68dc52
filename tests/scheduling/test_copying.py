"""Tasks that allow copies do not wait for a lease that has to lapse."""

from typing import Any

import pytest

from gentianpulley.cluster.link import (
    EndCause,
    EndedRow,
    RunningRow,
    StartOrder,
    StartVerdict,
    StopOrder,
)
from gentianpulley.jobs.job import JobState
from tests.scheduling.site import HandSite, hand_site, job, step

SILENCE_MS = 700
TASK_ROOM = 8000


def _silent_site(*workers: str, **changes: Any) -> tuple[HandSite, StartOrder]:
    """Start a task on the first worker, which then falls silent."""
    site = hand_site('w1')
    site.scheduler.add_job(job(step(**changes)))
    (order,) = site.start_all()
    row = RunningRow(order.key, '', 10, 0)
    site.list_runs('w1', (row,))
    for worker_id in workers:
        site.add_worker(worker_id)
    site.scheduler.note_unreached(site.scheduler.workers['w1'], site.at_ms)
    site.at_ms += SILENCE_MS
    return site, order


@pytest.mark.parametrize(
    ('changes', 'goes_to'),
    [
        ({}, []),
        ({'may_copy': True}, ['w2']),
        ({'may_copy': True, 'is_endless': True}, []),
        ({'may_copy': True, 'is_gang': True}, []),
    ],
)
def test_a_task_on_a_silent_worker_starts_elsewhere(
    changes: dict[str, Any], goes_to: list[str]
) -> None:
    site, order = _silent_site('w2', **changes)
    stops = site.scheduler.moves(site.at_ms)
    assert stops == [StopOrder('w1', order.key) for _ in goes_to]
    placed = site.plan()
    assert [each.worker_id for each in placed] == goes_to
    assert all(each.key.run > order.key.run for each in placed)


def test_a_short_silence_copies_nothing() -> None:
    site, _ = _silent_site('w2', may_copy=True)
    site.at_ms -= SILENCE_MS - 100
    assert site.scheduler.moves(site.at_ms) == []


def test_the_former_run_keeps_its_room_until_its_end_is_certain() -> None:
    site, _ = _silent_site(may_copy=True)
    site.scheduler.moves(site.at_ms)
    assert site.scheduler.workers['w1'].processors == TASK_ROOM


@pytest.mark.proof('former-run')
def test_no_copy_goes_beside_the_former_run() -> None:
    site, order = _silent_site(may_copy=True)
    site.scheduler.moves(site.at_ms)
    site.list_runs('w1', (RunningRow(order.key, '', 20, 0),))
    assert site.plan() == []
    site.end('w1', order.key, EndCause.STOPPED)
    assert [each.worker_id for each in site.plan()] == ['w1']


@pytest.mark.parametrize('copy_is_placed', [True, False])
def test_the_first_end_counts_and_the_other_run_is_stopped(
    *, copy_is_placed: bool
) -> None:
    site, order = _silent_site('w2', may_copy=True)
    site.scheduler.moves(site.at_ms)
    copies = site.start_all() if copy_is_placed else []
    done = EndedRow(1, order.key, EndCause.DONE, '')
    stops = site.list_runs('w1', (), (done,))
    assert StopOrder('w1', order.key) not in stops
    assert [each for each in stops if each.worker_id == 'w2'] == [
        StopOrder('w2', copy.key) for copy in copies
    ]
    assert site.scheduler.jobs[order.key.task_id.job_id].state is (
        JobState.COMPLETED
    )


@pytest.mark.proof('copies')
def test_the_end_of_the_copy_counts_too() -> None:
    site, order = _silent_site('w2', may_copy=True)
    site.scheduler.moves(site.at_ms)
    (copy,) = site.start_all()
    site.end('w2', copy.key)
    known = site.scheduler.jobs[order.key.task_id.job_id]
    assert known.state is JobState.COMPLETED
    # The former run ends later, when its worker answers again.
    site.list_runs('w1', (), (EndedRow(1, order.key, EndCause.DONE, ''),))
    assert known.state is JobState.COMPLETED
    assert not site.scheduler.workers['w1'].charges


@pytest.mark.parametrize(('waited_ms', 'copies'), [(500, 0), (1200, 1)])
def test_a_start_without_an_answer_is_copied(
    waited_ms: int, copies: int
) -> None:
    site = hand_site('w1', 'w2')
    site.scheduler.add_job(job(step(may_copy=True)))
    (order,) = site.plan()
    site.answer(order, StartVerdict.LOST)
    site.at_ms += waited_ms
    site.scheduler.moves(site.at_ms)
    placed = site.plan()
    assert len(placed) == copies
    assert all(each.worker_id != order.worker_id for each in placed)


def test_a_slow_run_is_copied_before_its_stop_is_answered() -> None:
    site = hand_site('w1')
    site.scheduler.add_job(job(step(estimated_ms=2000, may_copy=True)))
    (order,) = site.start_all()
    site.add_worker('w2')
    for percent in (4, 8, 11, 14):
        site.at_ms += 500
        site.list_runs('w1', (RunningRow(order.key, '', percent, 8000),))
    assert [each.worker_id for each in site.plan()] == ['w2']
