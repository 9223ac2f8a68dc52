"""Finds workers that are slow or stand still, by the progress of their runs.

Answers the pattern of workers that take all work and answer every look, but
work at a fraction of their speed or not at all: their heartbeats are good, so
only the listed progress tells. A suspect worker gets new work last; a run
that would end later there than anew elsewhere is stopped.
"""

from typing import Final

from gentianpulley.cluster.worker import FULL_PERCENT, Reservation, Worker

SLOW_SPEED_SHARE: Final = 0.4
"""Share of the expected speed below which a run proves a worker slow: run
times are estimated within a fifth and differ by a third within a step."""

MIN_SLOW_RUN_SHARE: Final = 0.6
"""Share of a worker's measured runs that are slow on a slow worker."""

MIN_SAMPLE_MS: Final = 800
"""A younger run proves nothing: its first look and its start are in it."""

STALL_TIMEOUT_MS: Final = 1500
"""Without any progress for so long a run stands still, unless it is so long
that a hundredth of it takes longer."""

SUSPICION_MS: Final = 2000
"""How long a worker is suspect after the last proof; then it is tried again.
Such faults last some seconds."""

RESTART_COST_FACTOR: Final = 1.3
"""A run is worth stopping if it would last so many times its whole estimate
from now on: to start anew costs a round of looks and may meet another."""

STALL_PROGRESS_PERCENT: Final = 3
"""Hundredths of its estimate in which a run has to progress once."""


def record_progress(
    charge: Reservation, progress_percent: int, now_ms: int
) -> None:
    """Note what a worker listed of a run."""
    is_first = not charge.last_progress_ms
    if is_first or progress_percent != charge.progress_percent:
        charge.last_progress_ms = now_ms
    charge.progress_percent = progress_percent


def find_stragglers(worker: Worker, now_ms: int) -> list[Reservation]:
    """Mark a worker as suspect if it is slow; returns runs worth stopping.

    A worker is slow if most of its measured runs are: one alone may take
    longer than its caller estimated.
    """
    measured = [
        charge
        for charge in worker.reservations.values()
        if _is_measured(charge, now_ms)
    ]
    slow = [charge for charge in measured if _is_slow(charge, now_ms)]
    if not slow or len(slow) < MIN_SLOW_RUN_SHARE * len(measured):
        return []
    worker.suspect_until_ms = now_ms + SUSPICION_MS
    return [charge for charge in slow if _is_worth_stopping(charge, now_ms)]


def _is_measured(charge: Reservation, now_ms: int) -> bool:
    """Tell whether a run is batch work that has had time to progress."""
    spec = charge.spec
    if spec.is_endless or spec.is_gang or charge.is_stopping:
        return False
    if not charge.is_listed or spec.estimated_ms <= 0:
        return False
    return now_ms - charge.confirmed_ms >= MIN_SAMPLE_MS


def _is_slow(charge: Reservation, now_ms: int) -> bool:
    return (
        _is_stalled(charge, now_ms) or _speed(charge, now_ms) < SLOW_SPEED_SHARE
    )


def _is_stalled(charge: Reservation, now_ms: int) -> bool:
    """Tell whether a run that may work makes no progress at all."""
    if _share(charge) <= 0:
        return False
    step_ms = charge.spec.estimated_ms * STALL_PROGRESS_PERCENT / FULL_PERCENT
    bound_ms = max(STALL_TIMEOUT_MS, step_ms / _share(charge))
    return now_ms - charge.last_progress_ms > bound_ms


def _speed(charge: Reservation, now_ms: int) -> float:
    """Return the speed of a run, as a share of what is expected.

    A filling task is expected to work at the share that it is left.
    """
    worked_ms = (now_ms - charge.confirmed_ms) * _share(charge)
    if worked_ms < MIN_SAMPLE_MS:
        return 1
    done_ms = charge.spec.estimated_ms * charge.progress_percent / FULL_PERCENT
    return done_ms / worked_ms


def _share(charge: Reservation) -> float:
    """Return the share of its processors that a run is expected to get."""
    if not charge.spec.fills_spare:
        return 1
    need = max(1, charge.spec.resources.processors_milli)
    return min(1, charge.measurement / need)


def _is_worth_stopping(charge: Reservation, now_ms: int) -> bool:
    """Tell whether a run would end sooner anew elsewhere.

    Filling tasks stay unless they stand still: where they crowd, others are
    no faster.
    """
    if _is_stalled(charge, now_ms):
        return True
    if charge.spec.fills_spare:
        return False
    left = FULL_PERCENT - charge.progress_percent
    speed = max(_speed(charge, now_ms), 1 / FULL_PERCENT)
    left_ms = charge.spec.estimated_ms * left / FULL_PERCENT / speed
    return left_ms > RESTART_COST_FACTOR * charge.spec.estimated_ms
