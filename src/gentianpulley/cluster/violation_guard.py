"""Stills all filling tasks beside a serving task that stays over its target.

Answers the pattern in which the model of harm is wrong: it takes a pair for
harmless and a high tail for the serving task's own, so that pacing by the
model changes nothing. Whatever the model expects, no serving task may be
harmed for longer than the site's bound; a short rest of all its neighbours
ends that, and shows the model what they do.
"""

import math
from typing import Final

from gentianpulley.cluster.worker import Reservation, Worker

VIOLATION_TAIL_SHARE: Final = 0.9
"""Smoothed tail as a share of its target from which a task counts as over:
reports are rough, and smoothing lags."""

VIOLATION_GRACE_SHARE: Final = 0.25
"""Share of the site's bound that a task may be over before its neighbours
rest. Reports, smoothing and the order take nearly as long again."""

SUSPENSION_SHARE: Final = 0.3
"""Share of the bound that the rest lasts: three reports, which show whether
the tail was the neighbours' doing."""


def track_violation(charge: Reservation, level: float, now_ms: int) -> None:
    """Note the smoothed logarithm of a serving task's tail."""
    bound = math.log(VIOLATION_TAIL_SHARE * charge.spec.tail_target_ms)
    if level <= bound:
        charge.over_target_since_ms = 0
    elif not charge.over_target_since_ms:
        charge.over_target_since_ms = now_ms


def update_suspension(worker: Worker, harm_ms: int, now_ms: int) -> bool:
    """Tell whether the filling tasks of a worker have to rest now."""
    waited_ms = VIOLATION_GRACE_SHARE * harm_ms
    over = [
        charge
        for charge in worker.reservations.values()
        if 0 < charge.over_target_since_ms < now_ms - waited_ms
    ]
    for charge in over:
        charge.over_target_since_ms = 0
    if over:
        worker.best_effort_paused_until_ms = now_ms + int(
            SUSPENSION_SHARE * harm_ms
        )
    return now_ms < worker.best_effort_paused_until_ms
