"""Jobs that have ended, kept until nothing of them can arrive any more.

A leader may serve for days, so it cannot keep every job. After the eviction an
end that is listed late, or a run that appears late, belongs to an unknown job:
the end is acknowledged, and the run is stopped.
"""

from collections import deque
from collections.abc import Container
from typing import Final

from gentianpulley.cluster.expiring_id_set import ExpiringIdSet
from gentianpulley.jobs.job import Job

JOB_RETENTION_MS: Final = 15_000
"""How long a job is kept after its end: orders without a reply may arrive for
up to twelve seconds."""

ID_RETENTION_MS: Final = 600_000
"""How long the id of an evicted job is retained. The job's record shows its end
for as long as it is stored."""


class EndedJobs:
    """Tracks which ended jobs can be evicted, and which were."""

    def __init__(self) -> None:
        """Start empty."""
        self._new: list[Job] = []
        self._expiring: deque[tuple[int, Job]] = deque()
        self._evicted_ids = ExpiringIdSet(ID_RETENTION_MS)

    def add(self, job: Job) -> None:
        """Add a job whose final record is being written."""
        self._new.append(job)

    def is_evicted(self, job_id: str) -> bool:
        """Return whether a job was evicted lately and must not come back."""
        return job_id in self._evicted_ids

    def evict_expired(self, live: Container[str], now_ms: int) -> list[Job]:
        """Return the jobs to evict now; called repeatedly.

        Live ones stay: their ends are not written yet.
        """
        expired = []
        while self._expiring and self._expiring[0][0] <= now_ms:
            job = self._expiring.popleft()[1]
            if job.spec.job_id in live or _has_runs(job):
                self._new.append(job)
            else:
                expired.append(job)
                self._evicted_ids.add(job.spec.job_id, now_ms)
        evict_at_ms = now_ms + JOB_RETENTION_MS
        self._expiring.extend((evict_at_ms, job) for job in self._new)
        self._new.clear()
        return expired


def _has_runs(job: Job) -> bool:
    """Return whether a run of the job still has to be stopped."""
    return any(step.tasks_per_worker for step in job.steps.values())
