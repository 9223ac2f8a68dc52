"""The soak checks report each guarantee that a record violates."""

import pytest

from soak.answer_promises import ANSWER_CHECKS
from soak.callers import Answer, JobPlan, StepPlan, Story
from soak.record import SoakRecord
from soak.run_promises import RUN_CHECKS
from soak.schedule import Disruption
from standins.grid_worker import EventKind, WorkerEvent

JOB = '00000000000000a1'
PAYLOAD = '{}'
FIRST = f'{JOB}.0.0.0'
SECOND = f'{JOB}.0.1.0'
ACCEPTED = Answer('n0', 'POST', 0, 0.1, 200)
CANCELLED = Answer('n0', 'DELETE', 0.2, 0.3, 200)
COMPLETED = Answer('n0', 'GET', 40, 40.1, 200, 'completed')
RUNNING = Answer('n0', 'GET', 40, 40.1, 200, 'running')

Row = tuple[float, str, EventKind, str, int, str]

START = EventKind.STARTED
END = EventKind.ENDED
ACKNOWLEDGED = EventKind.NOTED


def _plan(*, is_endless: bool = False, milli: int = 4000) -> JobPlan:
    steps: tuple[StepPlan, ...] = (StepPlan(1, milli), StepPlan(1, milli, (0,)))
    if is_endless:
        steps = steps[:1]
    return JobPlan(JOB, '/batch/', PAYLOAD, steps, is_endless=is_endless)


def _rows(*rows: Row) -> tuple[WorkerEvent, ...]:
    return tuple(WorkerEvent(*row) for row in rows)


def _run(at_s: float, task: str, worker: str = 'w0', run: int = 1) -> list[Row]:
    """Return the events of a run that ends as done and is acknowledged."""
    return [
        (at_s, worker, START, task, run, PAYLOAD),
        (at_s + 1, worker, END, task, run, 'done'),
        (at_s + 2, worker, ACKNOWLEDGED, task, run, 'done'),
    ]


def _found(
    rows: list[Row],
    *answers: Answer,
    plan: JobPlan | None = None,
    faults: tuple[Disruption, ...] = (),
) -> list[str]:
    """Return the text before the colon of each violation found."""
    story = Story(plan or _plan(), list(answers))
    ordered = sorted(rows, key=lambda row: row[0])
    record = SoakRecord(_rows(*ordered), {JOB: story}, faults)
    lines = [
        line
        for check in (*RUN_CHECKS, *ANSWER_CHECKS)
        for line in check(record)
    ]
    return [line.partition(':')[0] for line in lines]


def test_a_job_that_goes_well_breaks_nothing() -> None:
    rows = [*_run(1, FIRST), *_run(5, SECOND)]
    assert not _found(rows, ACCEPTED, COMPLETED)


@pytest.mark.parametrize(
    ('rows', 'broken'),
    [
        pytest.param(
            [*_run(1, FIRST), *_run(1.5, FIRST, 'w1', 2), *_run(5, SECOND)],
            'TWICE',
            id='two runs at a time',
        ),
        pytest.param(
            [*_run(1, FIRST), *_run(9, FIRST, 'w1', 2), *_run(5, SECOND)],
            'TWICE',
            id='a start after its end',
        ),
        pytest.param(
            [*_run(5, FIRST), *_run(1, SECOND)], 'ORDER', id='a step too early'
        ),
        pytest.param(
            [
                *_run(1, FIRST),
                *_run(5, SECOND),
                *_run(8, '00000000000000b2.0.0.0'),
            ],
            'UNASKED',
            id='a job that nobody submitted',
        ),
        pytest.param(
            [
                *_run(1, FIRST),
                *_run(8, SECOND),
                (2.0, 'w0', EventKind.CLOSED, '', 0, ''),
            ],
            'DRAIN or EVAC',
            id='a start where nothing should be sent',
        ),
    ],
)
def test_runs_that_break_a_promise_are_found(
    rows: list[Row], broken: str
) -> None:
    assert broken in _found(rows, ACCEPTED, COMPLETED)


def test_an_end_that_was_never_acknowledged_may_be_run_again() -> None:
    rows = [
        *_run(1, FIRST)[:2],
        (2.5, 'w0', EventKind.LAPSED, '', 0, ''),
        *_run(4, FIRST, 'w1', 2),
        *_run(8, SECOND),
    ]
    assert not _found(rows, ACCEPTED, COMPLETED)


def test_a_worker_that_gets_too_much_is_found() -> None:
    rows = [*_run(1, FIRST), *_run(5, SECOND)]
    plan = _plan(milli=17_000)
    assert 'LIMIT' in _found(rows, ACCEPTED, COMPLETED, plan=plan)


@pytest.mark.parametrize(('shrunk_s', 'is_found'), [(0.5, True), (4.5, False)])
def test_a_worker_that_has_shrunk_for_long_and_gets_too_much_is_found(
    shrunk_s: float, is_found: bool
) -> None:
    rows = [
        (shrunk_s, 'w0', EventKind.RESIZED, '', 0, '2000'),
        *_run(5, FIRST),
        *_run(6.5, SECOND, 'w1'),
    ]
    assert ('LIMIT' in _found(rows, ACCEPTED, COMPLETED)) is is_found


@pytest.mark.parametrize(('starts', 'is_found'), [(5, False), (6, True)])
def test_a_task_that_crashes_workers_too_often_is_found(
    starts: int, is_found: bool
) -> None:
    rows: list[Row] = []
    for run in range(starts):
        rows.append((run, 'w0', START, FIRST, run, PAYLOAD))
        rows.append((run + 0.1, 'w0', EventKind.CRASHED, FIRST, run, ''))
    assert ('BUDGET' in _found(rows, ACCEPTED, RUNNING)) is is_found


def test_a_start_after_the_last_attempt_is_found() -> None:
    rows: list[Row] = []
    for run in range(1, 5):
        rows.append((run, 'w0', START, FIRST, run, PAYLOAD))
        rows.append((run + 0.2, 'w0', END, FIRST, run, 'failed'))
        rows.append((run + 0.4, 'w0', ACKNOWLEDGED, FIRST, run, 'failed'))
    assert 'BUDGET' in _found(rows, ACCEPTED, RUNNING)


def test_a_start_of_a_refused_job_is_found() -> None:
    refused = Answer('n0', 'POST', 0, 0.1, 503)
    assert 'REFUSED' in _found(_run(1, FIRST), refused)


def test_a_start_before_any_submission_was_accepted_is_found() -> None:
    refused = Answer('n0', 'POST', 0, 0.1, 429)
    returned = Answer('n0', 'POST', 4, 4.1, 200)
    rows = [*_run(5, FIRST), *_run(9, SECOND)]
    assert not _found(rows, refused, returned, COMPLETED)
    rows = [*_run(1, FIRST), *_run(9, SECOND)]
    assert 'REFUSED' in _found(rows, refused, returned, COMPLETED)


@pytest.mark.parametrize(
    ('fault', 'is_found'),
    [
        (Disruption('Kill', 'n0', 2, 3), False),
        (Disruption('CfgChange', 'cfg', 2, 3), True),
    ],
)
def test_a_start_after_a_cancellation_counts_where_no_fault_was_near(
    fault: Disruption, is_found: bool
) -> None:
    found = _found(_run(6, FIRST), ACCEPTED, CANCELLED, faults=(fault,))
    assert ('UNASKED' in found) is is_found


@pytest.mark.parametrize(
    ('answers', 'is_endless', 'broken'),
    [
        ((ACCEPTED, RUNNING), False, 'LOST'),
        ((ACCEPTED, RUNNING), True, 'LOST'),
        ((ACCEPTED, COMPLETED), False, 'MIXED'),
        (
            (ACCEPTED, Answer('n0', 'GET', 9, 9.1, 410), COMPLETED),
            False,
            'LOST, not known',
        ),
        (
            (ACCEPTED, Answer('n0', 'GET', 9, 9.1, 200, 'failed')),
            False,
            'LOST, shown as failed',
        ),
    ],
)
def test_answers_that_break_a_promise_are_found(
    answers: tuple[Answer, ...], is_endless: bool, broken: str
) -> None:
    plan = _plan(is_endless=is_endless)
    assert broken in _found([], *answers, plan=plan)


def test_a_request_cut_off_by_a_planned_stop_is_found() -> None:
    cut = Answer('n0', 'GET', 9, 9.5, 0)
    stop = Disruption('PlannedStop', 'n0', 8, 12)
    rows = [*_run(1, FIRST), *_run(5, SECOND)]
    assert 'LOST' in _found(rows, ACCEPTED, cut, COMPLETED, faults=(stop,))


@pytest.mark.parametrize(('at_s', 'is_found'), [(0.25, False), (0.35, True)])
def test_a_start_after_a_denial_is_found(
    at_s: float, *, is_found: bool
) -> None:
    """It counts at once, and whatever fault is near."""
    unanswered = Answer('n0', 'POST', 0, 0.1, 504)
    denied = Answer('n0', 'DELETE', 0.2, 0.3, 410)
    fault = Disruption('store late', 'store', 0, 10)
    found = _found(_run(at_s, FIRST), unanswered, denied, faults=(fault,))
    assert ('UNASKED' in found) is is_found


def test_a_cancelled_task_that_runs_at_the_end_is_found() -> None:
    found = _found(_run(1, FIRST)[:1], ACCEPTED, CANCELLED)
    assert 'UNASKED' in found
