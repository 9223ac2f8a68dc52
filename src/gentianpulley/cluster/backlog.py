"""How long work of each queue waits now, as the leader measures it.

Answers the pattern in which more arrives than the leader's own processor and
link carry, so that starts that it has ordered take long to go out. A leader
that keeps up is never overloaded here, however full the site is: work that
waits for room or for harmless places is placed in an order that gives up what
is lost.

What waits longest says nothing of a new job, as jobs that cannot end on time go
behind all others. What it meets are the tasks that are still on time; they wait
for a place, or their starts were ordered and are not known to have begun. How
long they take at the rate at which the queue's tasks begin is what it waits.
The share that entry instances accept follows from that.

Tasks that fill up are a line of their own in each queue: they wait for harmless
places while there is room for others. Priorities need no line: a queue has one,
and its own rate is what more urgent queues leave to it.
"""

from collections import Counter, deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final, NamedTuple

import msgspec

from gentianpulley.cluster.link import RunKey
from gentianpulley.cluster.ordering import Prospect, prospect
from gentianpulley.cluster.scheduler_state import SchedulerState
from gentianpulley.cluster.waiting import WaitReason, Waits
from gentianpulley.cluster.worker import Charge
from gentianpulley.jobs.job import StepRun
from gentianpulley.jobs.spec import JobSpec

MEASURE_MS: Final = 1000
"""Time between two writes of what was measured, each second."""

RATE_MEASUREMENTS: Final = 5
"""Measurements over which the rate is taken: jobs come in bursts of tasks."""

HELD_MEASUREMENTS: Final = 3
"""The least of so many measurements counts, so that a leader that stalls for a
second is not taken for one that is overloaded."""

LONGEST_WAIT_MS: Final = 60_000
"""Stands for the wait of a line in which nothing is placed; longer than
anything that callers ask for."""

LEADER_BOUND_MS: Final = 500
"""Starts that take so long to go out and be answered show that the leader does
not keep up: ten times what one takes on an idle site."""

OVERLOAD: Final = 1.5
"""Wait, in units of what the waiting jobs can wait, from which on jobs are
refused: below that they are late, not useless."""

WANTED_LOAD: Final = 0.5
"""The same at which as much is accepted as before. At 1, jobs begin to be late;
the rest is for what comes until a correction is seen."""

GAIN: Final = 0.25
"""Power of the correction each second: what entry instances refuse shows in the
next measurements after about four seconds."""

RECOVERY: Final = 1.1
"""Largest growth of the accepted share each second: it doubles in the seven
seconds in which a growth shows twice."""

EMPTY_RECOVERY: Final = 1.5
"""The same while nothing waits: from a tenth to all in six seconds."""

SMALLEST_SHARE: Final = 0.02
"""A few jobs are always accepted, as they show when room is back."""

_FOR_ROOM: Final = frozenset(
    (WaitReason.NO_ROOM, WaitReason.HARM, WaitReason.ALIKE)
)


class Line(NamedTuple):
    """Tasks that wait for the same: those of a queue, filling ones apart."""

    queue: str
    fills_spare: bool


@dataclass(frozen=True, slots=True)
class LineWait:
    """How long a new job's tasks wait in a line, and what share is carried."""

    line: Line
    wait_ms: int
    share: float


@dataclass(frozen=True, slots=True)
class Backlog:
    """The lines that are overloaded; empty if there are none."""

    waits: tuple[LineWait, ...] = ()

    def find(self, line: Line) -> LineWait:
        """Return the wait in a line."""
        known = (each for each in self.waits if each.line == line)
        return next(known, LineWait(line, 0, share=1))


class Pending(NamedTuple):
    """Tasks that go before those of a new job.

    `slack_ms` is how long their jobs can wait and yet be on time, as a sum.
    Of the tasks, `ordered` were placed and are not known to have begun.
    """

    tasks: int = 0
    slack_ms: int = 0
    ordered: int = 0

    def plus(self, tasks: int, slack_ms: int, ordered: int) -> 'Pending':
        """Return these and some more, which can each wait for as long."""
        return Pending(
            self.tasks + tasks,
            self.slack_ms + tasks * slack_ms,
            self.ordered + ordered,
        )


class _Rate(NamedTuple):
    """How many tasks began in a span."""

    span_ms: int
    begun: Counter[Line]


_Drains = Mapping[Line, int]


class BacklogMeter:
    """Turns counts of each second into waits."""

    def __init__(self) -> None:
        """Have measured nothing yet."""
        self._placed: Counter[Line] = Counter()
        self._rates: deque[_Rate] = deque(maxlen=RATE_MEASUREMENTS)
        self._drains: deque[_Drains] = deque(maxlen=HELD_MEASUREMENTS)
        self._ordered: Counter[Line] = Counter()
        self._lags: deque[int] = deque(maxlen=HELD_MEASUREMENTS)
        self._shares: dict[Line, float] = {}
        self._since_ms = 0

    def note_placed(self, line: Line) -> None:
        """Count a task that was placed."""
        self._placed[line] += 1

    def note_returned(self, line: Line) -> None:
        """Take a task out of the count whose start was never sent."""
        self._placed[line] -= 1

    def measure(self, pending: Mapping[Line, Pending], now_ms: int) -> Backlog:
        """Return the waits, from the tasks of each line that are pending."""
        ordered = Counter(
            {line: waiting.ordered for line, waiting in pending.items()}
        )
        if self._since_ms:
            span_ms = now_ms - self._since_ms
            self._rates.append(_Rate(span_ms, self._begun(ordered)))
        self._ordered = ordered
        self._placed = Counter()
        self._since_ms = now_ms
        self._drains.append(
            {
                line: self._drain_ms(line, waiting.tasks)
                for line, waiting in pending.items()
            }
        )
        begun = sum(rate.begun.total() for rate in self._rates)
        self._lags.append(self._time_for(ordered.total(), begun))
        self._correct(pending)
        return Backlog(tuple(self._overloaded()))

    def _begun(self, ordered: Counter[Line]) -> Counter[Line]:
        """Count the tasks that began: those placed that are not on their way
        any more."""
        begun = self._placed + self._ordered
        begun.subtract(ordered)
        return +begun

    def _correct(self, pending: Mapping[Line, Pending]) -> None:
        """Move the accepted shares towards what is carried."""
        for line in pending.keys() | self._shares.keys():
            waiting = pending.get(line, Pending())
            slack_ms = max(1, waiting.slack_ms) / max(1, waiting.tasks)
            load = self._held_ms(line) / slack_ms
            is_new = self._is_leader_bound() and load >= OVERLOAD
            if line not in self._shares and not is_new:
                continue
            share = self._shares.get(line, 1) * self._change(line, load)
            self._shares[line] = max(SMALLEST_SHARE, share)
            if share >= 1:
                self._shares.pop(line)

    def _change(self, line: Line, load: float) -> float:
        """Return by what to multiply the accepted share of a line."""
        if not any(drains.get(line) for drains in self._drains):
            return EMPTY_RECOVERY
        if not self._is_leader_bound():
            return RECOVERY
        change = max(load / WANTED_LOAD, SMALLEST_SHARE) ** -GAIN
        return float(min(RECOVERY, change))

    def _drain_ms(self, line: Line, pending: int) -> int:
        begun = sum(rate.begun[line] for rate in self._rates)
        return self._time_for(pending, begun)

    def _time_for(self, pending: int, begun: int) -> int:
        """Return what pending tasks take at the rate of those that began."""
        span_ms = sum(rate.span_ms for rate in self._rates)
        if not begun:
            return LONGEST_WAIT_MS if pending else 0
        return min(LONGEST_WAIT_MS, pending * span_ms // begun)

    def _overloaded(self) -> Iterator[LineWait]:
        for line, share in sorted(self._shares.items()):
            yield LineWait(line, self._held_ms(line), share)

    def _is_leader_bound(self) -> bool:
        is_held = len(self._lags) == HELD_MEASUREMENTS
        return is_held and min(self._lags) >= LEADER_BOUND_MS

    def _held_ms(self, line: Line) -> int:
        """Return the least of the latest waits in a line."""
        if len(self._drains) < HELD_MEASUREMENTS:
            return 0
        return min(drains.get(line, 0) for drains in self._drains)


def pending_tasks(
    state: SchedulerState, waits: Waits, now_ms: int
) -> Mapping[Line, Pending]:
    """Return the tasks that go before those of a new job, by line.

    Tasks that wait for what is not scarce, a label or a ticket, are left out.
    """
    pending: dict[Line, Pending] = {}
    for step, reason in waits.reasons.items():
        if reason in _FOR_ROOM and _is_ahead(step, now_ms):
            _add(pending, step, len(step.waiting), 0)
    for charge in _unanswered(state):
        ordered = state.step_of(charge.key.task_id)
        if ordered is not None:
            _add(pending, ordered, _is_ahead(ordered, now_ms), 1)
    return pending


def slack_of(spec: JobSpec) -> int:
    """Return how long a job can wait and yet be on time."""
    allowed_ms = spec.objective_ms() - spec.begins_ms(0)
    return max(0, allowed_ms - spec.longest_chain_ms())


def line_of(step: StepRun) -> Line:
    """Return the line in which the tasks of a step wait."""
    return Line(step.job.spec.policy.queue, step.spec.fills_spare)


def line_of_run(state: SchedulerState, key: RunKey) -> Line | None:
    """Return the line of a run, None for one that is endless or not known."""
    step = state.step_of(key.task_id)
    return None if step is None or step.spec.is_endless else line_of(step)


def encode_backlog(backlog: Backlog) -> bytes:
    """Return what is kept in the store."""
    return msgspec.json.encode(backlog)


def decode_backlog(body: bytes) -> Backlog:
    """Read what is kept; raises `msgspec.DecodeError` for anything else."""
    return msgspec.json.decode(body, type=Backlog)


def _add(
    pending: dict[Line, Pending], step: StepRun, tasks: int, ordered: int
) -> None:
    line = line_of(step)
    known = pending.get(line, Pending())
    pending[line] = known.plus(tasks, slack_of(step.job.spec), ordered)


def _is_ahead(step: StepRun, now_ms: int) -> bool:
    is_open = not step.spec.is_endless and not step.job.state.is_final
    return is_open and prospect(step, now_ms) is Prospect.ON_TIME


def _unanswered(state: SchedulerState) -> Iterator[Charge]:
    """Yield the runs whose starts wait for the leader, not for a worker."""
    for worker in state.workers.values():
        if not worker.silent_since_ms:
            yield from filter(_is_on_its_way, worker.charges.values())


def _is_on_its_way(charge: Charge) -> bool:
    if charge.is_stopping or charge.has_lost_start:
        return False
    return not charge.settled_ms and not charge.barred_ms
