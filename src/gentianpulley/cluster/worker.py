"""One life of a worker as the leader sees it: room, runs, lease and trust."""

from collections import deque
from dataclasses import dataclass
from typing import Final, NamedTuple

from gentianpulley.cluster.worker_protocol import RunKey, WorkerRegistration
from gentianpulley.cluster.timing import WorkerClock
from gentianpulley.jobs.spec import StepSpec, TaskId

FULL_PERCENT: Final = 100
UNKNOWN_SPEED_PERCENT: Final = -1

LOW_SPEED_PERCENT: Final = 35
"""A pace below which a task is better off on another worker, which gives it
several times as much."""

QUARANTINE_FAILURES: Final = 2
"""Failures in a row, without a run that ended as done, that make a worker
suspect. One failure is usual: callers' tasks fail by themselves."""

QUARANTINE_MS: Final = 4000
"""How long a suspect worker gets nothing before it is tried again; about as
long as such a fault lasts on the sites' days."""

FAILURE_WINDOW_MS: Final = 2 * QUARANTINE_MS
"""Failures that lie further apart do not count as in a row: a worker of endless
tasks has no run that ends as done and would clear it."""


@dataclass(slots=True)
class Reservation:
    """What one run holds of its worker until its end is certain.

    `confirmed_ms` is when the worker answered the start or listed the run, and
    `stop_confirmed_ms` when it answered a stop; zero means not yet.
    `is_stopping` says that a stop was ordered, `has_lost_start` that a start
    went unanswered, `is_listed` that this life of the worker has listed the
    run. `last_sent_ms` is when its start was last sent, `sent_worker_ms` what
    was known of the worker's clock by then. `sent_ms` is when the start was
    ordered, `last_progress_ms` when its progress was last seen to move, and
    `latest_finish_ms` until when the run has to end for its job to be on time.
    `speed_percent` is the pace that the worker was last told,
    `UNKNOWN_SPEED_PERCENT` if somebody else told it, and `target_speed_percent`
    the pace that it should have; `throttled_since_ms` is since when that is
    low, zero while it is not. `log_tail_bias` is how far a serving task's tail
    lies from what is expected of its image, as a logarithm;
    `over_target_since_ms` is since when the tail is over its target, zero while
    it is not. `checkpoint` is what was listed last.
    """

    key: RunKey
    spec: StepSpec
    sent_ms: int
    confirmed_ms: int = 0
    stop_confirmed_ms: int = 0
    is_stopping: bool = False
    has_lost_start: bool = False
    is_listed: bool = False
    last_sent_ms: int = 0
    sent_worker_ms: int = 0
    progress_percent: int = 0
    last_progress_ms: int = 0
    speed_percent: int = FULL_PERCENT
    target_speed_percent: int = FULL_PERCENT
    throttled_since_ms: int = 0
    measurement: int = 0
    measured_ms: int = 0
    log_tail_bias: float = 0
    over_target_since_ms: int = 0
    checkpoint: str = ''
    latest_finish_ms: int = 0

    def can_be_on_time(self, now_ms: int) -> bool:
        """Return whether the run, at full speed, ends in time for its job."""
        left = FULL_PERCENT - self.progress_percent
        left_ms = self.spec.estimated_ms * left // FULL_PERCENT
        return now_ms + left_ms <= self.latest_finish_ms

    def set_target_speed(self, percent: int, now_ms: int) -> None:
        """Note the pace that the run should have from now on."""
        self.target_speed_percent = percent
        if percent >= LOW_SPEED_PERCENT:
            self.throttled_since_ms = 0
        elif not self.throttled_since_ms:
            self.throttled_since_ms = now_ms

    @property
    def is_unsent(self) -> bool:
        """Return whether nobody has sent the run, and no stop of it follows."""
        was_sent = self.last_sent_ms or self.confirmed_ms
        return not was_sent and not self.is_stopping

    @property
    def may_start_late(self) -> bool:
        """Return whether the next life of the worker may hold the run.

        A start without an answer may still arrive there, and one that was
        accepted but never listed may have met the next life already.
        """
        return self.has_lost_start or not self.is_listed

    @property
    def processors_milli(self) -> int:
        """Return what counts against the worker's processors."""
        if self.spec.fills_spare:
            return 0
        return self.spec.resources.processors_milli


class ServingMargin(NamedTuple):
    """How far a serving task is expected to be from its target.

    `margin` is the logarithm of the expected tail over the target, and `risk`
    the probability that the tail is over it.
    """

    image: str
    margin: float
    risk: float


class Worker:
    """Ledger and condition of one life of a worker.

    `is_fenced` says that this leader's token was answered with a list, so that
    nothing of an earlier leader can start there any more. `is_registered` says
    that the worker stands in the directory, `is_leaving` that its machine goes
    down for upkeep. `unresponsive_since_ms` is when a look at it first failed,
    zero while it answers, and `best_effort_paused_until_ms` how long its
    filling tasks stand still. `serving_margins` is None until it is worked out
    for what runs now, and `interference_limits_milli` holds, by image, the
    processors from which a further filling task harms too much; `state_version`
    rises when both are forgotten and with each run that comes or goes.
    """

    def __init__(self, facts: WorkerRegistration, now_ms: int) -> None:
        """Know nothing of what runs there."""
        self.registration = facts
        self.clock = WorkerClock()
        self.reservations: dict[RunKey, Reservation] = {}
        self.is_fenced = False
        self.is_registered = True
        self.is_leaving = False
        self.deregistered_ms = 0
        self.last_contact_ms = now_ms
        self.unresponsive_since_ms = 0
        self.last_end_number = 0
        self.acked_end_number = 0
        self.cold_until_ms = now_ms + facts.warmup_ms
        self.quarantined_until_ms = 0
        self.suspect_until_ms = 0
        self.consecutive_failures = 0
        self.last_failure_ms = 0
        self.completed_runs = 0
        self.reserved_processors_milli = 0
        self.reserved_memory_mib = 0
        self.reserved_accelerators = 0
        self.best_effort_milli = 0
        self.long_running_milli = 0
        self.sampled_ms = 0
        self.best_effort_paused_until_ms = 0
        self.serving_margins: list[ServingMargin] | None = None
        self.interference_limits_milli: dict[str, int] = {}
        self.state_version = 0
        self.foreign_runs: set[RunKey] = set()
        self.unacked_ends: deque[tuple[int, int]] = deque()

    @property
    def worker_id(self) -> str:
        """Return the worker's id."""
        return self.registration.worker_id

    @property
    def is_closing(self) -> bool:
        """Return whether the worker's life is about to end as planned."""
        return self.registration.is_draining or self.is_leaving

    def serving_images(self) -> set[str]:
        """Return the images of the endless tasks on the worker."""
        return {
            charge.spec.image
            for charge in self.reservations.values()
            if charge.spec.is_endless
        }

    @property
    def is_drained(self) -> bool:
        """Return whether nothing runs there, and no run is sent there any more.

        Not of a worker that has not answered this leader: it may still take
        what an earlier one sends.
        """
        if self.is_registered and not self.registration.is_draining:
            return False
        return (
            self.is_fenced and not self.reservations and not self.foreign_runs
        )

    def accepts_runs(self, now_ms: int) -> bool:
        """Return whether new runs may be sent there."""
        is_known = (
            self.is_fenced and self.is_registered and not self.foreign_runs
        )
        if self.is_closing or self.unresponsive_since_ms:
            return False
        return is_known and now_ms >= self.quarantined_until_ms

    def has_room(self, spec: StepSpec) -> bool:
        """Return whether one more task of a step fits the declared room."""
        room = self.registration.capacity
        need = spec.resources
        processors = 0 if spec.fills_spare else need.processors_milli
        return (
            self.reserved_processors_milli + processors <= room.processors_milli
            and self.reserved_memory_mib + need.memory_mib <= room.memory_mib
            and self.reserved_accelerators + need.accelerators
            <= room.accelerators
        )

    def available_slots(self, spec: StepSpec) -> int:
        """Return how many more tasks of a step fit the declared room."""
        room = self.registration.capacity
        need = spec.resources
        processors = 0 if spec.fills_spare else need.processors_milli
        fits = [
            left // each
            for left, each in (
                (
                    room.processors_milli - self.reserved_processors_milli,
                    processors,
                ),
                (room.memory_mib - self.reserved_memory_mib, need.memory_mib),
                (
                    room.accelerators - self.reserved_accelerators,
                    need.accelerators,
                ),
            )
            if each > 0
        ]
        return max(0, min(fits, default=spec.task_count))

    def fits_when_empty(self, spec: StepSpec) -> bool:
        """Return whether one task of a step fits the empty worker."""
        if spec.required_label not in {'', *self.registration.labels}:
            return False
        return spec.resources.fits_in(self.registration.capacity)

    def reserve(self, key: RunKey, spec: StepSpec, now_ms: int) -> Reservation:
        """Reserve what a run needs; a known run keeps its charge."""
        known = self.reservations.get(key)
        if known is not None:
            return known
        added = Reservation(key, spec, now_ms)
        self.reservations[key] = added
        self._book(added, 1)
        return added

    def release(self, key: RunKey) -> Reservation | None:
        """Give back what a run held, once it cannot run any more."""
        released = self.reservations.pop(key, None)
        if released is not None:
            self._book(released, -1)
        return released

    def reservations_of(self, task_id: TaskId) -> list[Reservation]:
        """Return the charges of a task's runs."""
        return [
            charge
            for key, charge in self.reservations.items()
            if key.task_id == task_id
        ]

    def invalidate_margins(self) -> None:
        """Let what runs, and how fast, be weighed anew."""
        self.state_version += 1
        self.serving_margins = None
        self.interference_limits_milli.clear()

    def record_success(self) -> None:
        """Note a run that ended as done: the worker works."""
        self.completed_runs += 1
        self.consecutive_failures = 0
        self.quarantined_until_ms = 0

    def record_failure(self, now_ms: int) -> None:
        """Note a failed run; several in a row make the worker suspect."""
        if now_ms > self.last_failure_ms + FAILURE_WINDOW_MS:
            self.consecutive_failures = 0
        self.last_failure_ms = now_ms
        self.consecutive_failures += 1
        if self.consecutive_failures >= QUARANTINE_FAILURES:
            self.quarantined_until_ms = now_ms + QUARANTINE_MS

    def _book(self, charge: Reservation, sign: int) -> None:
        self.invalidate_margins()
        need = charge.spec.resources
        self.reserved_processors_milli += sign * charge.processors_milli
        self.reserved_memory_mib += sign * need.memory_mib
        self.reserved_accelerators += sign * need.accelerators
        if charge.spec.fills_spare:
            self.best_effort_milli += sign * need.processors_milli
        if charge.spec.is_endless:
            self.long_running_milli += sign * need.processors_milli


def create_worker(facts: WorkerRegistration, now_ms: int) -> Worker:
    """Return a worker that is not fenced yet."""
    return Worker(facts, now_ms)
