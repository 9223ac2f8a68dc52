"""Slows down filling tasks where a serving task's latency tail suffers.

Answers the pattern of harm that differs by pair of images and shifts with
load: cut fast when a tail nears its target, give back slowly, never above
what was seen to be harmless a moment ago.
"""

from typing import Final

from gentianpulley.cluster.link import PaceOrder
from gentianpulley.cluster.worker import FULL_PERCENT, Charge, Worker

PRESSED_SHARE: Final = 0.8
"""Tail as a share of its target above which filling tasks are slowed."""

CALM_SHARE: Final = 0.55
"""Tail as a share of its target below which they are sped up again."""

CUT_FACTOR: Final = 0.5
"""Each look with a pressed tail halves the pace: the reports are late by half
a second and the site allows a few seconds in all."""

STEP_UP_PERCENT: Final = 15
"""Pace given back for each calm look."""

LOWEST_PERCENT: Final = 5
"""Below this a filling task stands still."""


def pace_orders(worker: Worker) -> list[PaceOrder]:
    """Return the changes of pace that the last look asks for."""
    serving, filling = _sorted_charges(worker)
    if not filling:
        return []
    pressure = max((_pressure(charge) for charge in serving), default=0)
    orders = []
    for charge in filling:
        wanted = _next_percent(charge.wanted_percent, pressure)
        charge.wanted_percent = wanted
        if wanted != charge.percent:
            orders.append(PaceOrder(worker.worker_id, charge.key, wanted))
    return orders


def _sorted_charges(worker: Worker) -> tuple[list[Charge], list[Charge]]:
    serving = []
    filling = []
    for charge in worker.charges.values():
        if charge.spec.fills_spare and charge.settled_ms:
            filling.append(charge)
        elif charge.spec.tail_target_ms and charge.gauge_ms:
            serving.append(charge)
    return serving, filling


def _pressure(charge: Charge) -> float:
    return charge.gauge / charge.spec.tail_target_ms


def _next_percent(percent: int, pressure: float) -> int:
    if pressure > PRESSED_SHARE:
        cut = int(percent * CUT_FACTOR)
        return cut if cut >= LOWEST_PERCENT else 0
    if pressure < CALM_SHARE:
        return min(FULL_PERCENT, percent + STEP_UP_PERCENT)
    return percent
