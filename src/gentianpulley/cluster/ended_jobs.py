"""Jobs that have ended, until nothing of them can arrive any more.

A leader may serve for days, so it cannot keep every job. An end that is listed
late, or a run that comes up late, belongs to an unknown job after that: the end
is acknowledged, and the run is stopped.
"""

from collections import deque
from collections.abc import Container
from typing import Final

from gentianpulley.cluster.expiring_id_set import ExpiringIdSet
from gentianpulley.jobs.job import Job

JOB_RETENTION_MS: Final = 15_000
"""How long a job is kept after its end: orders without an answer may arrive for
up to twelve seconds."""

ID_RETENTION_MS: Final = 600_000
"""How long the id of a job that was dropped is remembered. A record tells of
its end for as long as it is stored."""


class EndedJobs:
    """Tells which jobs can be forgotten, and which were."""

    def __init__(self) -> None:
        """Hold nothing yet."""
        self._new: list[Job] = []
        self._leaving: deque[tuple[int, Job]] = deque()
        self._forgotten = ExpiringIdSet(ID_RETENTION_MS)

    def add(self, job: Job) -> None:
        """Hold a job whose final record is being written."""
        self._new.append(job)

    def is_evicted(self, job_id: str) -> bool:
        """Return whether a job was there lately and must not come back."""
        return job_id in self._forgotten

    def evict_expired(self, live: Container[str], now_ms: int) -> list[Job]:
        """Return the jobs to be dropped now; asked repeatedly.

        Live ones stay: their ends are not written yet.
        """
        due = []
        while self._leaving and self._leaving[0][0] <= now_ms:
            job = self._leaving.popleft()[1]
            if job.spec.job_id in live or _is_at_work(job):
                self._new.append(job)
            else:
                due.append(job)
                self._forgotten.add(job.spec.job_id, now_ms)
        forget_ms = now_ms + JOB_RETENTION_MS
        self._leaving.extend((forget_ms, job) for job in self._new)
        self._new.clear()
        return due


def _is_at_work(job: Job) -> bool:
    """Return whether a run of the job is still to be stopped."""
    return any(step.tasks_per_worker for step in job.steps.values())
