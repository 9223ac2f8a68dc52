"""Fake workers without sockets: they execute orders and list their runs.

Best-effort tasks progress with the fraction of processors that others leave
and with their ordered speed. Latency-critical tasks report a tail latency that
their neighbours raise, depending on the pair of images.
"""

import math
import random
import zlib
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

import msgspec

from bench.leader_work import SERVICE
from gentianpulley.cluster.worker_protocol import (
    PollOrder,
    PaceOrder,
    RunKey,
    StartOrder,
    StopOrder,
    WorkerRegistration,
)
from gentianpulley.cluster.schedulable_workers import LONG_RUNNING_UTILIZATION
from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.jobs.spec import StepSpec
from gentianpulley.platform.task_names import task_name
from gentianpulley.resources import Resources

PROCESSORS_MILLI: Final = 64_000
MEMORY_MIB: Final = 256_000
SIZES: Final = (1.0, 1.0, 1.5)
ZONES: Final = 4
RACK: Final = 12
FULL: Final = 100
QUIET_TAIL_MS: Final = 10.0
LARGEST_HARM: Final = 6.0
HARMLESS_SHARE: Final = 0.4
NOISE: Final = 0.3
SWING: Final = 0.5
SWING_MS: Final = 14_000
SAVE_MS: Final = 2000
FAILING_SHARE: Final = 0.03
FOREVER_MS: Final = math.inf


@dataclass
class Run:
    """An active run with its remaining work and speed."""

    key: RunKey
    spec: StepSpec
    name: str
    left_ms: float
    percent: int = FULL
    speed: float = 1
    checkpoint: str = ''
    total_ms: float = 0

    def row(self, measurement: int) -> tuple[object, ...]:
        """Return the row of the run in the worker's listing."""
        total_ms = max(1, self.total_ms)
        done = (
            FULL
            if self.spec.is_endless
            else FULL * (1 - self.left_ms / total_ms)
        )
        progress = max(0, min(FULL, int(done)))
        return self.name, self.key.run, self.checkpoint, progress, measurement


class QuietWorker:
    """A worker that never fails, with its unacknowledged ends of runs."""

    failing_share: float = FAILING_SHARE

    def __init__(self, facts: WorkerRegistration, seed: int) -> None:
        """Start without runs."""
        self.facts = facts
        self.runs: dict[RunKey, Run] = {}
        self.orders: deque[Order] = deque()
        self.next_ms: float = FOREVER_MS
        self.rng = random.Random(seed)
        self._ended: list[tuple[object, ...]] = []
        self._last_end_number = 0
        self._at_ms = 0

    @property
    def has_ends(self) -> bool:
        """Return whether a poll is answered at once."""
        return bool(self._ended)

    def acknowledge(self, order: PollOrder) -> None:
        """Remove the ends that a poll acknowledges."""
        while (
            self._ended
            and int(str(self._ended[0][0])) <= order.acked_end_number
        ):
            self._ended.pop(0)

    def carry_out(self, order: Order, spec: StepSpec, at_ms: int) -> None:
        """Start a run, stop it or set its speed."""
        self.advance(at_ms)
        if isinstance(order, StartOrder):
            self._start(order, spec)
        elif isinstance(order, StopOrder):
            self._stop(order.key)
        elif isinstance(order, PaceOrder) and order.key in self.runs:
            self.runs[order.key].percent = order.speed_percent
        self.set_speeds()

    def advance(self, at_ms: int) -> None:
        """Advance the runs to a time and end those that are complete."""
        passed_ms = at_ms - self._at_ms
        self._at_ms = at_ms
        for run in tuple(self.runs.values()):
            run.left_ms -= passed_ms * run.speed
            if run.spec.checkpoints:
                done_ms = run.total_ms - run.left_ms
                saved = int(done_ms // SAVE_MS)
                run.checkpoint = f'{saved:016x}' if saved else run.checkpoint
            if run.left_ms <= 0:
                fails = self.rng.random() < self.failing_share
                self._end(run.key, 'failed' if fails else 'done')
        self.set_speeds()

    def lists(self, at_ms: int) -> bytes:
        """Return the response to a poll."""
        self.advance(at_ms)
        return msgspec.json.encode(
            {
                'clock_ms': at_ms,
                'born': self.facts.incarnation_ms,
                'running': [
                    run.row(self.measure(run)) for run in self.runs.values()
                ],
                'ended': self._ended,
            }
        )

    def set_speeds(self) -> None:
        """Set the speeds of all runs and when the next one ends."""
        spare = float(self.facts.capacity.processors_milli)
        best_effort: float = 0
        for run in self.runs.values():
            need = run.spec.resources.processors_milli
            if run.spec.fills_spare:
                best_effort += need * run.percent / FULL
            elif run.spec.is_endless:
                spare -= need * LONG_RUNNING_UTILIZATION
            else:
                spare -= need
        share = min(1, max(0, spare) / max(1, best_effort))
        self.next_ms = FOREVER_MS
        for each in self.runs.values():
            if each.spec.fills_spare:
                each.speed = share * each.percent / FULL
            if each.speed > 0:
                ends_ms = self._at_ms + each.left_ms / each.speed
                self.next_ms = min(self.next_ms, ends_ms)

    def measure(self, run: Run) -> int:
        """Return what a listing shows as measured for a run."""
        if run.spec.is_endless:
            return self.tail_ms(run, self.rng.gauss(0, NOISE))
        return int(run.spec.resources.processors_milli * run.speed)

    def interference(self, critical: str, best_effort: str) -> float:
        """Return the coefficient of a pair of images."""
        return pair_harm(critical, best_effort)

    def tail_ms(self, critical: Run, noise: float) -> int:
        """Return a tail that its own load and its neighbours have raised."""
        capacity = self.facts.capacity.processors_milli
        log_increase = noise + self._swing(critical)
        for run in self.runs.values():
            if run.spec.fills_spare:
                used = run.spec.resources.processors_milli * run.speed
                image = critical.spec.image
                pair = self.interference(image, run.spec.image)
                log_increase += pair * used / capacity
        return max(1, round(QUIET_TAIL_MS * math.exp(log_increase)))

    def _start(self, order: StartOrder, spec: StepSpec) -> None:
        left_ms = FOREVER_MS if spec.is_endless else spec.estimated_ms
        name = task_name(order.key.task_id)
        self.runs[order.key] = Run(
            order.key, spec, name, left_ms, total_ms=left_ms
        )

    def _stop(self, key: RunKey) -> None:
        self._end(key, 'stopped')

    def _end(self, key: RunKey, how: str) -> None:
        run = self.runs.pop(key, None)
        if run is None:
            return
        self._last_end_number += 1
        row = (self._last_end_number, run.name, key.run, how, run.checkpoint)
        self._ended.append(row)

    def _swing(self, critical: Run) -> float:
        """Return by how much a task's own load raises its log tail now."""
        phase = zlib.crc32(critical.name.encode()) + self._at_ms
        return SWING * math.sin(math.tau * phase / SWING_MS)


def pair_harm(critical: str, best_effort: str) -> float:
    """Return how much one image raises the log tail of another, at least 0."""
    drawn = zlib.crc32(f'{critical}/{best_effort}'.encode()) % FULL / FULL
    if drawn < HARMLESS_SHARE:
        return 0
    return LARGEST_HARM * (drawn - HARMLESS_SHARE) / (1 - HARMLESS_SHARE)


def create_workers(count: int, seed: int) -> Iterator[QuietWorker]:
    """Yield workers spread over racks and failure domains."""
    machine = Resources(PROCESSORS_MILLI, MEMORY_MIB)
    for number, facts in enumerate(create_registrations(count, machine)):
        yield QuietWorker(facts, seed + number)


def create_registrations(
    count: int, machine: Resources
) -> Iterator[WorkerRegistration]:
    """Yield registrations of workers of three sizes, `machine` the smallest."""
    for number in range(count):
        size = SIZES[number % len(SIZES)]
        rack = f'r{number // RACK}'
        yield WorkerRegistration(
            f'i-{number:08x}',
            SERVICE,
            f'10.0.{number // FULL}.{number % FULL}:80',
            f'zone-{number % ZONES}',
            Resources(
                int(machine.processors_milli * size),
                int(machine.memory_mib * size),
            ),
            frozenset(('a', rack)),
            rack,
            incarnation_ms=1,
        )
