"""Jobs that cannot be done in time are refused, and no others are.

Without admission everything was accepted, whatever the leader could carry: on
one day 629 of 885 accepted jobs were of no use to their callers.
"""

import random
from dataclasses import dataclass, field

import pytest

from gentianpulley.cluster.admission import (
    FRESH_MS,
    BacklogView,
    judge,
    spread_return_s,
)
from gentianpulley.cluster.backlog import (
    HELD_MEASUREMENTS,
    MEASURE_MS,
    Backlog,
    BacklogMeter,
    Line,
    LineWait,
    Pending,
    decode_backlog,
    encode_backlog,
    line_of_run,
)
from gentianpulley.cluster.link import (
    EndCause,
    EndedRow,
    RunningRow,
    StartOrder,
    StartVerdict,
)
from gentianpulley.cluster.ordering import LATE_FACTOR
from gentianpulley.jobs.job import Job
from gentianpulley.jobs.spec import JobSpec, Schedule
from tests.scheduling.site import START_MS, HandSite, hand_site, job, step

STEP_MS = 50
WORKERS = ('w0', 'w1', 'w2')
WORK_MS = 1000
SECOND_MS = 1000
DELAY_MS = 2000
"""How old a backlog is when an entry instance decides by it."""

PLAIN = Line('queue', fills_spare=False)
FILLING = Line('queue', fills_spare=True)
SLACK_MS = 2000
"""What the usual job can wait: twice its second of work, and a second, less
its work."""

LONG = 60_000
HALF = 0.5
USELESS_SHARE = 0.1
"""Of the jobs that are accepted: the wait is known two seconds late."""

CARRIED_SHARE = 0.9
FEW = 0.1
MOST = 0.9


def _view(
    *waits: LineWait, seen_ms: int = START_MS, revisions: int = 2
) -> BacklogView:
    view = BacklogView()
    for revision in range(1, revisions + 1):
        view.note(Backlog(waits), revision, seen_ms)
    return view


CASES: dict[str, tuple[JobSpec, BacklogView, int, bool]] = {
    'nothing is known': (job(step()).spec, BacklogView(), 0, True),
    'nothing waits': (job(step()).spec, _view(), 0, True),
    'the wait is too long': (
        job(step()).spec,
        _view(LineWait(PLAIN, LONG, FEW)),
        0,
        False,
    ),
    'most of it is carried': (
        job(step()).spec,
        _view(LineWait(PLAIN, LONG, MOST)),
        0,
        True,
    ),
    'others wait for harmless places': (
        job(step()).spec,
        _view(LineWait(FILLING, LONG, FEW)),
        0,
        True,
    ),
    'filling tasks have room elsewhere': (
        job(step(fills_spare=True)).spec,
        _view(LineWait(PLAIN, LONG, FEW)),
        0,
        True,
    ),
    'filling tasks wait': (
        job(step(fills_spare=True)).spec,
        _view(LineWait(FILLING, LONG, FEW)),
        0,
        False,
    ),
    'only a later step is of that line': (
        job(step(), step(fills_spare=True, after=(0,))).spec,
        _view(LineWait(FILLING, LONG, FEW)),
        0,
        True,
    ),
    'another queue waits': (
        job(step()).spec,
        _view(LineWait(Line('other', fills_spare=False), LONG, FEW)),
        0,
        True,
    ),
    'an endless job': (
        job(step(is_endless=True)).spec,
        _view(LineWait(PLAIN, LONG, FEW)),
        0,
        True,
    ),
    'a job with times': (
        job(step(), schedule=Schedule(START_MS, 1000, 2)).spec,
        _view(LineWait(PLAIN, LONG, FEW)),
        0,
        True,
    ),
    'the document is nearly old': (
        job(step()).spec,
        _view(LineWait(PLAIN, LONG, FEW)),
        FRESH_MS,
        False,
    ),
    'the document is old': (
        job(step()).spec,
        _view(LineWait(PLAIN, LONG, FEW)),
        FRESH_MS + 1,
        True,
    ),
    'a dead leader left the document': (
        job(step()).spec,
        _view(LineWait(PLAIN, LONG, FEW), revisions=1),
        0,
        True,
    ),
}


@pytest.mark.parametrize(
    ('spec', 'view', 'later_ms', 'is_accepted'), CASES.values(), ids=CASES
)
def test_what_is_accepted(
    spec: JobSpec, view: BacklogView, later_ms: int, *, is_accepted: bool
) -> None:
    verdict = judge(spec, view, START_MS + later_ms, HALF)
    assert verdict.is_accepted is is_accepted


def test_a_read_that_is_older_than_the_last_changes_nothing() -> None:
    view = _view(revisions=3)
    view.note(Backlog((LineWait(PLAIN, LONG, FEW),)), 2, START_MS)
    assert judge(job(step()).spec, view, START_MS, HALF).is_accepted


def test_refused_callers_return_spread_and_while_room_is_expected() -> None:
    verdict = judge(
        job(step()).spec, _view(LineWait(PLAIN, 2500, FEW)), START_MS, HALF
    )
    assert verdict.return_s == 3
    returns = {spread_return_s(verdict.return_s) for _ in range(200)}
    assert returns == {3, 4, 5, 6}


def test_a_stall_of_a_second_is_no_overload() -> None:
    """For a second nothing is placed and everything waits; before and after
    that all is carried."""
    meter = BacklogMeter()
    for second in range(10):
        is_stalled = second == 5
        for _ in range(0 if is_stalled else 100):
            meter.note_placed(PLAIN)
        count = 1000 if is_stalled else 5
        pending = Pending(count, count * SLACK_MS, count)
        backlog = meter.measure(
            {PLAIN: pending}, START_MS + second * MEASURE_MS
        )
        assert not backlog.waits


def test_a_line_in_which_nothing_is_placed_waits_for_long() -> None:
    meter = BacklogMeter()
    for second in range(HELD_MEASUREMENTS):
        at_ms = START_MS + second * MEASURE_MS
        backlog = meter.measure({PLAIN: Pending(20, 1, 20)}, at_ms)
    assert backlog.find(PLAIN).wait_ms == LONG
    assert backlog.find(FILLING).wait_ms == 0
    assert decode_backlog(encode_backlog(backlog)) == backlog


@dataclass
class Load:
    """A day on workers with room for eight tasks of a second each.

    The leader's link carries `orders_per_s` starts in a second.
    """

    jobs_per_s: int
    orders_per_s: int
    admits: bool = True
    site: HandSite = field(default_factory=lambda: hand_site(*WORKERS))
    accepted: list[Job] = field(default_factory=list)
    refused: int = 0
    most_waiting: int = 0
    _meter: BacklogMeter = field(default_factory=BacklogMeter)
    _view: BacklogView = field(default_factory=BacklogView)
    _published: list[tuple[int, Backlog]] = field(default_factory=list)
    _orders: list[StartOrder] = field(default_factory=list)
    _running: list[tuple[int, StartOrder]] = field(default_factory=list)
    _ended_ms: dict[str, int] = field(default_factory=dict)
    _chance: random.Random = field(default_factory=lambda: random.Random(1))
    _arrived: int = 0
    _sent: int = 0
    _number: int = 0

    def play(self, seconds: int) -> None:
        """Let jobs come all the time, then let what was accepted end."""
        began_ms = self.site.at_ms
        while self.site.at_ms < began_ms + seconds * SECOND_MS:
            past_ms = self.site.at_ms - began_ms
            self._arrive(past_ms * self.jobs_per_s // SECOND_MS)
            self._lead(past_ms)
            self.site.at_ms += STEP_MS

    def useless(self) -> list[Job]:
        """Return what ended, or waits still, after three objectives."""
        return [
            accepted
            for accepted in self.accepted
            if self._ended_ms.get(accepted.spec.job_id, self.site.at_ms)
            > _last_ms(accepted.spec)
        ]

    @property
    def ended(self) -> int:
        """Return how many jobs were carried."""
        return len(self._ended_ms)

    def _arrive(self, until: int) -> None:
        while self._arrived < until:
            self._arrived += 1
            made = job(
                step(),
                job_id=f'{self._arrived:016x}',
                submitted_ms=self.site.at_ms,
            )
            self._see_backlog()
            verdict = judge(
                made.spec, self._view, self.site.at_ms, self._chance.random()
            )
            if self.admits and not verdict.is_accepted:
                self.refused += 1
                continue
            self.accepted.append(made)
            self.site.scheduler.add_job(made)

    def _see_backlog(self) -> None:
        for revision, (at_ms, backlog) in enumerate(self._published, 1):
            if at_ms + DELAY_MS <= self.site.at_ms:
                self._view.note(backlog, revision, self.site.at_ms)

    def _lead(self, past_ms: int) -> None:
        self._end_runs()
        orders = self.site.plan()
        for order in orders:
            line = line_of_run(self.site.scheduler, order.key)
            assert line is not None
            self._meter.note_placed(line)
        self._orders.extend(orders)
        self._send(past_ms * self.orders_per_s // SECOND_MS)
        if past_ms % MEASURE_MS == 0:
            report = self.site.scheduler.report(self.site.at_ms)
            waiting = sum(each.tasks for each in report.pending.values())
            self.most_waiting = max(self.most_waiting, waiting)
            backlog = self._meter.measure(report.pending, self.site.at_ms)
            self._published.append((self.site.at_ms, backlog))

    def _send(self, until: int) -> None:
        while self._sent < until:
            self._sent += 1
            if self._orders:
                order = self._orders.pop(0)
                self.site.answer(order, StartVerdict.ACCEPTED)
                self._running.append((self.site.at_ms + WORK_MS, order))

    def _end_runs(self) -> None:
        while self._running and self._running[0][0] <= self.site.at_ms:
            _, order = self._running.pop(0)
            self._list_end(order)
            self._ended_ms[order.key.task_id.job_id] = self.site.at_ms

    def _list_end(self, order: StartOrder) -> None:
        """Let the worker list the end, and what runs there by now."""
        known = self.site.scheduler.workers[order.worker_id]
        self._number += 1
        ended = EndedRow(self._number, order.key, EndCause.DONE, '')
        running = tuple(
            RunningRow(other.key, '', 100, 0)
            for _, other in self._running
            if other.worker_id == known.worker_id
        )
        self.site.list_runs(known.worker_id, running, (ended,))


def _last_ms(spec: JobSpec) -> int:
    allowed_ms = spec.objective_ms() - spec.submitted_ms
    return spec.submitted_ms + LATE_FACTOR * allowed_ms


LOADS = {
    'three times what the link carries': Load(jobs_per_s=15, orders_per_s=5),
    'ten times what the link carries': Load(jobs_per_s=50, orders_per_s=5),
}


@pytest.mark.parametrize('load', LOADS.values(), ids=LOADS)
def test_more_than_is_carried_is_refused(load: Load) -> None:
    """Most of what is accepted is of use, once the wait is known; and what can
    be carried is."""
    load.play(60)
    known_ms = START_MS + DELAY_MS + 8 * SECOND_MS
    late = [
        each for each in load.useless() if each.spec.submitted_ms > known_ms
    ]
    assert len(late) < USELESS_SHARE * len(load.accepted)
    assert load.ended > CARRIED_SHARE * load.orders_per_s * 60


def test_without_admission_most_of_it_is_useless() -> None:
    """Shows that the load above is one that has to be refused."""
    load = Load(jobs_per_s=15, orders_per_s=5, admits=False)
    load.play(60)
    assert len(load.useless()) > len(load.accepted) / 2


def test_room_that_is_back_is_used() -> None:
    """A load that has passed is forgotten within its callers' retries."""
    meter = BacklogMeter()
    shares = []
    for second in range(30):
        meter.note_placed(PLAIN)
        count = 50 if second < 15 else 0
        backlog = meter.measure(
            {PLAIN: Pending(count, count * SLACK_MS, count)},
            START_MS + second * MEASURE_MS,
        )
        shares.append(backlog.find(PLAIN).share)
    assert shares[14] < FEW
    assert shares[-1] == 1


@pytest.mark.parametrize(
    'jobs_per_s', [20, 72], ids=['with room', 'without room']
)
def test_a_leader_that_keeps_up_refuses_nothing(jobs_per_s: int) -> None:
    """Refusing what waits for room or harmless places served fewer callers."""
    load = Load(jobs_per_s, orders_per_s=1000)
    load.play(30)
    assert not load.refused
