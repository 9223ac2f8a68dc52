"""Inherited tasks of customers that may run on workers not seen yet.

Handles the change of the leader: until every worker that an earlier leader used
has listed its runs, any inherited task may be one of them. Tasks are counted
again only for jobs that have changed since, as there may be thousands.
"""

from typing import NamedTuple

from gentianpulley.cluster.customer_usage import Holding
from gentianpulley.jobs.job import Job, StepRun


class _Count(NamedTuple):
    """What a job's unseen tasks need, and its progress number by then."""

    number: int
    holding: Holding


class UnseenTasks:
    """The inherited jobs of customers."""

    def __init__(self) -> None:
        """Start without jobs."""
        self._jobs: list[Job] = []
        self._counted: dict[str, _Count] = {}

    def add_job(self, job: Job) -> None:
        """Add a job; others than inherited ones of customers are ignored."""
        if job.is_inherited and job.spec.customer:
            self._jobs.append(job)

    def clear(self) -> None:
        """Drop all jobs, once no run can continue unseen any more."""
        self._jobs.clear()
        self._counted.clear()

    @property
    def is_empty(self) -> bool:
        """Whether there are no such jobs."""
        return not self._jobs

    def count(self, now_ms: int) -> dict[str, Holding]:
        """Return what the tasks need that may run unseen, by customer."""
        unseen: dict[str, Holding] = {}
        for job in self._jobs:
            of_job = self._count_job(job, now_ms)
            if of_job.runs:
                customer = job.spec.customer
                unseen[customer] = unseen.get(customer, Holding()).plus(of_job)
        return unseen

    def _count_job(self, job: Job, now_ms: int) -> Holding:
        known = self._counted.get(job.spec.job_id)
        depends_on_time = bool(job.spec.schedule.occurrences)
        if known and known.number == job.progress_number:
            if not depends_on_time:
                return known.holding
        holding = _unseen_of(job, now_ms)
        self._counted[job.spec.job_id] = _Count(job.progress_number, holding)
        return holding


def _unseen_of(job: Job, now_ms: int) -> Holding:
    """Return what the tasks of a job need that may run unseen.

    Those of a job that was cancelled may run, too: a stop takes time.
    """
    holding = Holding()
    for step in job.steps.values():
        if step.waiting and job.may_start(step, now_ms):
            holding.add(step.spec.resources, _count_unconfirmed(step))
    return holding


def _count_unconfirmed(step: StepRun) -> int:
    return sum(1 for index in step.waiting if step.tasks[index].is_unconfirmed)
