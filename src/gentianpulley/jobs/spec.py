"""What a caller asks for: a job of steps, each of equal tasks.

The values are frozen; `gentianpulley.jobs.job` holds what has become of them.
"""

from dataclasses import dataclass, replace
from typing import Final, NamedTuple

import msgspec

from gentianpulley.resources import Resources

NO_LIMIT: Final = 0
MAX_STEPS: Final = 64
MAX_TASKS_IN_STEP: Final = 10_000
MAX_TASKS_IN_JOB: Final = 40_000
"""Tasks of all occurrences. A leader holds each in some 750 bytes, and every
successor loads the same job."""


class TaskId(NamedTuple):
    """One task: the job, its occurrence, the step and the place there."""

    job_id: str
    occurrence: int
    step: int
    ordinal: int


class StepId(NamedTuple):
    """One step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


@dataclass(frozen=True, slots=True)
class StepSpec:
    """Equal tasks that may run once the steps in `after` are done.

    `estimated_ms` is the caller's guess of a task's run time. `data_rack` is
    where the data lies, `max_per_worker` bounds the tasks of the step on one
    worker (`NO_LIMIT`: any number). `fills_spare` marks tasks whose processors
    do not count against a worker; they live on what the others leave.
    `is_endless` tasks run until the job is cancelled and serve their own
    users, whose latency tail has to stay under `tail_target_ms`; at most
    `max_away` of them may be away through actions of the scheduler.
    """

    task_count: int
    resources: Resources
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_worker: int = NO_LIMIT
    may_copy: bool = False
    checkpoints: bool = False
    is_endless: bool = False
    fills_spare: bool = False
    image: str = ''
    tail_target_ms: int = 0
    max_away: int = 0


class Shape(NamedTuple):
    """What decides, beside its size, where a task of a step may go."""

    service: str
    label: str
    data_rack: str
    image: str
    fills_spare: bool
    same_rack: bool


@dataclass(frozen=True, slots=True)
class Schedule:
    """When the steps of a job run: once, or `occurrences` times."""

    first_due_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0

    @property
    def occurrence_count(self) -> int:
        """Return how often the steps run; a job without times runs once."""
        return max(1, self.occurrences)

    def scheduled_start_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, in Unix milliseconds."""
        if not self.occurrences:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """How the advice service of a queue answers.

    A question takes it `decide_ms`, and `each_ms` for each worker named; a
    ticket that it gives lasts `valid_ms`.
    """

    decide_ms: float
    each_ms: float
    valid_ms: int


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """What the cfg in force at the submission said of the job's queue.

    `priority` 0 goes first. A job is on time within `stretch` times its
    longest chain of work plus `target_latency_ms`. With `advice`, a step runs
    only on workers for which the advice service gives a ticket.
    """

    queue: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: int
    advice: AdvicePolicy | None = None


@dataclass(frozen=True, slots=True)
class JobSpec:
    """One accepted job."""

    job_id: str
    payload: str
    policy: QueuePolicy
    steps: tuple[StepSpec, ...]
    submitted_ms: int
    schedule: Schedule = Schedule()

    def is_endless(self) -> bool:
        """Tell whether the job runs until it is cancelled."""
        return any(step.is_endless for step in self.steps)

    def critical_path_ms(self) -> int:
        """Return the estimated run time of the longest chain of steps."""
        return max(map(self.remaining_critical_path_ms, range(len(self.steps))))

    def remaining_critical_path_ms(self, number: int) -> int:
        """Return the longest estimated chain that begins with a step."""
        chains: dict[int, int] = {}
        for later in reversed(range(number, len(self.steps))):
            following = max(
                (
                    chains[after]
                    for after in chains
                    if later in self.steps[after].after
                ),
                default=0,
            )
            chains[later] = self.steps[later].estimated_ms + following
        return chains[number]

    def release_ms(self, occurrence: int) -> int:
        """Return from when a job's, or an occurrence's, time counts."""
        return self.schedule.scheduled_start_ms(occurrence) or self.submitted_ms

    def objective_ms(self, occurrence: int = 0) -> int:
        """Return until when it is on time, in Unix milliseconds."""
        work_ms = self.policy.stretch * self.critical_path_ms()
        allowed_ms = int(work_ms + self.policy.target_latency_ms)
        return self.release_ms(occurrence) + allowed_ms

    def with_policy(self, policy: QueuePolicy) -> 'JobSpec':
        """Return the job under another policy of its queue."""
        return replace(self, policy=policy)


def validate_job(steps: tuple[StepSpec, ...], schedule: Schedule) -> str:
    """Return why this cannot make a job, or an empty text."""
    if not 0 < len(steps) <= MAX_STEPS:
        return f'a job has 1 to {MAX_STEPS} steps'
    tasks = schedule.occurrence_count * sum(step.task_count for step in steps)
    if tasks > MAX_TASKS_IN_JOB:
        return f'{tasks} tasks; a job has up to {MAX_TASKS_IN_JOB}'
    return _step_fault(steps)


def _step_fault(steps: tuple[StepSpec, ...]) -> str:
    for number, step in enumerate(steps):
        if not 0 < step.task_count <= MAX_TASKS_IN_STEP:
            return f'step {number}: 1 to {MAX_TASKS_IN_STEP} tasks'
        if any(not 0 <= before < number for before in step.after):
            return f'step {number}: comes after a step that is not earlier'
        if min(step.resources.as_tuple()) < 0:
            return f'step {number}: negative resources'
    return ''


def encode_job(spec: JobSpec) -> bytes:
    """Return a job as it is kept in the store."""
    return msgspec.json.encode(spec)


def decode_job(body: bytes) -> JobSpec:
    """Read a kept job; raises `msgspec.DecodeError` for anything else."""
    return msgspec.json.decode(body, type=JobSpec)
