"""Lease arithmetic: how long a lease lasts, and when it has certainly expired.

All durations are derived from the limits in the settings. A worker measures
its lease on its own monotonic clock, which may be slow by `CLOCK_DRIFT`.
"""

import sys
from dataclasses import dataclass
from typing import Final

FOREVER: Final = sys.maxsize

MAX_ORDER_DELAY_MS: Final = 12_500
"""How long an order without a reply may still arrive: the platform's workers
carry out such orders up to twelve seconds later."""

MAX_START_DELAY_MS: Final = 2000
"""How long after it was sent a worker may carry out a start. A capacity that
has shrunk counts `contact_ms` and a heartbeat later, and the leader learns of
it within a heartbeat."""

CLOCK_DRIFT: Final = 0.02
"""Maximum fraction by which a worker's clock is slow, as the platform
guarantees."""

LEASE_EXPIRY_MARGIN_MS: Final = 100
"""Margin before a lease counts as expired: both sides round their clocks."""

LEADER_TTL_S: Final = 2
"""Lease of the leader's key. It allows for two missed renewals and a slow
response of the store; the store accepts no less than a second."""

DEFAULT_INTERFERENCE_BOUND_MS: Final = 4000
"""Limit on interference if the settings have none: that of all known
clusters."""

RENEWALS_PER_TTL: Final = 4
"""Renewals of the leader's key within its lease."""


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations in milliseconds.

    `lease_ms` is the lease that each order grants a worker, and `max_lease_ms`
    the maximum that a worker accepts. `leadership_ms` is how long a leader
    gives orders after sending the last renewal that was answered. A run that
    resumes from a checkpoint makes progress from `restore_ms` on, and
    `interference_bound_ms` is the maximum time for which a latency-critical
    task may be over its target because of other tasks.
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
        """Return how long after a start its run may last, in any incarnation.

        A restarted worker measures the lease on another clock, and shortens it
        to the cluster's limit.
        """
        return (
            int(self.max_lease_ms / (1 - CLOCK_DRIFT)) + LEASE_EXPIRY_MARGIN_MS
        )

    @property
    def max_response_margin_ms(self) -> int:
        """Return the maximum delay for which a worker's response is awaited.

        If a poll is given up after this delay, and the next one is answered
        after this delay, the lease is still renewed before it expires.
        """
        return (self.lease_ms - self.poll_wait_ms) // 2 - LEASE_EXPIRY_MARGIN_MS

    @property
    def final_lease_ms(self) -> int:
        """Return how long the last order of a leader may prolong runs."""
        return int(self.lease_ms / (1 - CLOCK_DRIFT))

    @property
    def handover_ms(self) -> int:
        """Return after how long all leases of a previous leader have expired.

        Its last order is sent at the end of its leadership and grants one more
        lease, measured on a clock that may be slow.
        """
        duration_ms = (self.leadership_ms + self.lease_ms) / (1 - CLOCK_DRIFT)
        return int(duration_ms) + LEASE_EXPIRY_MARGIN_MS


def create_timing(
    max_lease_ms: int,
    contact_ms: int,
    stop_ms: int,
    poll_wait_ms: int,
    restore_ms: int = 0,
    interference_bound_ms: int = DEFAULT_INTERFERENCE_BOUND_MS,
) -> Timing:
    """Derive the durations from the cluster's limits.

    A lease has to outlast the replacement of a dead leader, which takes the
    lease of its key and as much again to load and to fence. A longer lease
    would only delay the restart of what ran on a lost worker.
    """
    replacement_ms = 2 * LEADER_TTL_S * 1000
    lease_ms = min(max_lease_ms, max(replacement_ms, contact_ms) + poll_wait_ms)
    return Timing(
        lease_ms=lease_ms,
        max_lease_ms=max_lease_ms,
        leadership_ms=max(contact_ms, replacement_ms),
        stop_ms=stop_ms,
        poll_wait_ms=poll_wait_ms,
        restore_ms=restore_ms,
        interference_bound_ms=interference_bound_ms,
    )


@dataclass(slots=True)
class WorkerClock:
    """Last time seen on a worker's clock, and the lease granted to the worker.

    `lease_deadline_worker_ms` is the latest lease ever sent, answered or not,
    and `stray_deadline_worker_ms` until when one may last that was sent to an
    earlier incarnation and reached this one; zero if that is not known yet.
    """

    seen_worker_ms: int = 0
    seen_at_ms: int = 0
    lease_deadline_worker_ms: int = 0
    stray_deadline_worker_ms: int = 0

    @property
    def is_known(self) -> bool:
        """Return whether the worker has answered, which tells its time."""
        return self.seen_at_ms > 0

    def update(self, clock_worker_ms: int, received_ms: int) -> None:
        """Record a time that the worker reported, unless it is older."""
        if clock_worker_ms >= self.seen_worker_ms:
            self.seen_worker_ms = clock_worker_ms
            self.seen_at_ms = received_ms

    def next_lease(self, lease_ms: int) -> int:
        """Return the deadline of a lease, on the worker's clock.

        It counts from the last time that the worker reported, so orders
        without a reply do not prolong the lease.
        """
        if not self.seen_at_ms:
            return 0
        deadline_worker_ms = self.seen_worker_ms + lease_ms
        self.lease_deadline_worker_ms = max(
            self.lease_deadline_worker_ms, deadline_worker_ms
        )
        return deadline_worker_ms

    def worker_ms_at(self, at_ms: int) -> int:
        """Return what the worker's clock shows at a time, if it is not slow.

        It may be ahead of that by the time that its last response took.
        """
        return self.seen_worker_ms + at_ms - self.seen_at_ms

    def include_stray_lease(
        self, arrived_worker_ms: int, max_lease_ms: int
    ) -> None:
        """Take a lease into account that was meant for another incarnation.

        Its deadline is one of another clock, so it may be as long as a worker
        accepts, from its arrival on.
        """
        if self.seen_at_ms and not self.stray_deadline_worker_ms:
            arrived_worker_ms = min(arrived_worker_ms, self.seen_worker_ms)
            self.stray_deadline_worker_ms = arrived_worker_ms + max_lease_ms

    @property
    def latest_deadline_worker_ms(self) -> int:
        """Return until when a lease of any sender may last."""
        return max(self.lease_deadline_worker_ms, self.stray_deadline_worker_ms)

    def lease_expiry_ms(self) -> int:
        """Return when every lease granted is certain to have expired."""
        left_worker_ms = self.latest_deadline_worker_ms - self.seen_worker_ms
        left_ms = (left_worker_ms + LEASE_EXPIRY_MARGIN_MS) / (1 - CLOCK_DRIFT)
        return self.seen_at_ms + int(left_ms) + 1

    def has_lease_expired(self, now_ms: int) -> bool:
        """Return whether every lease granted is certain to have expired."""
        if not self.seen_at_ms:
            return False
        elapsed_worker_ms = (now_ms - self.seen_at_ms) * (1 - CLOCK_DRIFT)
        earliest_worker_ms = self.seen_worker_ms + elapsed_worker_ms
        return (
            earliest_worker_ms
            > self.latest_deadline_worker_ms + LEASE_EXPIRY_MARGIN_MS
        )
