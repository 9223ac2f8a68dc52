"""What it costs a caller if a step of its job waits.

Handles bursts of more batch jobs than the cluster can end in time. Each
processor goes first to the work that earns most by it: the worth of a job that
can still be on time, for each unit of the work that remains. Small and almost
complete jobs go first, and of a burst that cannot be served completely, as
many jobs as possible are on time. Jobs that are late anyway come next, and
those whose result is of no use any more go last.
"""

import enum
from collections import defaultdict
from dataclasses import dataclass
from typing import Final

from gentianpulley.jobs.job import Job, StepRun

MAX_LATENESS_FACTOR: Final = 3
"""A job that ends within this multiple of its objective is late. A job that
ends after that is expired: its result is of no use to the caller."""

BASE_WORTH: Final = 0.3
"""What a job is worth, apart from its work, in mean jobs of its queue."""


class DeadlineClass(enum.IntEnum):
    """Whether a job can still meet its objective."""

    ON_TIME = 0
    LATE = 1
    EXPIRED = 2


def deadline_class(step: StepRun, now_ms: int) -> DeadlineClass:
    """Return the deadline class of a step's job if the step starts now."""
    if step.spec.is_endless or now_ms <= step.latest_start_ms:
        return DeadlineClass.ON_TIME
    ends_ms = now_ms + step.critical_path_ms
    allowed_ms = step.objective_ms - step.release_ms
    last_ms = step.release_ms + MAX_LATENESS_FACTOR * allowed_ms
    return DeadlineClass.LATE if ends_ms <= last_ms else DeadlineClass.EXPIRED


@dataclass(slots=True)
class _QueueWork:
    """How many jobs of a queue there were, and their mean work."""

    jobs: int = 0
    mean: float = 1

    def record(self, work: int) -> None:
        """Include a job in the mean."""
        self.jobs += 1
        self.mean += (work - self.mean) / self.jobs


class DelayCosts:
    """The cost of delay of waiting steps, by the mean work of their queues."""

    def __init__(self) -> None:
        """Start without jobs."""
        self._queues: defaultdict[str, _QueueWork] = defaultdict(_QueueWork)

    def record_job(self, job: Job) -> None:
        """Include a job in the mean work of its queue."""
        self._queues[job.spec.policy.queue].record(job.work)

    def worth_of_work(self, step: StepRun) -> float:
        """Return the worth of a step's job for each unit of its work left.

        The work of tasks that run already is not counted, as it is done
        whatever waits.
        """
        job = step.job
        mean = self._queues[job.spec.policy.queue].mean
        worth = BASE_WORTH + (1 - BASE_WORTH) * job.work / mean
        left = len(step.waiting) * step.task_work + step.later_work
        return worth / (left or 1)


def create_delay_costs() -> DelayCosts:
    """Return the costs of delay of one leader term."""
    return DelayCosts()
