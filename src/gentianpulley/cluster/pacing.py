"""Throttles best-effort tasks so that latency-critical ones meet their targets.

Handles a best-effort task with high interference that starts, or a rise in a
latency-critical task's load, on a worker without violations. The highest speeds
that keep every expected tail under its target are computed again at each poll.
Interference with a latency-critical task costs many times what a best-effort
task earns in the same time. But a step ends with its slowest task, so one
throttled task makes a whole wide job late: tasks of jobs that are late already
are throttled first.
"""

import math
import random
from typing import Final, NamedTuple

from gentianpulley.cluster.interference import InterferenceModel
from gentianpulley.cluster.worker_protocol import PaceOrder, RunKey
from gentianpulley.cluster.violation_guard import (
    track_violation,
    update_suspension,
)
from gentianpulley.cluster.worker import (
    FULL_PERCENT,
    UNKNOWN_SPEED_PERCENT,
    Reservation,
    Worker,
)
from gentianpulley.resources import NO_RESOURCES

ALLOWED_TAIL_SHARE: Final = 0.75
"""Maximum expected tail, as a fraction of its target. The margin is there
because measurements are noisy and half a second late."""

BIAS_EWMA_WEIGHT: Final = 0.35
"""Weight of the newest report in the moving average of a latency-critical
task's deviation from the model."""

REPORT_TIME_CONSTANT_MS: Final = 1160
"""Time after which the moving average of a latency-critical task's reports has
followed by about two thirds. It counts time and not reports, as a worker
without ends of runs is listed a third as often as others."""

MAX_BIAS: Final = 1.5
"""Maximum absolute value of that deviation, on the logarithmic scale."""

REPORT_LAG_MS: Final = 600
"""Age from which a best-effort task shows in reports, which lag by half a
second."""

MIN_SAMPLE_INTERVAL_MS: Final = 400
"""Minimum interval between two samples of one worker. One report covers as
much time."""

OBSERVATIONS_PER_SAMPLE: Final = 4
"""Maximum number of latency-critical tasks in a sample from which the model
learns. Each takes about ten microseconds times the square of the number of
images."""

MIN_CHANGE_PERCENT: Final = 8
"""Minimum change of speed, in percent, for which an order is sent."""

MIN_RUNNING_PERCENT: Final = 8
"""Below this speed a best-effort task is suspended."""


class _TailModel(NamedTuple):
    """The expected tails of an image on one worker.

    `baseline_log_tail` is the logarithm of the tail without interference,
    `by_run` how much each best-effort task raises it at full speed.
    """

    baseline_log_tail: float
    by_run: dict[RunKey, float]


def update_model(worker: Worker, model: InterferenceModel, now_ms: int) -> bool:
    """Learn from a worker's newest reports; returns whether a sample was due.

    The model learns from a few randomly chosen tasks of each sample, and
    nothing from a worker whose capacity is unknown.
    """
    if worker.registration.capacity == NO_RESOURCES:
        return False
    if now_ms < worker.sample.taken_ms + MIN_SAMPLE_INTERVAL_MS:
        return False
    worker.sample = worker.sample.next_sample(
        now_ms, has_best_effort=worker.best_effort_milli > 0
    )
    worker.invalidate_margins()
    shares = _measured_shares(worker, now_ms)
    serving = [
        reservation
        for reservation in worker.reservations.values()
        if is_serving(reservation)
        and reservation.measured_ms == now_ms
        and reservation.measurement > 0
    ]
    expected = {
        image: model.predict(image, shares) for image in _images_of(serving)
    }
    for reservation in serving:
        _update_bias(reservation, expected[reservation.spec.image])
        _update_smoothed_tail(reservation, worker.sample.gap_ms)
        track_violation(worker, reservation)
    for reservation in random.sample(
        serving, min(OBSERVATIONS_PER_SAMPLE, len(serving))
    ):
        if model.admit_report(now_ms):
            model.observe(
                reservation.spec.image, reservation.measurement, shares
            )
    return True


def pace_orders(
    worker: Worker,
    model: InterferenceModel,
    interference_bound_ms: int,
    now_ms: int,
) -> list[PaceOrder]:
    """Return the changes of speed that the expected tails require.

    `interference_bound_ms` is the cluster's limit on how long a
    latency-critical task may suffer interference.
    """
    best_effort = [
        reservation
        for reservation in worker.reservations.values()
        if reservation.spec.fills_spare and reservation.confirmed_ms
    ]
    if not best_effort:
        return []
    max_speed: float = (
        0 if update_suspension(worker, interference_bound_ms, now_ms) else 1
    )
    speeds = _safe_speeds(worker, model, best_effort, max_speed, now_ms)
    return _changes(worker, best_effort, speeds, now_ms)


def _changes(
    worker: Worker,
    best_effort: list[Reservation],
    speeds: dict[RunKey, float],
    now_ms: int,
) -> list[PaceOrder]:
    """Set the target speeds; returns orders for changes worth sending."""
    orders = []
    for reservation in best_effort:
        wanted_percent = _rounded(speeds[reservation.key])
        reservation.set_target_speed(wanted_percent, now_ms)
        if _is_worth_an_order(reservation.speed_percent, wanted_percent):
            orders.append(
                PaceOrder(worker.worker_id, reservation.key, wanted_percent)
            )
    return orders


def _images_of(serving: list[Reservation]) -> set[str]:
    """Return the images of tasks; a worker has few, each with several tasks."""
    return {reservation.spec.image for reservation in serving}


def _update_smoothed_tail(reservation: Reservation, gap_ms: int) -> None:
    """Follow a report that came some time after the one before it."""
    weight = 1 - math.exp(-gap_ms / REPORT_TIME_CONSTANT_MS)
    newest = math.log(reservation.measurement)
    smoothed = reservation.log_smoothed_tail or newest
    reservation.log_smoothed_tail = smoothed + weight * (newest - smoothed)


def _update_bias(reservation: Reservation, expected: float) -> None:
    deviation = math.log(reservation.measurement) - expected
    mixed = reservation.log_tail_bias + BIAS_EWMA_WEIGHT * (
        deviation - reservation.log_tail_bias
    )
    reservation.log_tail_bias = max(-MAX_BIAS, min(MAX_BIAS, mixed))


def _safe_speeds(
    worker: Worker,
    model: InterferenceModel,
    best_effort: list[Reservation],
    max_speed: float,
    now_ms: int,
) -> dict[RunKey, float]:
    """Return speeds at which every expected tail is within its limit."""
    speeds = {reservation.key: max_speed for reservation in best_effort}
    urgent = {
        reservation.key
        for reservation in best_effort
        if reservation.can_be_on_time(now_ms)
    }
    serving = list(filter(is_serving, worker.reservations.values()))
    tail_models = {
        image: _tail_model(worker, model, image, best_effort)
        for image in _images_of(serving)
    }
    for reservation in serving:
        _throttle_for(
            reservation, tail_models[reservation.spec.image], speeds, urgent
        )
    return speeds


def _throttle_for(
    serving: Reservation,
    tail_model: _TailModel,
    speeds: dict[RunKey, float],
    urgent: set[RunKey],
) -> None:
    """Lower speeds until the task's expected tail is within its limit.

    The task with the highest interference is throttled first, but those that
    are not urgent before all others.
    """
    by_run = tail_model.by_run
    excess = tail_model.baseline_log_tail + serving.log_tail_bias
    excess += sum(by_run[key] * speeds[key] for key in by_run)
    excess -= math.log(ALLOWED_TAIL_SHARE * serving.spec.tail_target_ms)
    if excess <= 0:
        return
    by_interference = sorted(by_run, key=by_run.__getitem__, reverse=True)
    by_interference.sort(key=urgent.__contains__)
    for key in by_interference:
        contribution = by_run[key] * speeds[key]
        cut = min(contribution, excess)
        if cut > 0:
            speeds[key] *= 1 - cut / contribution
            excess -= cut


def _tail_model(
    worker: Worker,
    model: InterferenceModel,
    image: str,
    best_effort: list[Reservation],
) -> _TailModel:
    """Return how much each best-effort task raises an image's tails."""
    capacity = max(1, worker.registration.capacity.processors_milli)
    by_run: dict[RunKey, float] = {}
    for reservation in best_effort:
        need = reservation.spec.resources.processors_milli
        coefficient = model.coefficient(image, reservation.spec.image)
        by_run[reservation.key] = coefficient * need / capacity
    return _TailModel(model.predict(image, {}), by_run)


def is_serving(reservation: Reservation) -> bool:
    return reservation.spec.tail_target_ms > 0 and reservation.measured_ms > 0


def _measured_shares(worker: Worker, now_ms: int) -> dict[str, float]:
    capacity = max(1, worker.registration.capacity.processors_milli)
    shares: dict[str, float] = {}
    for reservation in worker.reservations.values():
        if reservation.spec.fills_spare and _is_reported(reservation, now_ms):
            image = reservation.spec.image
            shares[image] = (
                shares.get(image, 0) + reservation.measurement / capacity
            )
    return shares


def _is_reported(reservation: Reservation, now_ms: int) -> bool:
    """Return whether reports cover a run, as one that was adopted."""
    is_adopted = reservation.speed_percent == UNKNOWN_SPEED_PERCENT
    return is_adopted or now_ms - reservation.sent_ms > REPORT_LAG_MS


def _rounded(speed: float) -> int:
    percent = round(speed * FULL_PERCENT)
    return percent if percent >= MIN_RUNNING_PERCENT else 0


def _is_worth_an_order(percent: int, wanted_percent: int) -> bool:
    if percent == wanted_percent:
        return False
    if wanted_percent in {0, FULL_PERCENT}:
        return True
    return abs(wanted_percent - percent) >= MIN_CHANGE_PERCENT
