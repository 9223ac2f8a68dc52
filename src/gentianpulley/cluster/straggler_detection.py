"""Finds stragglers (slow or stalled workers) by the progress of their runs.

Handles workers that accept all work and reply to every poll, but work at a
fraction of their speed or not at all. Their heartbeats are good, so only the
listed progress shows the failure. A suspected worker gets new work last; a run
that would end later there than after a restart elsewhere is stopped.
"""

from typing import Final

from gentianpulley.cluster.worker import FULL_PERCENT, Reservation, Worker

SLOW_SPEED_SHARE: Final = 0.4
"""Fraction of the expected speed below which a run counts as slow. Estimates of
run times are accurate within a fifth, and run times differ by a third within a
step."""

MIN_SLOW_RUN_SHARE: Final = 0.6
"""Minimum fraction of slow runs among the measured runs of a slow worker."""

MIN_SAMPLE_MS: Final = 800
"""Minimum age of a measured run. A younger one is inconclusive, as its start
and the wait for its first poll are part of that time."""

STALL_TIMEOUT_MS: Final = 1500
"""Time without any progress after which a run counts as stalled, unless the run
is so long that a hundredth of it takes longer."""

SUSPICION_MS: Final = 2000
"""Time for which a worker is suspected after the last conclusive measurement;
then it is tried again. Such failures last some seconds."""

RESTART_COST_FACTOR: Final = 1.3
"""A run is worth stopping if its remaining time exceeds this multiple of its
whole estimate. A restart costs a round of polls and may hit another slow
worker."""

STALL_PROGRESS_PERCENT: Final = 3
"""Percentage of its estimate within which a run has to progress once."""


def record_progress(
    reservation: Reservation, progress_percent: int, now_ms: int
) -> None:
    """Record the progress that a worker listed for a run."""
    is_first = not reservation.last_progress_ms
    if is_first or progress_percent != reservation.progress_percent:
        reservation.last_progress_ms = now_ms
    reservation.progress_percent = progress_percent


def find_stragglers(worker: Worker, now_ms: int) -> list[Reservation]:
    """Mark a worker as suspected if slow; returns runs worth stopping.

    A worker is slow if most of its measured runs are. A single run may take
    longer than its caller estimated.
    """
    measured = [
        reservation
        for reservation in worker.reservations.values()
        if _is_measured(reservation, now_ms)
    ]
    slow = [
        reservation for reservation in measured if _is_slow(reservation, now_ms)
    ]
    if not slow or len(slow) < MIN_SLOW_RUN_SHARE * len(measured):
        return []
    worker.suspect_until_ms = now_ms + SUSPICION_MS
    return [
        reservation
        for reservation in slow
        if _is_worth_stopping(reservation, now_ms)
    ]


def _is_measured(reservation: Reservation, now_ms: int) -> bool:
    """Return whether a run is batch work that has had time to progress."""
    spec = reservation.spec
    if spec.is_endless or spec.is_gang or reservation.is_stopping:
        return False
    if not reservation.is_listed or spec.estimated_ms <= 0:
        return False
    return now_ms - reservation.confirmed_ms >= MIN_SAMPLE_MS


def _is_slow(reservation: Reservation, now_ms: int) -> bool:
    return (
        _is_stalled(reservation, now_ms)
        or _speed(reservation, now_ms) < SLOW_SPEED_SHARE
    )


def _is_stalled(reservation: Reservation, now_ms: int) -> bool:
    """Return whether a run that has processors makes no progress at all."""
    if _expected_share(reservation) <= 0:
        return False
    step_ms = (
        reservation.spec.estimated_ms * STALL_PROGRESS_PERCENT / FULL_PERCENT
    )
    timeout_ms = max(STALL_TIMEOUT_MS, step_ms / _expected_share(reservation))
    return now_ms - reservation.last_progress_ms > timeout_ms


def _speed(reservation: Reservation, now_ms: int) -> float:
    """Return the speed of a run, as a fraction of its expected speed.

    A best-effort task is expected to progress in proportion to the processors
    that are left to it.
    """
    worked_ms = (now_ms - reservation.confirmed_ms) * _expected_share(
        reservation
    )
    if worked_ms < MIN_SAMPLE_MS:
        return 1
    done_ms = (
        reservation.spec.estimated_ms
        * reservation.progress_percent
        / FULL_PERCENT
    )
    return done_ms / worked_ms


def _expected_share(reservation: Reservation) -> float:
    """Return the fraction of its processors that a run is expected to get."""
    if not reservation.spec.fills_spare:
        return 1
    need = max(1, reservation.spec.resources.processors_milli)
    return min(1, reservation.measurement / need)


def _is_worth_stopping(reservation: Reservation, now_ms: int) -> bool:
    """Return whether a run would end sooner after a restart elsewhere.

    Best-effort tasks stay unless they are stalled: when they are slow because
    they crowd a worker, they are no faster on others.
    """
    if _is_stalled(reservation, now_ms):
        return True
    if reservation.spec.fills_spare:
        return False
    left = FULL_PERCENT - reservation.progress_percent
    speed = max(_speed(reservation, now_ms), 1 / FULL_PERCENT)
    left_ms = reservation.spec.estimated_ms * left / FULL_PERCENT / speed
    return left_ms > RESTART_COST_FACTOR * reservation.spec.estimated_ms
