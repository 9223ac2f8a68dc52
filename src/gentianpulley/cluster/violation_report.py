"""Describes latency-critical tasks over their targets, for the log.

Shows when the leader learned of a violation, what it takes for the cause, and
what it does about the best-effort tasks beside it.
"""

import math
from typing import Final, NamedTuple

from gentianpulley.cluster.interference import InterferenceModel
from gentianpulley.cluster.worker import FULL_PERCENT, Reservation, Worker
from gentianpulley.logs import EventLog

_MAX_LOG_MS: Final = 18.0
"""Limit for logarithms of tails, which a damaged report may exceed."""


class Violation(NamedTuple):
    """A latency-critical task over its target beside best-effort tasks.

    `level_ms` is the reported tail, `smoothed_ms` the moving average by
    which neighbours are suspended, and `alone_ms` the tail expected without
    them, by which they are throttled.
    `over_ms` is for how long the smoothed tail has been over its bound, and
    `unknown_ms` how long the worker had not been listed before. `cause` is the
    job of the best-effort task that is expected to raise the tail most, and
    `cause_percent` by how much at full speed. `speed_percent` is the lowest
    speed of a best-effort task from now on.
    """

    level_ms: int
    target_ms: int
    smoothed_ms: int
    alone_ms: int
    over_ms: int
    unknown_ms: int
    neighbours: int
    cause: str
    cause_percent: int
    speed_percent: int
    reaction: str


def log_violations(
    worker: Worker, model: InterferenceModel, now_ms: int, log: EventLog
) -> None:
    """Log the tasks that the newest listing shows over their targets."""
    over = [
        reservation
        for reservation in worker.reservations.values()
        if reservation.measured_ms == now_ms and is_over_target(reservation)
    ]
    if not over:
        return
    best_effort = [
        reservation
        for reservation in worker.reservations.values()
        if reservation.spec.fills_spare
    ]
    if best_effort:
        for reservation in over:
            violation = _describe(
                worker, model, reservation, best_effort, now_ms
            )
            log.tail_over_target(
                reservation.key,
                worker.worker_id,
                violation.reaction,
                violation._asdict(),
            )


def is_over_target(reservation: Reservation) -> bool:
    """Return whether a task's newest report is over its target."""
    return 0 < reservation.spec.tail_target_ms < reservation.measurement


def count_over_target(worker: Worker) -> int:
    """Return how many tasks the newest listing shows over their targets."""
    return sum(map(is_over_target, worker.reservations.values()))


def _describe(
    worker: Worker,
    model: InterferenceModel,
    serving: Reservation,
    best_effort: list[Reservation],
    now_ms: int,
) -> Violation:
    image = serving.spec.image
    capacity = max(1, worker.registration.capacity.processors_milli)
    raised_by = {
        each.key: model.coefficient(image, each.spec.image)
        * each.spec.resources.processors_milli
        / capacity
        for each in best_effort
    }
    cause = max(raised_by, key=raised_by.__getitem__)
    alone = model.predict(image, {}) + serving.log_tail_bias
    since_ms = serving.over_target_since_ms
    return Violation(
        level_ms=serving.measurement,
        target_ms=serving.spec.tail_target_ms,
        smoothed_ms=_milliseconds(serving.log_smoothed_tail),
        alone_ms=_milliseconds(alone),
        over_ms=now_ms - since_ms if since_ms else 0,
        unknown_ms=worker.sample.gap_ms,
        neighbours=len(best_effort),
        cause=cause.task_id.job_id,
        cause_percent=_milliseconds(raised_by[cause] + math.log(FULL_PERCENT))
        - FULL_PERCENT,
        speed_percent=min(each.target_speed_percent for each in best_effort),
        reaction=_reaction(worker, best_effort, now_ms),
    )


def _reaction(
    worker: Worker, best_effort: list[Reservation], now_ms: int
) -> str:
    if now_ms < worker.best_effort_paused_until_ms:
        return 'suspended'
    speeds = [each.target_speed_percent for each in best_effort]
    return 'throttled' if min(speeds) < FULL_PERCENT else 'none'


def _milliseconds(log_tail: float) -> int:
    return round(math.exp(min(_MAX_LOG_MS, log_tail)))
