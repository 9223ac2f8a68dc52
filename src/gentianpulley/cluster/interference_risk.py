"""Weighs a filling task's gain against the serving tasks that it may harm.

Answers the pattern of a loaded site on which no worker is free of serving
tasks: what counts is how many of them a further filling task is expected to
push over their targets. One that comes close to its target on a worker of
many is a smaller price than all of them.
"""

import math
from typing import Final

from gentianpulley.cluster.interference import InterferenceModel
from gentianpulley.cluster.pacing import is_serving
from gentianpulley.cluster.worker import (
    FULL_PERCENT,
    Reservation,
    ServingMargin,
    Worker,
)

LOG_TAIL_STD_DEV: Final = 0.35
"""Standard deviation of the logarithm of a tail around its expectation: the
load of serving tasks swings by half within seconds."""

MAX_EXPECTED_VIOLATIONS: Final = 0.4
"""Serving tasks that one filling task may be expected to push over target. A
harmed one costs four times what it earns, and earns about half as much a
second as a filling task."""

MAX_TAIL_SHARE: Final = 0.85
"""Expected tail as a share of its target that no placing may pass, as pacing
would slow the task down at once."""


_CERTAIN_MARGIN: Final = math.log(MAX_TAIL_SHARE)
_SCALE: Final = LOG_TAIL_STD_DEV * math.sqrt(2)


def is_interference_excessive(
    worker: Worker, model: InterferenceModel, image: str, processors: int
) -> bool:
    """Tell whether a further filling task costs more than it is worth.

    What the worker's tasks are expected to do without it is worked out once
    until the worker changes, and so is which images harm too much.
    """
    smallest = worker.interference_limits_milli.get(image)
    if smallest is not None and processors >= smallest:
        return True
    if worker.serving_margins is None:
        worker.serving_margins = _margins(worker, model)
    capacity = max(1, worker.registration.capacity.processors_milli)
    share = processors / capacity
    if not _is_harmful(worker.serving_margins, model, image, share):
        return False
    worker.interference_limits_milli[image] = processors
    return True


def _is_harmful(
    margins: list[ServingMargin],
    model: InterferenceModel,
    image: str,
    share: float,
) -> bool:
    """Tell whether an image's share of a worker pushes tails too far."""
    harmed: float = 0
    for serving in margins:
        after = serving.margin + share * model.coefficient(serving.image, image)
        if after > _CERTAIN_MARGIN:
            return True
        harmed += _risk(after) - serving.risk
    return harmed > MAX_EXPECTED_VIOLATIONS


def _margins(worker: Worker, model: InterferenceModel) -> list[ServingMargin]:
    """Return how far each serving task is expected to be from its target."""
    shares = _placed_shares(worker)
    serving = [
        charge for charge in worker.reservations.values() if is_serving(charge)
    ]
    # Few images serve on a worker, each with several tasks.
    images = {charge.spec.image for charge in serving}
    expected = {name: model.predict(name, shares) for name in images}
    return [_margin_of(charge, expected) for charge in serving]


def _margin_of(
    charge: Reservation, expected: dict[str, float]
) -> ServingMargin:
    image = charge.spec.image
    shift = charge.log_tail_bias - math.log(charge.spec.tail_target_ms)
    margin = expected[image] + shift
    return ServingMargin(image, margin, _risk(margin))


def _risk(margin: float) -> float:
    """Return the probability that a tail is over its target."""
    above = math.erf(margin / _SCALE)
    return (1 + above) / 2


def _placed_shares(worker: Worker) -> dict[str, float]:
    """Return what filling tasks are meant to use, by image."""
    capacity = max(1, worker.registration.capacity.processors_milli)
    shares: dict[str, float] = {}
    for charge in worker.reservations.values():
        if charge.spec.fills_spare:
            image = charge.spec.image
            need = charge.spec.resources.processors_milli
            used = need * charge.target_speed_percent / FULL_PERCENT
            shares[image] = shares.get(image, 0) + used / capacity
    return shares
