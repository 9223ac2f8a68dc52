"""Weighs a best-effort task's gain against its expected interference.

Handles a loaded cluster on which every worker has latency-critical tasks. What
counts is how many of them one more best-effort task is expected to push over
their targets: one task close to its target, on a worker with many, costs less
than all of them close to it.
"""

import math
from typing import Final

from gentianpulley.cluster.interference import InterferenceModel
from gentianpulley.cluster.pacing import is_serving
from gentianpulley.cluster.violation_report import is_over_target
from gentianpulley.cluster.worker import (
    FULL_PERCENT,
    Reservation,
    ServingMargin,
    Worker,
)

LOG_TAIL_STD_DEV: Final = 0.35
"""Standard deviation of the logarithm of a tail around its expectation. The
load of latency-critical tasks varies by half within seconds."""

MAX_EXPECTED_VIOLATIONS: Final = 0.4
"""Maximum expected number of latency-critical tasks that one best-effort task
pushes over their targets. A task over its target costs four times what it
earns, and it earns about half as much per second as a best-effort task."""

MAX_TAIL_SHARE: Final = 0.85
"""Maximum expected tail, as a fraction of its target, that a placement may
cause. Above it, pacing would throttle the new task at once."""


_MAX_LOG_MARGIN: Final = math.log(MAX_TAIL_SHARE)
_SCALE: Final = LOG_TAIL_STD_DEV * math.sqrt(2)


def is_interference_excessive(
    worker: Worker, model: InterferenceModel, image: str, processors: int
) -> bool:
    """Return whether one more best-effort task costs more than it earns.

    The margins of the worker's tasks without it, the images that interfere too
    much, and the violations that others add are cached until the worker
    changes.
    """
    smallest = worker.interference_limits_milli.get(image)
    if smallest is not None and processors >= smallest:
        return True
    if (image, processors) in worker.added_violations:
        return False
    added = _added_violations(worker, model, image, processors)
    if added > MAX_EXPECTED_VIOLATIONS:
        worker.interference_limits_milli[image] = processors
        return True
    worker.added_violations[(image, processors)] = added
    return False


def expected_violations(worker: Worker, image: str, processors: int) -> float:
    """Return how many violations one more best-effort task should add.

    Call `is_interference_excessive` before. Where that is so, this is the
    maximum, so that load decides among such workers.
    """
    return worker.added_violations.get(
        (image, processors), MAX_EXPECTED_VIOLATIONS
    )


def _added_violations(
    worker: Worker, model: InterferenceModel, image: str, processors: int
) -> float:
    if worker.serving_margins is None:
        worker.serving_margins = _margins(worker, model)
    capacity = max(1, worker.registration.capacity.processors_milli)
    share = processors / capacity
    added: float = 0
    for serving in worker.serving_margins:
        after = serving.margin + share * model.coefficient(serving.image, image)
        if after > _MAX_LOG_MARGIN:
            return math.inf
        added += _risk(after) - serving.risk
    return added


def _margins(worker: Worker, model: InterferenceModel) -> list[ServingMargin]:
    """Return each latency-critical task's expected margin to its target."""
    shares = _target_shares(worker)
    serving = [
        reservation
        for reservation in worker.reservations.values()
        if is_serving(reservation)
    ]
    # A worker serves few images, each with several tasks.
    images = {reservation.spec.image for reservation in serving}
    expected = {name: model.predict(name, shares) for name in images}
    return [_margin_of(reservation, expected) for reservation in serving]


def _margin_of(
    reservation: Reservation, expected: dict[str, float]
) -> ServingMargin:
    image = reservation.spec.image
    shift = reservation.log_tail_bias - math.log(
        reservation.spec.tail_target_ms
    )
    margin = expected[image] + shift
    if is_over_target(reservation):
        margin = max(margin, _reported_margin(reservation))
    return ServingMargin(image, margin, _risk(margin))


def _reported_margin(reservation: Reservation) -> float:
    """Return the margin by the newest report, before smoothing has followed."""
    target_ms = reservation.spec.tail_target_ms
    return math.log(reservation.measurement / target_ms)


def _risk(margin: float) -> float:
    """Return the probability that a tail is over its target."""
    above = math.erf(margin / _SCALE)
    return (1 + above) / 2


def _target_shares(worker: Worker) -> dict[str, float]:
    """Return the shares that best-effort tasks should use, by image."""
    capacity = max(1, worker.registration.capacity.processors_milli)
    shares: dict[str, float] = {}
    for reservation in worker.reservations.values():
        if reservation.spec.fills_spare:
            image = reservation.spec.image
            need = reservation.spec.resources.processors_milli
            used = need * reservation.target_speed_percent / FULL_PERCENT
            shares[image] = shares.get(image, 0) + used / capacity
    return shares
