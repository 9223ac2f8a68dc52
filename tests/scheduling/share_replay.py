"""A replay of customers that submit more than three workers can run.

Jobs have the same size and run time, so that starts and waits can be compared
between customers, and between orders with shares and without.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from contextlib import ExitStack
from typing import Final, NamedTuple
from unittest.mock import patch

from gentianpulley.cluster import scheduler
from gentianpulley.cluster.customer_shares import ArrivalRates
from gentianpulley.cluster.customers import Customer, Customers
from gentianpulley.cluster.step_ordering import TaskGroup
from gentianpulley.cluster.worker_protocol import RunKey, StartVerdict
from tests.scheduling.harness import (
    START_MS,
    create_harness,
    customer_job,
    step,
)

TICK_MS: Final = 100
RUN_MS: Final = 1000
SLOTS: Final = 24


class Demand(NamedTuple):
    """A customer, its weight, its jobs a second, and when it submits them."""

    name: str
    weight: int
    jobs_per_s: float
    from_ms: int = 0


class ShareReplay:
    """One replay; `starts` counts by customer from `count_from_ms`."""

    def __init__(
        self, seed: int, demands: Iterable[Demand], count_from_ms: int = 0
    ) -> None:
        """Draw the arrivals of all customers."""
        self._rng = random.Random(seed)
        self._demands = tuple(demands)
        self._count_from_ms = START_MS + count_from_ms
        self.starts: Counter[str] = Counter()
        self.waits_ms: defaultdict[str, list[int]] = defaultdict(list)
        self._submitted: dict[str, tuple[str, int]] = {}
        self._ends: dict[RunKey, tuple[int, str]] = {}
        self._harness = create_harness('w1', 'w2', 'w3')
        self._harness.scheduler.replace_customers(
            Customers(
                1,
                {
                    each.name: Customer(each.name, each.weight)
                    for each in demands
                },
            )
        )

    def play(self, duration_ms: int, *, has_shares: bool) -> 'ShareReplay':
        """Play for a time, with the order by shares or with that before."""
        with ExitStack() as stack:
            if not has_shares:
                plain = patch.object(scheduler, 'in_share_order', _keep_order)
                stack.enter_context(plain)
                none = patch.object(ArrivalRates, 'mark_excess', _mark_none)
                stack.enter_context(none)
            while self._harness.at_ms < START_MS + duration_ms:
                self._tick()
        return self

    def mean_wait_ms(self, name: str) -> float:
        """Return how long a customer's jobs waited; the unstarted wait on."""
        waits_ms = [
            *self.waits_ms[name],
            *(
                self._harness.at_ms - at_ms
                for customer, at_ms in self._submitted.values()
                if customer == name
            ),
        ]
        return sum(waits_ms) / len(waits_ms)

    def share_of(self, name: str) -> float:
        """Return a customer's share of the counted starts."""
        return self.starts[name] / self.starts.total()

    def _tick(self) -> None:
        harness = self._harness
        harness.at_ms += TICK_MS
        for demand in self._demands:
            if harness.at_ms - START_MS > demand.from_ms:
                self._submit(demand)
        for key, (end_ms, worker_id) in tuple(self._ends.items()):
            if end_ms <= harness.at_ms:
                harness.end(worker_id, key)
                self._ends.pop(key)
        for order in harness.plan():
            harness.answer(order, StartVerdict.ACCEPTED)
            end_ms = harness.at_ms + RUN_MS
            self._ends[order.key] = (end_ms, order.worker_id)
            self._record_start(order.key)

    def _submit(self, demand: Demand) -> None:
        expected = demand.jobs_per_s * TICK_MS / RUN_MS
        count = int(expected + self._rng.random())
        for _ in range(count):
            at_ms = self._harness.at_ms
            job_id = f'{self._rng.getrandbits(64):016x}'
            self._submitted[job_id] = (demand.name, at_ms)
            added = customer_job(
                demand.name, step(4), job_id=job_id, submitted_ms=at_ms
            )
            self._harness.scheduler.add_job(added)

    def _record_start(self, key: RunKey) -> None:
        job_id = key.task_id.job_id
        started = self._harness.scheduler.jobs[job_id]
        name = started.spec.customer
        if self._harness.at_ms > self._count_from_ms:
            self.starts[name] += 1
        if job_id in self._submitted:
            _, at_ms = self._submitted.pop(job_id)
            self.waits_ms[name].append(self._harness.at_ms - at_ms)


def _keep_order(groups: Iterable[TaskGroup], *_: object) -> Iterator[TaskGroup]:
    return iter(groups)


def _mark_none(*_: object) -> None:
    """Mark no job as excess."""
