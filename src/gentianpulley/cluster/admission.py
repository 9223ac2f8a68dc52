"""Decides which new jobs are refused because they would end too late.

Handles a load that exceeds the capacity for longer than jobs are of use. A job
accepted then takes the caller's time and never helps it; a refusal tells the
caller at once when to come back. The leader closes and opens queues by what it
measures, and an entry instance decides for each job of a closed queue by the
job's own objective. Neither does any input or output.
"""

import zlib
from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass
from types import MappingProxyType
from typing import Final

from gentianpulley.cluster.delay_cost import MAX_LATENESS_FACTOR
from gentianpulley.cluster.load_digest import ClosedQueue
from gentianpulley.deadline import MS_PER_SECOND
from gentianpulley.jobs.spec import JobSpec

MIN_CLOSABLE_PRIORITY: Final = 1
"""Queues with priority 0 never close: their work goes before all other."""

MIN_OVERLOAD_MS: Final = 1000
"""How long the expected wait must exceed the limit without interruption, so
that one late listing or one slow plan closes nothing."""

OPEN_FRACTION: Final = 0.5
"""A queue opens below this fraction of its limit. Jobs that were refused come
back then, and the queue must take some of them before it closes again."""

MAX_RETRY_AFTER_S: Final = 30
"""Callers come back at least this often, as capacity may come back sooner than
expected."""

MAX_BASE_RETRY_S: Final = MAX_RETRY_AFTER_S / 2
"""Limit of the delay before it is spread over as long again. With a limit on
the sum alone, all callers of a long burst would come back at the same time."""

HASH_RANGE: Final = 0x100000000
"""Number of possible hashes of a job id."""

_NONE_CLOSED: Final[Mapping[str, ClosedQueue]] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """What a leader measures of one queue that has waiting jobs.

    A new job is expected to start after `wait_ms`, None if nothing shows it. It
    is of use if it starts within `limit_ms`. `oldest_ms` is how long one of the
    jobs that have not started has waited. `ended_jobs` counts lately ended
    jobs. `is_blocked` means that the latest plan has tried the queue's waiting
    tasks and found no worker for any of them; the least of them needs
    `blocked_milli`.
    """

    queue: str
    wait_ms: int | None
    limit_ms: int
    oldest_ms: int
    waiting_jobs: int
    ended_jobs: int
    is_blocked: bool
    blocked_milli: int = 0

    @property
    def open_below_ms(self) -> int:
        """Return the expected wait below which the queue opens."""
        return int(self.limit_ms * OPEN_FRACTION)

    @property
    def is_hopeless(self) -> bool:
        """Return whether a new job is certain to end too late."""
        if self.wait_ms is None or not self.is_blocked:
            return False
        if self.waiting_jobs < self.ended_jobs:
            return False
        return min(self.wait_ms, self.oldest_ms) > self.limit_ms


@dataclass(frozen=True, slots=True)
class QueueChange:
    """A queue that closes or opens; `load` is None if no job of it waits."""

    queue: str
    is_closed: bool
    load: QueueLoad | None


class QueueAdmission:
    """Which queues are closed, decided anew with each measurement."""

    def __init__(self) -> None:
        """Start with all queues open, as a new leader has measured nothing."""
        self.closed: Mapping[str, ClosedQueue] = _NONE_CLOSED
        self._hopeless_since_ms: Mapping[str, int] = {}

    def update(
        self, loads: Iterable[QueueLoad], now_ms: int
    ) -> list[QueueChange]:
        """Close and open queues; a queue without a load has none waiting."""
        by_queue = {load.queue: load for load in loads}
        self._hopeless_since_ms = {
            queue: self._hopeless_since_ms.get(queue, now_ms)
            for queue, load in by_queue.items()
            if load.is_hopeless
        }
        previous = self.closed
        self.closed = {
            queue: _closed_queue(load, previous.get(queue))
            for queue, load in by_queue.items()
            if self._is_closed(load, now_ms)
        }
        return [
            QueueChange(queue, queue in self.closed, by_queue.get(queue))
            for queue in sorted(previous.keys() ^ self.closed.keys())
        ]

    def _is_closed(self, load: QueueLoad, now_ms: int) -> bool:
        if load.queue in self.closed:
            return load.wait_ms is None or load.wait_ms >= load.open_below_ms
        since_ms = self._hopeless_since_ms.get(load.queue, now_ms)
        return now_ms - since_ms > MIN_OVERLOAD_MS


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a job is refused: it would start after `delay_ms`.

    It would be of use only if it started within `limit_ms`.
    """

    delay_ms: int
    limit_ms: int
    retry_after_s: int

    def fields(self) -> dict[str, int]:
        """Return the refusal as the fields of a log line."""
        return asdict(self)


class AdmissionGate(ABC):
    """Decides for an entry instance whether a new job is refused."""

    @abstractmethod
    def refusal(self, spec: JobSpec) -> Refusal | None:
        """Return why a job is refused, None if it is accepted."""


def is_refusable(spec: JobSpec) -> bool:
    """Return whether jobs of this kind may be refused because of load.

    A long-running job has no end that could be late, and a scheduled one runs
    later, when the load is another.
    """
    return (
        spec.policy.priority >= MIN_CLOSABLE_PRIORITY
        and not spec.schedule.occurrences
        and not spec.is_endless()
    )


def useful_wait_ms(allowed_ms: int, critical_path_ms: int) -> int:
    """Return how long a job may wait and still be of use.

    It is on time within `allowed_ms` of its submission.
    """
    return max(0, MAX_LATENESS_FACTOR * allowed_ms - critical_path_ms)


def find_refusal(spec: JobSpec, closed: ClosedQueue | None) -> Refusal | None:
    """Return why a job is refused while its queue is closed, if it is."""
    if closed is None or not is_refusable(spec):
        return None
    allowed_ms = spec.objective_ms() - spec.release_ms(0)
    limit_ms = useful_wait_ms(allowed_ms, spec.critical_path_ms())
    if closed.delay_ms <= limit_ms or _may_fit(spec, closed):
        return None
    retry_after_s = retry_delay_s(spec.job_id, closed.free_in_ms)
    return Refusal(closed.delay_ms, limit_ms, retry_after_s)


def _may_fit(spec: JobSpec, closed: ClosedQueue) -> bool:
    """Return whether first tasks need less than all that wait."""
    needs_milli = [
        step.resources.processors_milli for step in spec.steps if not step.after
    ]
    return max(needs_milli) < closed.blocked_milli


def retry_delay_s(job_id: str, free_in_ms: int) -> int:
    """Return when a caller should come back, spread by the job's id."""
    base_s = min(free_in_ms / MS_PER_SECOND, MAX_BASE_RETRY_S)
    spread = zlib.crc32(job_id.encode()) / HASH_RANGE
    return max(1, min(MAX_RETRY_AFTER_S, round(base_s * (1 + spread))))


def _closed_queue(load: QueueLoad, previous: ClosedQueue | None) -> ClosedQueue:
    """Return what instances are told; the previous, if nothing is known."""
    if load.wait_ms is None:
        return previous or ClosedQueue(load.limit_ms, load.limit_ms)
    free_in_ms = max(0, load.wait_ms - load.open_below_ms)
    return ClosedQueue(load.wait_ms, free_in_ms, load.blocked_milli)
