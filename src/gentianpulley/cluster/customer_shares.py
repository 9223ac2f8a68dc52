"""The order in which customers with waiting work get starts.

Handles customers that submit more than there is capacity for. Among the steps
of one priority, kind of work and deadline class, the next start goes to the
customer that holds the least per weight. Holding counts now, not in the past:
what one does not use goes to the others, and nobody saves up for later.
"""

import heapq
from collections import deque
from collections.abc import Iterator, Sequence
from functools import partial
from itertools import groupby
from typing import Final, NamedTuple

from gentianpulley.cluster.customer_usage import CustomerUsage
from gentianpulley.cluster.step_ordering import (
    ClassKey,
    TaskGroup,
    class_key,
)
from gentianpulley.jobs.job import Job, StepRun
from gentianpulley.logs import EventLog

BURST_MS: Final = 2000
"""A customer is owed its weight in jobs a second, and what it was owed in this
time at once."""

EXACT_TURNS: Final = 8
"""Number of turns in a class of one plan after which turns get twice as long.
Each ranks the workers again, which takes half a millisecond with 246 of them,
and many starts in one plan mean that there is free capacity for all."""

_MS_PER_SECOND: Final = 1000


class _Turn(NamedTuple):
    """What a customer holds per weight, its place among equals, its name."""

    ratio: float
    place: int
    customer: str


class ArrivalRates:
    """Tells which jobs go beyond what their customers are owed.

    A token bucket for each customer: it holds as many jobs as are owed in
    `BURST_MS`, and is kept as the time at which it would be full again.
    """

    def __init__(self) -> None:
        """Start with full buckets."""
        self._new_jobs: list[Job] = []
        self._full_at_ms: dict[str, float] = {}

    def add_job(self, job: Job) -> None:
        """Add a job; those without a customer are ignored."""
        if job.spec.customer:
            self._new_jobs.append(job)

    def mark_excess(self, usage: CustomerUsage, log: EventLog) -> None:
        """Mark the new jobs that are in excess.

        They count in the order of submission, as a new leader loads them in
        the order of their ids. Of unknown customers none is in excess.
        """
        if not self._new_jobs:
            return
        for job in sorted(self._new_jobs, key=_submitted_ms):
            job.is_excess = not self._takes_token(job, usage)
            if job.is_excess:
                customer = job.spec.customer
                weight = usage.weight_of(customer)
                log.job_in_excess(job.spec.job_id, customer, weight)
        self._new_jobs.clear()

    def _takes_token(self, job: Job, usage: CustomerUsage) -> bool:
        customer = job.spec.customer
        if customer not in usage.customers.by_name:
            return True
        at_ms = job.spec.submitted_ms
        interval_ms = _MS_PER_SECOND / usage.weight_of(customer)
        full_at_ms = self._full_at_ms.get(customer, at_ms)
        next_ms = max(full_at_ms, at_ms) + interval_ms
        if next_ms > at_ms + BURST_MS:
            return False
        self._full_at_ms[customer] = next_ms
        return True


def _submitted_ms(job: Job) -> int:
    return job.spec.submitted_ms


def in_share_order(
    groups: Sequence[TaskGroup], usage: CustomerUsage, now_ms: int
) -> Iterator[TaskGroup]:
    """Yield groups of tasks in the order in which they get starts.

    Each is to be placed before the next one is taken: what was placed counts.
    Groups without a customer keep their places. The others fill the remaining
    places by shares, where a step may be divided.
    """
    if not any(group.step.job.spec.customer for group in groups):
        yield from groups
        return
    for _, members in groupby(groups, key=partial(_class_of, now_ms)):
        yield from _share_places(tuple(members), usage)


def _class_of(now_ms: int, group: TaskGroup) -> ClassKey:
    return class_key(group.step, group.kind, now_ms)


def _share_places(
    members: Sequence[TaskGroup], usage: CustomerUsage
) -> Iterator[TaskGroup]:
    """Yield the groups of one class."""
    customers = {member.step.job.spec.customer for member in members}
    if len(customers - {''}) < 2:
        yield from members
        return
    pools = {
        has_processors: _SharePool(usage, has_processors)
        for has_processors in (True, False)
    }
    places: list[tuple[TaskGroup, _SharePool | None, int]] = []
    for member in members:
        pool = None
        if member.step.job.spec.customer:
            pool = pools[_has_processors(member.step)]
            pool.add(member)
        # The set of indexes shrinks as tasks are placed.
        places.append((member, pool, len(member.indexes)))
    for group, pool, count in places:
        if pool is None:
            yield group
        else:
            yield from pool.take(count)


class _SharePool:
    """The waiting groups of customers in one class.

    Held processors decide for tasks that ask for some, held memory for others.
    """

    def __init__(self, usage: CustomerUsage, has_processors: bool) -> None:
        self._usage = usage
        self._has_processors = has_processors
        self._queues: dict[str, deque[TaskGroup]] = {}
        self._turns: list[_Turn] = []
        self._turn_count = 0

    def add(self, group: TaskGroup) -> None:
        """Add a group; each customer's are added in their order."""
        customer = group.step.job.spec.customer
        queue = self._queues.get(customer)
        if queue is None:
            queue = deque()
            place = len(self._queues)
            self._queues[customer] = queue
            ratio = self._ratio(customer)
            heapq.heappush(self._turns, _Turn(ratio, place, customer))
        queue.append(group)

    def take(self, count: int) -> Iterator[TaskGroup]:
        """Yield groups of as many tasks in all, the next customer's first."""
        left = count
        while left > 0 and self._turns:
            group = self._queues[self._turns[0].customer][0]
            indexes = group.indexes
            waiting_count = len(indexes)
            if waiting_count > 1:
                indexes = self._next_indexes(group, left)
            tried_count = len(indexes)
            yield TaskGroup(group.step, indexes, group.kind)
            if indexes & group.step.waiting:
                # The others of the group would not be placed either.
                left -= waiting_count
                self._end_group()
            else:
                left -= tried_count
                self._record_placed(group)

    def _record_placed(self, group: TaskGroup) -> None:
        """Let the customer of placed tasks wait for its next turn."""
        turn = self._turns[0]
        rest = group.indexes & group.step.waiting
        if rest:
            self._queues[turn.customer][0] = group._replace(indexes=rest)
        else:
            self._end_group()
        if self._queues[turn.customer]:
            ratio = self._ratio(turn.customer)
            heapq.heapreplace(self._turns, turn._replace(ratio=ratio))

    def _end_group(self) -> None:
        """Go on to the next group of the customer whose turn it is."""
        turn = self._turns[0]
        queue = self._queues[turn.customer]
        queue.popleft()
        if not queue:
            heapq.heappop(self._turns)

    def _ratio(self, customer: str) -> float:
        """Return what a customer holds per weight."""
        return self._held(customer) / self._usage.weight_of(customer)

    def _held(self, customer: str) -> int:
        holding = self._usage.held_by(customer)
        if self._has_processors:
            return holding.processors_milli
        return holding.memory_mib

    def _next_indexes(self, group: TaskGroup, left: int) -> set[int]:
        """Return the tasks of a group to place before another's turn.

        All of them if they have to be tried together: those of a gang, and
        those beside a suspect, which must not keep others from its trial.
        """
        step = group.step
        if step.spec.is_gang or step.has_suspects(group.indexes):
            return group.indexes
        size = min(left, self._turn_size(step))
        return set(heapq.nsmallest(size, group.indexes))

    def _turn_size(self, step: StepRun) -> int:
        """Return how many tasks it takes to hold more than the next customer.

        Both by weight.
        """
        self._turn_count += 1
        others = self._turns[1:3]
        if not others:
            return len(step.tasks)
        customer = self._turns[0].customer
        need = step.spec.resources.memory_mib
        if self._has_processors:
            need = step.spec.resources.processors_milli
        limit = min(others).ratio * self._usage.weight_of(customer)
        ahead = max(0, int(limit - self._held(customer)))
        least = 1 << self._turn_count // EXACT_TURNS
        return max(least, ahead // max(1, need) + 1)


def _has_processors(step: StepRun) -> bool:
    return step.spec.resources.processors_milli > 0
