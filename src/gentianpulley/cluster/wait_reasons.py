"""Why steps wait: recorded by the scheduler for each step as it plans."""

import enum
from collections.abc import Iterable, Iterator

from gentianpulley.jobs.job import StepRun


class WaitReason(enum.StrEnum):
    """Why tasks of a step were not placed by the latest plan.

    SHAPE_BLOCKED means that a step of the same shape fitted no worker in the
    same plan, so this one was not tried. LINK_SATURATED means that starts in
    flight take up the leader's link. TRIAL means that tasks that may have
    crashed a worker wait for one without such a task, or for their record.
    CEILING means that their customer has as much running as it may have.
    """

    NO_ROOM = 'no_room'
    INTERFERENCE = 'harm'
    NO_WORKER = 'no_worker'
    SPREAD = 'spread'
    SHAPE_BLOCKED = 'alike'
    INHERITED = 'inherited'
    TICKET = 'ticket'
    LINK_SATURATED = 'link'
    TRIAL = 'trial'
    CEILING = 'ceiling'


class WaitingSteps:
    """Steps that wait after the latest plan, with reason and start time."""

    def __init__(self) -> None:
        """Start without waiting steps."""
        self.now_ms = 0
        self._previous_since_ms: dict[StepRun, int] = {}
        self._previous_reasons: dict[StepRun, WaitReason] = {}
        self.since_ms: dict[StepRun, int] = {}
        self.reasons: dict[StepRun, WaitReason] = {}

    def copy(self) -> 'WaitingSteps':
        """Return a copy that later plans do not change."""
        copied = WaitingSteps()
        copied.begin_plan(self.now_ms)
        copied.since_ms = dict(self.since_ms)
        copied.reasons = dict(self.reasons)
        return copied

    @property
    def planned_ms(self) -> int:
        """Return when the latest plan was made."""
        return self.now_ms

    def begin_plan(self, now_ms: int) -> None:
        """Discard the reasons of the previous plan, but not the start times."""
        self.now_ms = now_ms
        self._previous_since_ms = self.since_ms
        self._previous_reasons = self.reasons
        self.since_ms = {}
        self.reasons = {}

    def rows(self) -> Iterator[tuple[StepRun, WaitReason, int]]:
        """Yield the steps that wait, why, and since when."""
        for step, reason in self.reasons.items():
            if step.waiting:
                yield step, reason, self.since_ms[step]

    def waited_for_link(self, step: StepRun) -> bool:
        """Return whether only the leader's link held up the previous plan."""
        return self._previous_reasons.get(step) is WaitReason.LINK_SATURATED

    def waits_newly(self, step: StepRun) -> bool:
        """Return whether a step waits for another reason than before."""
        return self.reasons.get(step) is not self._previous_reasons.get(step)

    def record_all(self, steps: Iterable[StepRun], reason: WaitReason) -> None:
        """Record for all steps why their tasks keep waiting."""
        for step in steps:
            self.record(step, reason)

    def record(self, step: StepRun, reason: WaitReason) -> None:
        """Record why tasks of a step keep waiting, if any do.

        The first reason in a plan is kept: later ones only follow from it.
        """
        if step.waiting:
            self.since_ms[step] = self._previous_since_ms.get(step, self.now_ms)
            self.reasons.setdefault(step, reason)
