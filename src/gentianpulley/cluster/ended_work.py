"""The work and the jobs that have ended lately, in short slots of time.

Shows at which rate a leader's workers get through the work that waits. It is
updated with each end of a run, so it costs nothing in a plan.
"""

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from gentianpulley.jobs.job import StepRun

RATE_WINDOW_MS: Final = 5000
"""Time over which the rate of ended work is measured."""

MAX_RATE_WINDOW_MS: Final = 60_000
"""The longest such time. Tasks that run longer than the window end in waves,
between which nothing ends."""

SLOT_MS: Final = 250
"""Length of a slot. A window includes the slot in which it begins, so a rate is
at most a twentieth too high."""


class WorkClass(NamedTuple):
    """Work that competes for the same processors, of one priority.

    Best-effort tasks use processors that are idle, so they wait for each other
    and hold up no other tasks.
    """

    service: str
    priority: int
    fills_spare: bool


@dataclass
class _Slot:
    """What has ended in one slot: work by class, jobs by queue."""

    number: int
    work: Counter[WorkClass] = field(default_factory=Counter)
    jobs: Counter[str] = field(default_factory=Counter)


def work_class(step: StepRun) -> WorkClass:
    """Return the class of a step's tasks."""
    policy = step.job.spec.policy
    return WorkClass(policy.service, policy.priority, step.spec.fills_spare)


def task_work(step: StepRun) -> int:
    """Return the processor time of one task, never zero."""
    spec = step.spec
    processors_milli = max(1, spec.resources.processors_milli)
    return processors_milli * max(1, spec.estimated_ms)


def precedes(work: WorkClass, other: WorkClass) -> bool:
    """Return whether work takes processors before other work may."""
    return (
        work.service == other.service
        and work.fills_spare == other.fills_spare
        and work.priority <= other.priority
    )


class EndedWork:
    """Work and jobs that have ended in the last minute."""

    def __init__(self) -> None:
        """Start with nothing ended."""
        self._slots: deque[_Slot] = deque()

    def record_tasks(self, step: StepRun, count: int, now_ms: int) -> None:
        """Record that tasks of a step are done."""
        if count:
            ended = count * task_work(step)
            self._slot(now_ms).work[work_class(step)] += ended

    def record_job(self, queue: str, now_ms: int) -> None:
        """Record that a job of a queue has ended by itself."""
        self._slot(now_ms).jobs[queue] += 1

    def copy(self) -> 'EndedWork':
        """Return a copy that later ends do not change."""
        copied = EndedWork()
        copied._slots.extend(self._slots)
        if self._slots:
            latest = copied._slots.pop()
            copied._slots.append(
                _Slot(latest.number, latest.work.copy(), latest.jobs.copy())
            )
        return copied

    def work_since(self, window_ms: int, now_ms: int) -> Counter[WorkClass]:
        """Return the work that ended within a window, by class."""
        total: Counter[WorkClass] = Counter()
        for slot in self._within(window_ms, now_ms):
            total.update(slot.work)
        return total

    def jobs_since(self, window_ms: int, now_ms: int) -> Counter[str]:
        """Return how many jobs ended within a window, by queue."""
        total: Counter[str] = Counter()
        for slot in self._within(window_ms, now_ms):
            total.update(slot.jobs)
        return total

    def _within(self, window_ms: int, now_ms: int) -> Iterator[_Slot]:
        first = (now_ms - window_ms) // SLOT_MS
        return (slot for slot in self._slots if slot.number >= first)

    def _slot(self, now_ms: int) -> _Slot:
        number = now_ms // SLOT_MS
        if not self._slots or self._slots[-1].number < number:
            self._slots.append(_Slot(number))
            oldest = number - MAX_RATE_WINDOW_MS // SLOT_MS
            while self._slots[0].number < oldest:
                self._slots.popleft()
        return self._slots[-1]
