"""Checks of the documented guarantees against the workers' own records.

The records are append-only. Each check yields one line per violation, and
nothing if the guarantee held. No check relies on what the system under test
reports about itself.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

Line = dict[str, Any]


@dataclass(frozen=True)
class Period:
    """A time span in Unix milliseconds; the end is exclusive."""

    from_ms: int
    to_ms: int

    def has(self, line: Line) -> bool:
        """Return whether a line was recorded in the period."""
        return self.from_ms <= int(line['at_ms']) < self.to_ms


@dataclass(frozen=True)
class Capacity:
    """The resources of a worker."""

    processors_milli: int
    memory_mib: int
    accelerators: int = 0
    slots: int = 8


def key_of(line: Line) -> str:
    """Return the request key of a line, without attempt and incarnation."""
    name: str = line['task_id'].rpartition('#')[0]
    return name.partition('@')[0]


def starts_in(record: Iterable[Line]) -> list[Line]:
    """Return the lines that record a start."""
    return [line for line in record if line['event'] == 'start']


def overcommitted(record: Iterable[Line], has: Capacity) -> Iterator[str]:
    """Find lines at which a worker used more than its capacity."""
    for line in record:
        too_much = (
            line['processors_milli'] > has.processors_milli
            or line['memory_mib'] > has.memory_mib
            or line['accelerators'] > has.accelerators
            or line['running'] > has.slots
        )
        if too_much:
            yield f'over-committed: {line}'


def started_twice(
    record: Iterable[Line], classes: Iterable[str]
) -> Iterator[str]:
    """Find requests of the given classes that started more than once."""
    selected = frozenset(classes)
    counts = Counter(
        key_of(line)
        for line in starts_in(record)
        if line['work_class'] in selected
    )
    for key, count in counts.items():
        if count > 1:
            yield f'{key} started {count} times'


def incarnations_twice(record: Iterable[Line]) -> Iterator[str]:
    """Find incarnations that started more than once, on any worker."""
    counts = Counter(line['task_id'] for line in starts_in(record))
    for task_id, count in counts.items():
        if count > 1:
            yield f'incarnation {task_id} started {count} times'


def overlapping(
    record: Iterable[Line], classes: Iterable[str]
) -> Iterator[str]:
    """Find requests of the given classes with two overlapping runs."""
    selected = frozenset(classes)
    running: dict[str, set[str]] = defaultdict(set)
    for line in record:
        if line['work_class'] not in selected:
            continue
        running_ids = running[key_of(line)]
        if line['event'] != 'start':
            running_ids.discard(line['task_id'])
            continue
        if running_ids:
            yield f'{line["task_id"]} started while {running_ids} ran'
        running_ids.add(line['task_id'])


def started_in_period(
    record: Iterable[Line], failure_domain: str, period: Period
) -> Iterator[str]:
    """Find task starts in a failure domain during a period."""
    for line in starts_in(record):
        if line['failure_domain'] == failure_domain and period.has(line):
            yield f'{line["task_id"]} started at {line["at_ms"]}'


def false_reports(
    record: Iterable[Line], outcomes: dict[str, str]
) -> Iterator[str]:
    """Find reported outcomes, by request key, that the record contradicts."""
    lines = list(record)
    started = {key_of(line) for line in starts_in(lines)}
    ended = {
        key_of(line)
        for line in lines
        if line['event'] in {'finished', 'failed'}
    }
    for key, outcome in outcomes.items():
        if outcome == 'not-run' and key in started:
            yield f'{key} was reported as not run, but it started'
        if outcome == 'done' and key not in ended:
            yield f'{key} was reported as done, but it did not end'
