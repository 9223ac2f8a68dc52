"""Promises checked against the workers' own append-only records.

Each check returns a line for every breach that it finds, and nothing when the
promise held. None of them looks at what the system says of itself.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

Line = dict[str, Any]


@dataclass(frozen=True)
class Period:
    """A time span in Unix milliseconds; the end is left out."""

    from_ms: int
    to_ms: int

    def has(self, line: Line) -> bool:
        """Tell whether a line was recorded in the period."""
        return self.from_ms <= int(line['at_ms']) < self.to_ms


@dataclass(frozen=True)
class Capacity:
    """What a worker has."""

    processors_milli: int
    memory_mib: int
    accelerators: int = 0
    slots: int = 8


def key_of(line: Line) -> str:
    """Return the request key of a line, without attempt and incarnation."""
    name: str = line['task_id'].rpartition('#')[0]
    return name.partition('@')[0]


def starts_in(record: Iterable[Line]) -> list[Line]:
    """Return the lines of starts."""
    return [line for line in record if line['event'] == 'start']


def overcommitted(record: Iterable[Line], has: Capacity) -> Iterator[str]:
    """Find moments at which a worker held more than it has."""
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
    """Find requests of the classes that started more than once."""
    once = frozenset(classes)
    counts = Counter(
        key_of(line) for line in starts_in(record) if line['work_class'] in once
    )
    for key, count in counts.items():
        if count > 1:
            yield f'{key} started {count} times'


def incarnations_twice(record: Iterable[Line]) -> Iterator[str]:
    """Find incarnations that started more than once, wherever."""
    counts = Counter(line['task_id'] for line in starts_in(record))
    for task_id, count in counts.items():
        if count > 1:
            yield f'incarnation {task_id} started {count} times'


def overlapping(
    record: Iterable[Line], classes: Iterable[str]
) -> Iterator[str]:
    """Find requests of the classes that ran in two places at once."""
    watched = frozenset(classes)
    running: dict[str, set[str]] = defaultdict(set)
    for line in record:
        if line['work_class'] not in watched:
            continue
        places = running[key_of(line)]
        if line['event'] != 'start':
            places.discard(line['task_id'])
            continue
        if places:
            yield f'{line["task_id"]} started while {places} ran'
        places.add(line['task_id'])


def started_in_period(
    record: Iterable[Line], failure_domain: str, period: Period
) -> Iterator[str]:
    """Find starts in a failure domain during a period."""
    for line in starts_in(record):
        if line['failure_domain'] == failure_domain and period.has(line):
            yield f'{line["task_id"]} started at {line["at_ms"]}'


def false_reports(
    record: Iterable[Line], outcomes: dict[str, str]
) -> Iterator[str]:
    """Find reports that the record contradicts, by request key."""
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
