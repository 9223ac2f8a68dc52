"""Why steps wait: noted by the scheduler as it plans, step by step."""

import enum

from gentianpulley.jobs.job import StepRun


class WaitReason(enum.StrEnum):
    """Why tasks of a step were not placed by the latest plan.

    ALIKE means that a step of the same shape found no place in the same plan,
    so that this one was not looked at. LINK means that the leader's link is
    taken by starts under way.
    """

    NO_ROOM = 'no_room'
    INTERFERENCE = 'harm'
    NO_WORKER = 'no_worker'
    SPREAD = 'spread'
    SHAPE_BLOCKED = 'alike'
    INHERITED = 'inherited'
    TICKET = 'ticket'
    LINK_SATURATED = 'link'


class WaitingSteps:
    """The steps that wait after the latest plan, with reason and begin."""

    def __init__(self) -> None:
        """Know no waiting step yet."""
        self._now_ms = 0
        self._former: dict[StepRun, int] = {}
        self.since_ms: dict[StepRun, int] = {}
        self.reasons: dict[StepRun, WaitReason] = {}

    def begin_plan(self, now_ms: int) -> None:
        """Forget the reasons of the former plan, but not the begins."""
        self._now_ms = now_ms
        self._former = self.since_ms
        self.since_ms = {}
        self.reasons = {}

    def record(self, step: StepRun, reason: WaitReason) -> None:
        """Note why tasks of a step go on to wait, if any do."""
        if step.waiting:
            self.since_ms[step] = self._former.get(step, self._now_ms)
            self.reasons[step] = reason
