"""Lease arithmetic: how long a lease is given, and when it is surely over.

All lengths follow from the bounds in the settings. A worker measures its
lease on its own steady clock, which may be slow by `CLOCK_DRIFT`.
"""

from dataclasses import dataclass
from typing import Final

CLOCK_DRIFT: Final = 0.02
"""Largest share by which a worker's clock is slow; the platform's promise."""

LEASE_EXPIRY_MARGIN_MS: Final = 100
"""Added before a lease counts as over: rounding of clocks on both sides."""

LEADER_TTL_S: Final = 2
"""Lease of the leader's key. Two missed renewals and a slow answer of the
store fit in; the store takes no less than a second."""

DEFAULT_INTERFERENCE_BOUND_MS: Final = 4000
"""Bound on harm where the settings name none: that of all known sites."""

RENEWALS_PER_TTL: Final = 4
"""Renewals of the leader's key within its lease."""


@dataclass(frozen=True, slots=True)
class Timing:
    """Lengths in milliseconds.

    `lease_ms` is what each order gives a worker, and `max_lease_ms` the most
    that a worker takes. `leadership_ms` is how long a leader gives orders after
    the last renewal that it sent and that was answered. A run that resumes
    works from `restore_ms` on, and `interference_bound_ms` is the longest that
    a serving task may be over its target by others' doing.
    """

    lease_ms: int
    max_lease_ms: int
    leadership_ms: int
    stop_ms: int
    poll_wait_ms: int
    restore_ms: int = 0
    interference_bound_ms: int = DEFAULT_INTERFERENCE_BOUND_MS

    @property
    def max_run_ms(self) -> int:
        """Return how long a start may let its run go on, at any life.

        A worker that was born anew measures the lease on another clock, and
        shortens it to the site's bound.
        """
        return (
            int(self.max_lease_ms / (1 - CLOCK_DRIFT)) + LEASE_EXPIRY_MARGIN_MS
        )

    @property
    def max_response_margin_ms(self) -> int:
        """Return how late an answer of a worker is waited for at most.

        A look that is given up after this, and a next one that is answered at
        this delay, still renew the lease before it runs out.
        """
        return (self.lease_ms - self.poll_wait_ms) // 2 - LEASE_EXPIRY_MARGIN_MS

    @property
    def handover_ms(self) -> int:
        """Return after how long a former leader's leases are all over.

        Its last order is sent at the end of its tenure and gives one more
        lease, measured on a clock that may be slow.
        """
        lasting = (self.leadership_ms + self.lease_ms) / (1 - CLOCK_DRIFT)
        return int(lasting) + LEASE_EXPIRY_MARGIN_MS


def create_timing(
    max_lease_ms: int,
    contact_ms: int,
    stop_ms: int,
    poll_wait_ms: int,
    restore_ms: int = 0,
    interference_bound_ms: int = DEFAULT_INTERFERENCE_BOUND_MS,
) -> Timing:
    """Derive the lengths from the site's bounds.

    A lease has to outlast the time in which a dead leader is replaced, which
    is the lease of its key and as much again to load and to fence; more would
    only delay the restart of what ran on a lost worker.
    """
    replaced_ms = 2 * LEADER_TTL_S * 1000
    lease_ms = min(max_lease_ms, max(replaced_ms, contact_ms) + poll_wait_ms)
    return Timing(
        lease_ms=lease_ms,
        max_lease_ms=max_lease_ms,
        leadership_ms=max(contact_ms, replaced_ms),
        stop_ms=stop_ms,
        poll_wait_ms=poll_wait_ms,
        restore_ms=restore_ms,
        interference_bound_ms=interference_bound_ms,
    )


@dataclass(slots=True)
class WorkerClock:
    """What is known of a worker's clock and of the lease it was given.

    `lease_deadline_worker_ms` is the latest lease ever sent, answered or not.
    """

    seen_worker_ms: int = 0
    seen_at_ms: int = 0
    lease_deadline_worker_ms: int = 0

    def update(self, clock_worker_ms: int, received_ms: int) -> None:
        """Note a time that the worker told; older answers change nothing."""
        if clock_worker_ms >= self.seen_worker_ms:
            self.seen_worker_ms = clock_worker_ms
            self.seen_at_ms = received_ms

    def next_lease(self, lease_ms: int) -> int:
        """Return the deadline of a lease, on the worker's clock.

        It counts from the last time that the worker told, so that orders
        without an answer prolong nothing.
        """
        if not self.seen_at_ms:
            return 0
        ahead = self.seen_worker_ms + lease_ms
        self.lease_deadline_worker_ms = max(
            self.lease_deadline_worker_ms, ahead
        )
        return ahead

    def lease_expiry_ms(self) -> int:
        """Return when every lease that was given is surely over."""
        left_worker_ms = self.lease_deadline_worker_ms - self.seen_worker_ms
        left_ms = (left_worker_ms + LEASE_EXPIRY_MARGIN_MS) / (1 - CLOCK_DRIFT)
        return self.seen_at_ms + int(left_ms) + 1

    def has_lease_expired(self, now_ms: int) -> bool:
        """Return whether every lease that was given is surely over."""
        if not self.seen_at_ms:
            return False
        elapsed = (now_ms - self.seen_at_ms) * (1 - CLOCK_DRIFT)
        earliest = self.seen_worker_ms + elapsed
        return earliest > self.lease_deadline_worker_ms + LEASE_EXPIRY_MARGIN_MS
