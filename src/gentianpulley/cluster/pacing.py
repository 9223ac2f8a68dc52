"""Slows down filling tasks where serving tasks would miss their targets.

Answers the pattern in which a harmful neighbour arrives, or a serving task's
load rises, on a worker that was quiet: the fastest paces that keep every
expected tail under its target are computed anew at each look. Harming a
serving task costs many times what a filling task earns meanwhile. But a step
ends with its slowest task, so one that is slowed down makes a whole wide job
late: tasks of jobs that are late already give way first.
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
from gentianpulley.cluster.worker import FULL_PERCENT, Reservation, Worker

ALLOWED_TAIL_SHARE: Final = 0.75
"""Expected tail as a share of its target that is allowed: the figures are
rough and half a second late."""

BIAS_EWMA_WEIGHT: Final = 0.35
"""Weight of the newest report in a serving task's deviation from the model."""

MAX_BIAS: Final = 1.5
"""Bound on that deviation, in units of the logarithm."""

REPORT_LAG_MS: Final = 600
"""Age from which a filling task shows in reports, which lag half a second."""

MIN_SAMPLE_INTERVAL_MS: Final = 400
"""Shortest time between two samples of one worker: reports cover as much."""

OBSERVATIONS_PER_SAMPLE: Final = 4
"""Serving tasks of a sample from which the model learns; each costs some ten
microseconds for each image squared."""

MIN_CHANGE_PERCENT: Final = 8
"""Smaller changes of pace, in percent, are not worth an order."""

MIN_RUNNING_PERCENT: Final = 8
"""Below this pace a filling task stands still."""


class _Harms(NamedTuple):
    """What an image's tails are expected to be on one worker.

    `quiet_level` is the logarithm of a tail that nobody raises, `by_run` how
    much each filling task raises it at full pace.
    """

    quiet_level: float
    by_run: dict[RunKey, float]


def update_model(worker: Worker, model: InterferenceModel, now_ms: int) -> bool:
    """Learn from a worker's newest reports; returns whether it was time to.

    The model learns from a few tasks of each sample, in turn.
    """
    if now_ms < worker.sampled_ms + MIN_SAMPLE_INTERVAL_MS:
        return False
    worker.sampled_ms = now_ms
    worker.invalidate_margins()
    shares = _used_shares(worker, now_ms)
    serving = [
        charge
        for charge in worker.reservations.values()
        if is_serving(charge)
        and charge.measured_ms == now_ms
        and charge.measurement > 0
    ]
    expected = {
        image: model.predict(image, shares) for image in _images(serving)
    }
    for charge in serving:
        level = expected[charge.spec.image]
        _note_bias(charge, level)
        track_violation(charge, level + charge.log_tail_bias, now_ms)
    for charge in random.sample(
        serving, min(OBSERVATIONS_PER_SAMPLE, len(serving))
    ):
        if model.admit_report(now_ms):
            model.observe(charge.spec.image, charge.measurement, shares)
    return True


def pace_orders(
    worker: Worker, model: InterferenceModel, harm_ms: int, now_ms: int
) -> list[PaceOrder]:
    """Return the changes of pace that the expected tails ask for.

    `harm_ms` is the site's bound on how long a serving task may be harmed.
    """
    filling = [
        charge
        for charge in worker.reservations.values()
        if charge.spec.fills_spare and charge.confirmed_ms
    ]
    if not filling:
        return []
    fastest: float = 0 if update_suspension(worker, harm_ms, now_ms) else 1
    paces = _safe_paces(worker, model, filling, fastest, now_ms)
    return _changes(worker, filling, paces, now_ms)


def _changes(
    worker: Worker,
    filling: list[Reservation],
    paces: dict[RunKey, float],
    now_ms: int,
) -> list[PaceOrder]:
    """Note the paces that are wanted; returns what is worth an order."""
    orders = []
    for charge in filling:
        wanted = _rounded(paces[charge.key])
        charge.set_target_speed(wanted, now_ms)
        if _is_worth_an_order(charge.speed_percent, wanted):
            orders.append(PaceOrder(worker.worker_id, charge.key, wanted))
    return orders


def _images(serving: list[Reservation]) -> set[str]:
    """Return the images of tasks: few on a worker, each with several."""
    return {charge.spec.image for charge in serving}


def _note_bias(charge: Reservation, expected: float) -> None:
    deviation = math.log(charge.measurement) - expected
    mixed = charge.log_tail_bias + BIAS_EWMA_WEIGHT * (
        deviation - charge.log_tail_bias
    )
    charge.log_tail_bias = max(-MAX_BIAS, min(MAX_BIAS, mixed))


def _safe_paces(
    worker: Worker,
    model: InterferenceModel,
    filling: list[Reservation],
    fastest: float,
    now_ms: int,
) -> dict[RunKey, float]:
    """Return the paces at which every serving task is safe."""
    paces = {charge.key: fastest for charge in filling}
    urgent = {charge.key for charge in filling if charge.can_be_on_time(now_ms)}
    serving = list(filter(is_serving, worker.reservations.values()))
    harms = {
        image: _harms(worker, model, image, filling)
        for image in _images(serving)
    }
    for charge in serving:
        _slow_down(charge, harms[charge.spec.image], paces, urgent)
    return paces


def _slow_down(
    serving: Reservation,
    harms: _Harms,
    paces: dict[RunKey, float],
    urgent: set[RunKey],
) -> None:
    """Lower paces until the serving task is safe.

    The most harmful first, but those that are not urgent before all others.
    """
    by_run = harms.by_run
    excess = harms.quiet_level + serving.log_tail_bias
    excess += sum(by_run[key] * paces[key] for key in by_run)
    excess -= math.log(ALLOWED_TAIL_SHARE * serving.spec.tail_target_ms)
    if excess <= 0:
        return
    in_turn = sorted(by_run, key=by_run.__getitem__, reverse=True)
    in_turn.sort(key=urgent.__contains__)
    for key in in_turn:
        given = by_run[key] * paces[key]
        cut = min(given, excess)
        if cut > 0:
            paces[key] *= 1 - cut / given
            excess -= cut


def _harms(
    worker: Worker,
    model: InterferenceModel,
    image: str,
    filling: list[Reservation],
) -> _Harms:
    """Return how much each filling task raises an image's tails."""
    capacity = max(1, worker.registration.capacity.processors_milli)
    by_run: dict[RunKey, float] = {}
    for charge in filling:
        need = charge.spec.resources.processors_milli
        harm = model.coefficient(image, charge.spec.image)
        by_run[charge.key] = harm * need / capacity
    return _Harms(model.predict(image, {}), by_run)


def is_serving(charge: Reservation) -> bool:
    return charge.spec.tail_target_ms > 0 and charge.measured_ms > 0


def _used_shares(worker: Worker, now_ms: int) -> dict[str, float]:
    capacity = max(1, worker.registration.capacity.processors_milli)
    shares: dict[str, float] = {}
    for charge in worker.reservations.values():
        is_seen = now_ms - charge.sent_ms > REPORT_LAG_MS
        if charge.spec.fills_spare and is_seen:
            image = charge.spec.image
            shares[image] = shares.get(image, 0) + charge.measurement / capacity
    return shares


def _rounded(pace: float) -> int:
    percent = round(pace * FULL_PERCENT)
    return percent if percent >= MIN_RUNNING_PERCENT else 0


def _is_worth_an_order(percent: int, wanted: int) -> bool:
    if percent == wanted:
        return False
    if wanted in {0, FULL_PERCENT}:
        return True
    return abs(wanted - percent) >= MIN_CHANGE_PERCENT
