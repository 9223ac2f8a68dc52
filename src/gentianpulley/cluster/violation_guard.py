"""Suspends best-effort tasks beside a task that stays over its tail target.

Handles a wrong interference model: it expects no interference from a pair of
images and attributes a high tail to the latency-critical task itself, so that
throttling by the model changes nothing. Whatever the model expects, no
latency-critical task may suffer interference for longer than the cluster's
limit. A short suspension of all best-effort tasks on the worker ends the
interference, and shows the model how much they cause.
"""

import math
from typing import Final

from gentianpulley.cluster.worker import Reservation, Worker

VIOLATION_TAIL_SHARE: Final = 0.9
"""Smoothed tail, as a fraction of its target, above which a task counts as over
its target. It is below 1 because reports are noisy and smoothing lags."""

VIOLATION_GRACE_SHARE: Final = 0.25
"""Fraction of the cluster's limit for which a task may be over its target
before the best-effort tasks beside it are suspended. Reports, smoothing and the
order take nearly as long again."""

SUSPENSION_SHARE: Final = 0.3
"""Duration of a suspension as a fraction of the limit. It covers three reports,
which show whether the best-effort tasks caused the tail."""


def track_violation(
    reservation: Reservation, level: float, now_ms: int
) -> None:
    """Update since when a task's smoothed tail has been over its target.

    `level` is the logarithm of the smoothed tail in milliseconds.
    """
    reservation.log_smoothed_tail = level
    bound = math.log(VIOLATION_TAIL_SHARE * reservation.spec.tail_target_ms)
    if level <= bound:
        reservation.over_target_since_ms = 0
    elif not reservation.over_target_since_ms:
        reservation.over_target_since_ms = now_ms


def update_suspension(
    worker: Worker, interference_bound_ms: int, now_ms: int
) -> bool:
    """Return whether a worker's best-effort tasks have to be suspended now.

    Starts a suspension if a task has been over its target for too long.
    `interference_bound_ms` is the cluster's limit on interference.
    """
    waited_ms = VIOLATION_GRACE_SHARE * interference_bound_ms
    over = [
        reservation
        for reservation in worker.reservations.values()
        if 0 < reservation.over_target_since_ms < now_ms - waited_ms
    ]
    for reservation in over:
        reservation.over_target_since_ms = 0
    if over:
        worker.best_effort_paused_until_ms = now_ms + int(
            SUSPENSION_SHARE * interference_bound_ms
        )
    return now_ms < worker.best_effort_paused_until_ms
