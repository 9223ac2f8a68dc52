"""The specification of a job: steps, each of identical tasks.

The values are frozen; `gentianpulley.jobs.job` holds the state of a job.
"""

from dataclasses import dataclass, replace
from typing import Final, NamedTuple

import msgspec

from gentianpulley.json_decoding import decode_json
from gentianpulley.resources import Resources

NO_LIMIT: Final = 0
MAX_STEPS: Final = 64
MAX_TASKS_IN_STEP: Final = 10_000
MAX_TASKS_IN_JOB: Final = 40_000
"""Maximum number of tasks in all occurrences. A leader uses about 750 bytes for
each, and every later leader loads the same job."""


class TaskId(NamedTuple):
    """One task: the job, its occurrence, the step and the index in the step."""

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
    """Identical tasks that may run once the steps in `after` are done.

    `estimated_ms` is the caller's estimate of a task's run time. `data_rack` is
    the rack that holds the data, `max_per_worker` the maximum number of the
    step's tasks on one worker (`NO_LIMIT`: any number). `fills_spare` marks
    best-effort tasks: their processors are not reserved on a worker, and they
    use what the other tasks leave idle. `is_endless` marks long-running tasks:
    they run until the job is cancelled and serve requests of their own users.
    If `tail_target_ms` is not 0, they are latency-critical: their latency tail
    has to stay under it. At most `max_away` of the step's long-running tasks
    may be unavailable through actions of the scheduler.
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

    @property
    def reserved(self) -> Resources:
        """Return what a task reserves on its worker."""
        if self.fills_spare:
            return replace(self.resources, processors_milli=0)
        return self.resources

    @property
    def task_work(self) -> int:
        """Return the estimated processor time of a task, at least 1."""
        return max(1, self.estimated_ms * self.resources.processors_milli)


class Shape(NamedTuple):
    """What decides, apart from its size, where a task of a step may run."""

    service: str
    label: str
    data_rack: str
    image: str
    fills_spare: bool
    same_rack: bool


@dataclass(frozen=True, slots=True)
class Schedule:
    """When the steps of a job run: once, or `occurrences` times.

    The first occurrence is due at `first_due_ms`, in Unix milliseconds.
    """

    first_due_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0

    @property
    def occurrence_count(self) -> int:
        """The number of occurrences; 1 for a job without a schedule."""
        return max(1, self.occurrences)

    def scheduled_start_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, in Unix milliseconds."""
        if not self.occurrences:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """The timing of a queue's advice service.

    A query takes `decide_ms`, plus `each_ms` for each worker named; a ticket
    is valid for `valid_ms`.
    """

    decide_ms: float
    each_ms: float
    valid_ms: int


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """The policy of the job's queue in the cfg active at its submission.

    `priority` 0 goes first. A job is on time within `stretch` times its
    critical path plus `target_latency_ms`. With `advice`, a step runs only on
    workers for which the advice service gives a ticket.
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
    """One accepted job.

    `customer` names the customer whose key submitted it, empty for none.
    """

    job_id: str
    payload: str
    policy: QueuePolicy
    steps: tuple[StepSpec, ...]
    submitted_ms: int
    schedule: Schedule = Schedule()
    customer: str = ''

    def is_endless(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.is_endless for step in self.steps)

    def critical_path_ms(self) -> int:
        """Return the estimated run time of the job's critical path."""
        return max(map(self.remaining_critical_path_ms, range(len(self.steps))))

    def remaining_critical_path_ms(self, number: int) -> int:
        """Return the estimated critical path that starts with a step."""
        path_ms: dict[int, int] = {}
        for later in reversed(range(number, len(self.steps))):
            longest_ms = max(
                (
                    path_ms[after]
                    for after in path_ms
                    if later in self.steps[after].after
                ),
                default=0,
            )
            path_ms[later] = self.steps[later].estimated_ms + longest_ms
        return path_ms[number]

    def work_from(self, number: int) -> int:
        """Return the estimated processor time of a step and those after it."""
        return sum(
            step.task_count * step.task_work for step in self.steps[number:]
        )

    def release_ms(self, occurrence: int) -> int:
        """Return from when the latency of an occurrence counts.

        Without a schedule this is the submission of the job.
        """
        return self.schedule.scheduled_start_ms(occurrence) or self.submitted_ms

    def objective_ms(self, occurrence: int = 0) -> int:
        """Return until when an occurrence is on time, in Unix milliseconds."""
        work_ms = self.policy.stretch * self.critical_path_ms()
        allowed_ms = int(work_ms + self.policy.target_latency_ms)
        return self.release_ms(occurrence) + allowed_ms

    def with_policy(self, policy: QueuePolicy) -> 'JobSpec':
        """Return the job under another policy of its queue."""
        return replace(self, policy=policy)


def validate_job(steps: tuple[StepSpec, ...], schedule: Schedule) -> str:
    """Return why the job is invalid, or an empty text."""
    if not 0 < len(steps) <= MAX_STEPS:
        return f'a job has 1 to {MAX_STEPS} steps'
    tasks = schedule.occurrence_count * sum(step.task_count for step in steps)
    if tasks > MAX_TASKS_IN_JOB:
        return f'{tasks} tasks; a job has up to {MAX_TASKS_IN_JOB}'
    return _step_error(steps)


def _step_error(steps: tuple[StepSpec, ...]) -> str:
    for number, step in enumerate(steps):
        if step.task_count > MAX_TASKS_IN_STEP:
            return f'step {number}: 1 to {MAX_TASKS_IN_STEP} tasks'
        if min(step.resources.as_tuple()) < 0:
            return f'step {number}: negative resources'
    return _structure_error(steps)


def _structure_error(steps: tuple[StepSpec, ...]) -> str:
    for number, step in enumerate(steps):
        if step.task_count <= 0:
            return f'step {number}: no tasks'
        if any(not 0 <= before < number for before in step.after):
            return f'step {number}: comes after a step that is not earlier'
    return '' if steps else 'no steps'


def encode_job(spec: JobSpec) -> bytes:
    """Return the stored form of a job."""
    return msgspec.json.encode(spec)


class _Owner(msgspec.Struct, frozen=True):
    """The part of a stored job that tells whose it is."""

    customer: str = ''


_OWNER_DECODER: Final = msgspec.json.Decoder(_Owner)


def decode_owner(body: bytes) -> str:
    """Return the customer of a stored job; raises `msgspec.DecodeError`."""
    return decode_json(_OWNER_DECODER, body).customer


_SPEC_DECODER: Final = msgspec.json.Decoder(JobSpec)


def decode_job(body: bytes) -> JobSpec:
    """Decode a stored job; raises `msgspec.DecodeError` if malformed.

    A job of an older release may be larger than one is now accepted.
    """
    spec = decode_json(_SPEC_DECODER, body)
    error = _structure_error(spec.steps)
    if error:
        raise msgspec.ValidationError(error)
    return spec
