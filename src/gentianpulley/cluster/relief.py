"""Stills all filling tasks beside a serving task that stays over its target.

Answers the pattern in which the model of harm is wrong: it takes a pair for
harmless and a high tail for the serving task's own, so that pacing by the
model changes nothing. Whatever the model expects, no serving task may be
harmed for longer than the site's bound; a short rest of all its neighbours
ends that, and shows the model what they do.
"""

import math
from typing import Final

from gentianpulley.cluster.worker import Charge, Worker

OVER_SHARE: Final = 0.9
"""Smoothed tail as a share of its target from which a task counts as over:
reports are rough, and smoothing lags."""

SAFE_SHARE: Final = 0.75
"""The same below which a task that was over has surely left its target: it may
swing around it for as long as the site's bound."""

SWINGING_SHARE: Final = 0.5
"""Share of the site's bound that a task may swing around its target before its
neighbours rest."""

WAITED_SHARE: Final = 0.25
"""Share of the site's bound that a task may be over before its neighbours
rest. Reports, smoothing and the order take nearly as long again."""

REST_SHARE: Final = 0.3
"""Share of the bound that the rest lasts: three reports, which show whether
the tail was the neighbours' doing."""


def note_level(charge: Charge, level: float, now_ms: int) -> None:
    """Note the smoothed logarithm of a serving task's tail."""
    margin = level - math.log(charge.spec.tail_target_ms)
    charge.is_close = margin > math.log(SAFE_SHARE)
    if margin > math.log(OVER_SHARE):
        charge.over_since_ms = charge.over_since_ms or now_ms
        charge.near_since_ms = charge.near_since_ms or now_ms
        return
    charge.over_since_ms = 0
    if not charge.is_close:
        charge.near_since_ms = 0


def needs_reports(worker: Worker) -> bool:
    """Tell whether a task beside filling ones is close to its target."""
    return worker.filling > 0 and any(
        charge.is_close for charge in worker.charges.values()
    )


def rests(worker: Worker, harm_ms: int, now_ms: int) -> bool:
    """Tell whether the filling tasks of a worker have to rest now."""
    harmed = [
        charge
        for charge in worker.charges.values()
        if _is_harmed(charge, harm_ms, now_ms)
    ]
    for charge in harmed:
        charge.over_since_ms = 0
        charge.near_since_ms = 0
    if harmed:
        worker.rests_until_ms = now_ms + int(REST_SHARE * harm_ms)
    return now_ms < worker.rests_until_ms


def _is_harmed(charge: Charge, harm_ms: int, now_ms: int) -> bool:
    """Tell whether a task was over its target, or swung around it, for long."""
    if 0 < charge.over_since_ms < now_ms - WAITED_SHARE * harm_ms:
        return True
    return 0 < charge.near_since_ms < now_ms - SWINGING_SHARE * harm_ms
