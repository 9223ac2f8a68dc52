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

VIOLATION_GRACE_SHARE: Final = 0.4
"""Fraction of the cluster's limit for which a task may be over its target
before the best-effort tasks beside it are suspended, counted from when it was
last certain to suffer no interference. The lag of reports, the next listing and
the order take as long again."""

WATCH_SHARE: Final = 0.125
"""Maximum time between two listings of a worker with a task over its target, as
a fraction of the limit. Reports cover half a second."""

SUSPENSION_SHARE: Final = 0.3
"""Duration of a suspension as a fraction of the limit. It covers three reports,
which show whether the best-effort tasks caused the tail."""


def track_violation(worker: Worker, reservation: Reservation) -> None:
    """Update since when a task may have suffered interference.

    Once its smoothed tail is over the target, the time counts from the last
    report below it, as the tail may have risen right after that. Without
    best-effort tasks there is none.
    """
    sample = worker.sample
    bound = VIOLATION_TAIL_SHARE * reservation.spec.tail_target_ms
    if reservation.measurement <= bound or not sample.had_best_effort:
        reservation.unharmed_ms = sample.taken_ms
    elif not reservation.unharmed_ms:
        reservation.unharmed_ms = sample.taken_ms - sample.gap_ms
    level = reservation.log_smoothed_tail
    if level <= math.log(bound) or not sample.had_best_effort:
        reservation.over_target_since_ms = 0
    elif not reservation.over_target_since_ms:
        reservation.over_target_since_ms = reservation.unharmed_ms


def is_watched(worker: Worker) -> bool:
    """Return whether a task may suffer interference there at this moment."""
    return bool(worker.best_effort_milli) and any(
        _is_high(reservation) for reservation in worker.reservations.values()
    )


def _is_high(reservation: Reservation) -> bool:
    """Return whether a task's newest report or smoothed tail is too high."""
    bound = VIOLATION_TAIL_SHARE * reservation.spec.tail_target_ms
    is_reported = 0 < bound < reservation.measurement
    return is_reported or reservation.over_target_since_ms > 0


def update_suspension(
    worker: Worker, interference_bound_ms: int, now_ms: int
) -> bool:
    """Return whether a worker's best-effort tasks have to be suspended now.

    Starts a suspension if a task has been over its target for too long.
    `interference_bound_ms` is the cluster's limit on interference.
    """
    waited_ms = VIOLATION_GRACE_SHARE * interference_bound_ms
    latest_ms = now_ms - waited_ms
    # A suspension interrupts what it ends: the time counts from its end.
    is_over = worker.best_effort_paused_until_ms < latest_ms and any(
        0 < reservation.over_target_since_ms < latest_ms
        for reservation in worker.reservations.values()
    )
    if is_over:
        worker.best_effort_paused_until_ms = now_ms + int(
            SUSPENSION_SHARE * interference_bound_ms
        )
    return now_ms < worker.best_effort_paused_until_ms
