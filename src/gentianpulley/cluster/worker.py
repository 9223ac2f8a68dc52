"""One incarnation of a worker: its capacity, runs, lease and health."""

from collections import deque
from dataclasses import dataclass
from typing import Final, NamedTuple

from gentianpulley.cluster.customer_usage import CustomerUsage
from gentianpulley.cluster.worker_protocol import RunKey, WorkerRegistration
from gentianpulley.cluster.timing import WorkerClock
from gentianpulley.jobs.spec import StepSpec, TaskId

FULL_PERCENT: Final = 100
UNKNOWN_SPEED_PERCENT: Final = -1

LOW_SPEED_PERCENT: Final = 35
"""Speed below which a task should run on another worker, where its speed is
several times as high."""

UNKNOWN_GAP_MS: Final = 1500
"""Time for which nothing is known before the first sample of a worker. A leader
begins without samples, while tasks may have been over their targets."""

QUARANTINE_FAILURES: Final = 2
"""Consecutive failures, without a run that ended as done, after which a worker
is quarantined. One failure is common: callers' tasks fail by themselves."""

QUARANTINE_MS: Final = 4000
"""How long a quarantined worker gets no runs before it is tried again. Such
failures last about as long."""

MAX_START_MS: Final = 500
"""How long a run may take to crash its worker. A task that does so crashes it
when it starts; replies and pauses of the leader take up the rest."""

FAILURE_WINDOW_MS: Final = 2 * QUARANTINE_MS
"""Failures further apart than this do not count as consecutive: a worker with
long-running tasks has no run that ends as done and would reset the count."""


@dataclass(slots=True)
class Reservation:
    """Resources that one run holds on its worker until its end is certain.

    `confirmed_ms` is when the worker answered the start or listed the run, and
    `stop_confirmed_ms` when it answered a stop; zero means not yet.
    `is_stopping` is set once a stop is ordered, `is_listed` once this
    incarnation of the worker has listed the run. `late_start_until_ms` is until
    when a start without a reply may still arrive, zero if each got one.
    `past_orders_until_ms` is until when orders to a past incarnation may still
    arrive, zero if the run was ordered of this one.
    `last_sent_ms` is when the start was last sent, `sent_worker_ms` the latest
    time seen on the worker's clock by then, and `start_deadline_worker_ms` when
    the worker refuses all starts sent so far, on its clock; zero while one is
    in flight. `max_start_deadline_worker_ms` is the latest deadline that a
    start of the run carried. `sent_ms` is when the start was ordered,
    `last_progress_ms` when progress last changed, and `latest_finish_ms` when
    the run has to end at the latest for its job to be on time. `speed_percent`
    is the speed last ordered from the worker, `UNKNOWN_SPEED_PERCENT` if
    another sender ordered it, and `target_speed_percent` the speed that the run
    should have;
    `throttled_since_ms` is when that became low, zero while it is not.
    `log_tail_bias` is the deviation of a latency-critical task's tail from the
    one expected of its image, as a logarithm, and `log_smoothed_tail` the
    moving average of its reports; `over_target_since_ms` is since when that may
    have exceeded its target, zero while it does not, and `unharmed_ms` until
    when it is certain to have suffered no interference. `checkpoint` is the one
    listed last, and `customer` the one that the run counts for, empty for none.
    """

    key: RunKey
    spec: StepSpec
    sent_ms: int
    confirmed_ms: int = 0
    stop_confirmed_ms: int = 0
    is_stopping: bool = False
    late_start_until_ms: int = 0
    past_orders_until_ms: int = 0
    is_listed: bool = False
    last_sent_ms: int = 0
    sent_worker_ms: int = 0
    start_deadline_worker_ms: int = 0
    max_start_deadline_worker_ms: int = 0
    progress_percent: int = 0
    last_progress_ms: int = 0
    speed_percent: int = FULL_PERCENT
    target_speed_percent: int = FULL_PERCENT
    throttled_since_ms: int = 0
    measurement: int = 0
    measured_ms: int = 0
    log_tail_bias: float = 0
    log_smoothed_tail: float = 0
    over_target_since_ms: int = 0
    unharmed_ms: int = 0
    checkpoint: str = ''
    latest_finish_ms: int = 0
    customer: str = ''

    def can_be_on_time(self, now_ms: int) -> bool:
        """Return whether the run, at full speed, ends in time for its job."""
        left = FULL_PERCENT - self.progress_percent
        left_ms = self.spec.estimated_ms * left // FULL_PERCENT
        return now_ms + left_ms <= self.latest_finish_ms

    def record_measurement(self, measurement: int, now_ms: int) -> None:
        """Record what the worker lists as measured."""
        self.measurement = measurement
        self.measured_ms = now_ms

    def set_target_speed(self, percent: int, now_ms: int) -> None:
        """Set the speed that the run should have from now on."""
        self.target_speed_percent = percent
        if percent >= LOW_SPEED_PERCENT:
            self.throttled_since_ms = 0
        elif not self.throttled_since_ms:
            self.throttled_since_ms = now_ms

    def seen_for_ms(self, seen_ms: int) -> int:
        """Return for how long the run was there when its worker last replied.

        Zero if the start was not answered before that.
        """
        return max(0, seen_ms - self.confirmed_ms) if self.confirmed_ms else 0

    @property
    def is_unsent(self) -> bool:
        """Return whether the run was never sent, and no stop of it follows."""
        was_sent = self.last_sent_ms or self.confirmed_ms
        return not was_sent and not self.is_stopping

    def extend_start_deadline(self, deadline_worker_ms: int) -> int:
        """Return the deadline of the next sending, on the worker's clock.

        It is not earlier than those before: if the worker refuses a start as
        too late, none of the run can be carried out any more.
        """
        self.max_start_deadline_worker_ms = max(
            self.max_start_deadline_worker_ms, deadline_worker_ms
        )
        return self.max_start_deadline_worker_ms

    def is_too_late(self, clock_worker_ms: int) -> bool:
        """Return whether no start sent so far can be carried out any more."""
        return 0 < self.start_deadline_worker_ms < clock_worker_ms

    @property
    def first_answer_ms(self) -> int:
        """Return when the worker first answered the start or a stop, or 0."""
        answers = (self.confirmed_ms, self.stop_confirmed_ms)
        return min(filter(None, answers), default=0)

    @property
    def has_lost_start(self) -> bool:
        """Return whether a start of the run got no reply."""
        return self.late_start_until_ms > 0

    @property
    def is_in_flight(self) -> bool:
        """Return whether the reply to the latest start is still awaited."""
        return self.last_sent_ms > 0 and not self.start_deadline_worker_ms

    @property
    def latest_arrival_ms(self) -> int:
        """Return when an order may last prolong a run that is not listed.

        Orders to a past incarnation may arrive at the worker's current one.
        """
        return max(self.sent_ms, self.last_sent_ms, self.past_orders_until_ms)

    def may_start_late(self, answered_poll_ms: int) -> bool:
        """Return whether a start may still arrive once the incarnation ends.

        One that was answered cannot, nor can one that was never sent. One
        without a reply may, unless this incarnation answered a poll sent after
        the time for that.
        """
        if self.is_in_flight:
            return self.has_lost_start or not self.is_listed
        return self.has_lost_start and (
            answered_poll_ms <= self.late_start_until_ms
        )

    @property
    def may_have_moved(self) -> bool:
        """Return whether the worker may have restarted before the run began.

        The reply to a start does not always tell which incarnation under the
        worker's id has answered. A listing does.
        """
        was_sent = self.last_sent_ms or self.confirmed_ms or self.has_lost_start
        return bool(was_sent) and not self.is_listed

    @property
    def processors_milli(self) -> int:
        """Return the processors reserved, zero for a best-effort task."""
        if self.spec.fills_spare:
            return 0
        return self.spec.resources.processors_milli


@dataclass(frozen=True, slots=True)
class Sample:
    """A listing whose reports decisions are based on, of about two a second.

    `gap_ms` is the time since the sample before it. `had_best_effort` is False
    if neither of the two found a best-effort task on the worker.
    """

    taken_ms: int = 0
    gap_ms: int = 0
    has_best_effort: bool = False
    had_best_effort: bool = False

    def next_sample(self, now_ms: int, *, has_best_effort: bool) -> 'Sample':
        """Return the sample after this one."""
        gap_ms = now_ms - self.taken_ms if self.taken_ms else UNKNOWN_GAP_MS
        had_best_effort = self.has_best_effort or has_best_effort
        return Sample(now_ms, gap_ms, has_best_effort, had_best_effort)


class ServingMargin(NamedTuple):
    """How far a latency-critical task is expected to be from its target.

    `margin` is the logarithm of the expected tail over the target, and `risk`
    the probability that the tail is over it.
    """

    image: str
    margin: float
    risk: float


class UnackedEnd(NamedTuple):
    """An end that is listed until it is acknowledged.

    It is to be written first, with the changes up to `change_number`. While a
    start of its task may arrive late, it is not acknowledged either: a start
    after the end of an acknowledged run would be one too many.
    """

    number: int
    change_number: int
    late_start_until_ms: int

    def can_be_acked(self, saved_number: int, now_ms: int) -> bool:
        """Return whether the end may be acknowledged."""
        is_saved = self.change_number <= saved_number
        return is_saved and now_ms >= self.late_start_until_ms


class Worker:
    """Reservations and state of one incarnation of a worker.

    `token` fences off calls of earlier leaders, and those that were meant for
    earlier incarnations; `is_fenced` is set once it was answered with a
    listing, so that none of these can start anything any more. `is_registered`
    is set while the worker is in the directory, `is_restarted` if this leader
    has known an earlier incarnation of it, `is_leaving` when its machine
    goes down for maintenance. `answered_poll_ms` is when the latest answered
    poll was sent, `unresponsive_since_ms` when a poll first failed, zero while
    the worker answers, and `best_effort_paused_until_ms` until when its
    best-effort tasks are suspended. `quarantined_until_ms` follows from failed
    runs, `backoff_until_ms` from a start that was refused or not sent. `sample`
    is the newest one of its reports. `serving_margins` is None until it is
    computed for the current runs, and `interference_limits_milli` holds, by
    image, the processors from which another best-effort task interferes too
    much, `added_violations`, by image and processors, how many violations one
    that does not is expected to add; `state_version` increases when these are
    invalidated and with each run that is added or released. `serving_images`
    counts the long-running tasks by image. `unanswered_starts` are runs whose
    starts got no reply since the worker last answered an order for them or
    listed them. `is_suspended` is set while the stored roster may not show the
    worker as used: then it is sent no starts, and no longer lease than
    `max_lease_worker_ms`. `trial_runs` are runs of tasks that may have crashed
    a worker and have not outlasted their start here.
    """

    def __init__(
        self,
        registration: WorkerRegistration,
        now_ms: int,
        usage: CustomerUsage,
    ) -> None:
        """Start without reservations; `usage` counts them by customer."""
        self.registration = registration
        self._usage = usage
        self.clock = WorkerClock()
        self.token = 0
        self.reservations: dict[RunKey, Reservation] = {}
        self.is_fenced = False
        self.is_registered = True
        self.is_restarted = False
        self.is_leaving = False
        self.deregistered_ms = 0
        self.last_contact_ms = now_ms
        self.answered_poll_ms = 0
        self.unresponsive_since_ms = 0
        self.last_end_number = 0
        self.acked_end_number = 0
        self.cold_until_ms = now_ms + registration.warmup_ms
        self.quarantined_until_ms = 0
        self.backoff_until_ms = 0
        self.suspect_until_ms = 0
        self.consecutive_failures = 0
        self.last_failure_ms = 0
        self.completed_runs = 0
        self.reserved_processors_milli = 0
        self.reserved_memory_mib = 0
        self.reserved_accelerators = 0
        self.best_effort_milli = 0
        self.long_running_milli = 0
        self.serving_images: dict[str, int] = {}
        self.sample = Sample()
        self.best_effort_paused_until_ms = 0
        self.serving_margins: list[ServingMargin] | None = None
        self.interference_limits_milli: dict[str, int] = {}
        self.added_violations: dict[tuple[str, int], float] = {}
        self.state_version = 0
        self.foreign_runs: set[RunKey] = set()
        self.unanswered_starts: set[RunKey] = set()
        self.trial_runs: set[RunKey] = set()
        self.unacked_ends: deque[UnackedEnd] = deque()
        self.is_suspended = False
        self.max_lease_worker_ms = 0

    @property
    def worker_id(self) -> str:
        """Return the worker's id."""
        return self.registration.worker_id

    @property
    def is_closing(self) -> bool:
        """Return whether the incarnation is about to end as planned."""
        return self.registration.is_draining or self.is_leaving

    @property
    def is_drained(self) -> bool:
        """Return whether nothing runs there and no run is sent there any more.

        False for a worker that has not answered this leader: it may still
        accept what an earlier leader sends.
        """
        if self.is_registered and not self.registration.is_draining:
            return False
        return (
            self.is_fenced and not self.reservations and not self.foreign_runs
        )

    def accepts_runs(self, now_ms: int) -> bool:
        """Return whether new runs may be sent there.

        Orders are sent one by one, so runs would wait behind a start that gets
        no reply.
        """
        if self.is_closing or self.unresponsive_since_ms or self.foreign_runs:
            return False
        if self.unanswered_starts or self.is_suspended:
            return False
        if self.trial_runs and has_fresh_trial(self, now_ms):
            return False
        closed_until_ms = max(self.quarantined_until_ms, self.backoff_until_ms)
        is_known = self.is_fenced and self.is_registered
        return is_known and now_ms >= closed_until_ms

    def has_room(self, spec: StepSpec) -> bool:
        """Return whether one more task of a step fits the declared capacity."""
        capacity = self.registration.capacity
        need = spec.resources
        processors = 0 if spec.fills_spare else need.processors_milli
        return (
            self.reserved_processors_milli + processors
            <= capacity.processors_milli
            and self.reserved_memory_mib + need.memory_mib
            <= capacity.memory_mib
            and self.reserved_accelerators + need.accelerators
            <= capacity.accelerators
        )

    def available_slots(self, spec: StepSpec) -> int:
        """Return how many more tasks of a step fit the declared capacity."""
        capacity = self.registration.capacity
        need = spec.resources
        processors = 0 if spec.fills_spare else need.processors_milli
        fits = [
            left // each
            for left, each in (
                (
                    capacity.processors_milli - self.reserved_processors_milli,
                    processors,
                ),
                (
                    capacity.memory_mib - self.reserved_memory_mib,
                    need.memory_mib,
                ),
                (
                    capacity.accelerators - self.reserved_accelerators,
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

    def reserve(
        self, key: RunKey, spec: StepSpec, now_ms: int, customer: str = ''
    ) -> Reservation:
        """Reserve what a run needs; an existing reservation is kept."""
        existing = self.reservations.get(key)
        if existing is not None:
            return existing
        reservation = Reservation(key, spec, now_ms, customer=customer)
        self.reservations[key] = reservation
        self._usage.add_run(customer, spec.resources)
        self._update_totals(reservation, 1)
        return reservation

    def release(self, key: RunKey) -> Reservation | None:
        """Release what a run held, once it cannot run any more."""
        self.unanswered_starts.discard(key)
        self.trial_runs.discard(key)
        released = self.reservations.pop(key, None)
        if released is not None:
            self._usage.remove_run(released.customer, released.spec.resources)
            self._update_totals(released, -1)
        return released

    def reservations_of(self, task_id: TaskId) -> list[Reservation]:
        """Return the reservations of a task's runs."""
        return [
            reservation
            for key, reservation in self.reservations.items()
            if key.task_id == task_id
        ]

    def invalidate_margins(self) -> None:
        """Invalidate what was computed from the runs and their speeds."""
        self.state_version += 1
        self.serving_margins = None
        self.interference_limits_milli.clear()
        self.added_violations.clear()

    def record_success(self) -> None:
        """Record a run that ended as done: the worker is healthy."""
        self.completed_runs += 1
        self.consecutive_failures = 0
        self.quarantined_until_ms = 0
        self.backoff_until_ms = 0

    def record_failure(self, now_ms: int) -> None:
        """Record a failed run; several consecutive ones cause a quarantine."""
        if now_ms > self.last_failure_ms + FAILURE_WINDOW_MS:
            self.consecutive_failures = 0
        self.last_failure_ms = now_ms
        self.consecutive_failures += 1
        if self.consecutive_failures >= QUARANTINE_FAILURES:
            self.quarantined_until_ms = now_ms + QUARANTINE_MS

    def _update_totals(self, reservation: Reservation, sign: int) -> None:
        self.invalidate_margins()
        need = reservation.spec.resources
        self.reserved_processors_milli += sign * reservation.processors_milli
        self.reserved_memory_mib += sign * need.memory_mib
        self.reserved_accelerators += sign * need.accelerators
        if reservation.spec.fills_spare:
            self.best_effort_milli += sign * need.processors_milli
        if reservation.spec.is_endless:
            self.long_running_milli += sign * need.processors_milli
            self._count_image(reservation.spec.image, sign)

    def _count_image(self, image: str, sign: int) -> None:
        """Count a long-running task that is added or released."""
        count = self.serving_images.get(image, 0) + sign
        if count:
            self.serving_images[image] = count
        else:
            self.serving_images.pop(image, None)


def create_worker(
    registration: WorkerRegistration, now_ms: int, usage: CustomerUsage
) -> Worker:
    """Return a worker that is not fenced yet."""
    return Worker(registration, now_ms, usage)


def has_fresh_trial(worker: Worker, now_ms: int) -> bool:
    """Return whether a trial may still crash a worker.

    Another run would be lost with it, and be a suspect too.
    """
    return any(
        worker.reservations[key].seen_for_ms(now_ms) < MAX_START_MS
        for key in worker.trial_runs
    )


def has_fresh_run(worker: Worker, now_ms: int) -> bool:
    """Return whether a run has just been ordered of a worker."""
    return any(
        now_ms - reservation.sent_ms < MAX_START_MS
        for reservation in worker.reservations.values()
    )


def is_only_quarantined(worker: Worker, now_ms: int) -> bool:
    """Return whether only its quarantine keeps runs from being sent there."""
    quarantined_until_ms = worker.quarantined_until_ms
    if now_ms >= quarantined_until_ms or now_ms < worker.backoff_until_ms:
        return False
    return worker.accepts_runs(quarantined_until_ms)
