"""Guarantees about runs, checked against the workers' records.

Each check yields a line for every violation and nothing if there is none.
Time limits are checked only where no fault was near, as the rules of the
clusters say.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Final

from soak.callers import Story
from soak.record import Runs, SoakRecord, follow, place_of
from soak.site import WORKER_MILLI
from standins.grid_worker import EventKind, WorkerEvent

CANCEL_S: Final = 3.0
CLOSE_S: Final = 5.0
MOST_ATTEMPTS: Final = 3
MOST_CRASHES: Final = 3
MOST_STARTS_MORE: Final = 2
SHRUNK_S: Final = 4.1
"""`contact_ms` and a heartbeat."""


def ran_twice_at_once(record: SoakRecord) -> Iterator[str]:
    """Find starts of tasks that are already running (TWICE)."""
    runs: Runs = defaultdict(set)
    for event in record.events:
        if event.kind is EventKind.STARTED and runs[event.task]:
            yield f'TWICE: {_describe(event)}, while on {runs[event.task]}'
        follow(runs, event)


def started_after_done(record: SoakRecord) -> Iterator[str]:
    """Find starts after an acknowledged end as done (TWICE)."""
    done_s: dict[str, float] = {}
    for end in record.noted_ends('done'):
        done_s.setdefault(end.task, end.at_s)
    for event in record.starts():
        if event.at_s > done_s.get(event.task, event.at_s):
            yield f'TWICE: {_describe(event)}, after its end'


def started_too_often(record: SoakRecord) -> Iterator[str]:
    """Find starts after the last allowed attempt failed (BUDGET)."""
    failed: dict[str, list[float]] = defaultdict(list)
    for end in record.noted_ends('failed'):
        failed[end.task].append(end.at_s)
    for event in record.starts():
        before = [at_s for at_s in failed[event.task] if at_s < event.at_s]
        if len(before) >= MOST_ATTEMPTS:
            yield f'BUDGET: {_describe(event)}, after {len(before)} failures'


def crashed_too_often(record: SoakRecord) -> Iterator[str]:
    """Find tasks that crash workers again and again (BUDGET)."""
    crashes: Counter[str] = Counter()
    starts: Counter[str] = Counter()
    for event in record.events:
        if event.kind is EventKind.CRASHED:
            crashes[event.task] += 1
        elif event.kind is EventKind.STARTED:
            starts[event.task] += crashes[event.task] >= MOST_CRASHES
            if starts[event.task] > MOST_STARTS_MORE:
                yield f'BUDGET: {_describe(event)}, after its crashes'


def overfilled(record: SoakRecord) -> Iterator[str]:
    """Find starts that exceed a worker's processor capacity (LIMIT).

    A capacity that has shrunk counts after a while.
    """
    runs: Runs = defaultdict(set)
    declared: dict[str, list[WorkerEvent]] = defaultdict(list)
    for event in record.events:
        follow(runs, event)
        if event.kind is EventKind.RESIZED:
            declared[event.worker_id].append(event)
        elif event.kind is EventKind.STARTED:
            milli = _processors(record, runs, event.worker_id)
            most_milli = _allowed_milli(declared[event.worker_id], event.at_s)
            if milli > most_milli:
                yield f'LIMIT: {_describe(event)}, {milli} of {most_milli}'


def out_of_order(record: SoakRecord) -> Iterator[str]:
    """Find starts before the prerequisite steps were done (ORDER)."""
    first_done: dict[str, float] = {}
    for end in record.done():
        first_done.setdefault(end.task, end.at_s)
    for event in record.starts():
        story = record.story_of(event.task)
        if story is not None and not _is_ready(story, event, first_done):
            yield f'ORDER: {_describe(event)}'


def unasked(record: SoakRecord) -> Iterator[str]:
    """Find starts of unknown, refused or cancelled jobs (UNASKED, REFUSED)."""
    for event in record.starts():
        story = record.story_of(event.task)
        if story is None or event.detail != story.plan.payload:
            yield f'UNASKED: {_describe(event)}'
        elif story.is_refused:
            yield f'REFUSED: {_describe(event)}'
        elif _is_late(record, story, event):
            yield f'UNASKED: {_describe(event)}, after its job was cancelled'


def started_after_refusal(record: SoakRecord) -> Iterator[str]:
    """Find starts of jobs of which all submissions so far were refused."""
    for event in record.starts():
        story = record.story_of(event.task)
        if story is not None and story.was_refused(event.at_s):
            yield f'REFUSED: {_describe(event)}, before any other answer'


def started_after_denial(record: SoakRecord) -> Iterator[str]:
    """Find starts of jobs whose cancellation found no such job (UNASKED)."""
    for event in record.starts():
        story = record.story_of(event.task)
        if story is not None and 0 < story.denied_s < event.at_s:
            yield f'UNASKED: {_describe(event)}, after a 410'


def running_in_vain(record: SoakRecord) -> Iterator[str]:
    """Find tasks of cancelled jobs that still run at the end (UNASKED)."""
    for task, worker_ids in record.last_runs().items():
        story = record.story_of(task)
        if worker_ids and story is not None and story.cancelled_s:
            yield f'UNASKED: {task} still runs on {worker_ids}'


def sent_where_closed(record: SoakRecord) -> Iterator[str]:
    """Find starts on draining or evacuated workers (DRAIN, EVAC)."""
    closed: dict[str, list[float]] = defaultdict(list)
    for event in record.events:
        since_s = closed[event.worker_id]
        if event.kind is EventKind.CLOSED:
            since_s.append(event.at_s)
        elif event.kind is EventKind.OPENED:
            since_s.pop(0)
        elif _is_late_there(record, event, since_s):
            yield f'DRAIN or EVAC: {_describe(event)}'


def _describe(event: WorkerEvent) -> str:
    return f'{event.task} run {event.run} on {event.worker_id}'


def _processors(record: SoakRecord, runs: Runs, worker_id: str) -> int:
    """Return the processors reserved on a worker, in thousandths."""
    steps = [
        record.step_of(task)
        for task, worker_ids in runs.items()
        if worker_id in worker_ids
    ]
    return sum(step.processors_milli for step in steps if step)


def _allowed_milli(declared: list[WorkerEvent], at_s: float) -> int:
    """Return the largest capacity declared lately, in thousandths."""
    before_milli = WORKER_MILLI
    recent = []
    for event in declared:
        if event.at_s < at_s - SHRUNK_S:
            before_milli = int(event.detail)
        else:
            recent.append(int(event.detail))
    return max((before_milli, *recent))


def _is_ready(
    story: Story, event: WorkerEvent, first_done: dict[str, float]
) -> bool:
    """Return whether the steps before an event's step were done by then."""
    place = place_of(event.task)
    done = Counter(
        place_of(task).step
        for task, at_s in first_done.items()
        if task.startswith(place.job_id) and at_s <= event.at_s
    )
    steps = story.plan.steps
    return all(
        done[before] >= steps[before].count
        for before in steps[place.step].after
    )


def _is_late(record: SoakRecord, story: Story, event: WorkerEvent) -> bool:
    cancelled_s = story.cancelled_s
    if not cancelled_s or event.at_s < cancelled_s + CANCEL_S:
        return False
    return record.is_calm(cancelled_s, event.at_s)


def _is_late_there(
    record: SoakRecord, event: WorkerEvent, since_s: list[float]
) -> bool:
    """Return whether a run started on a worker closed too long before."""
    if event.kind is not EventKind.STARTED or not since_s:
        return False
    is_late = event.at_s > since_s[0] + CLOSE_S
    return is_late and record.is_calm(since_s[0], event.at_s)


RUN_CHECKS: Final = (
    ran_twice_at_once,
    started_after_done,
    started_too_often,
    crashed_too_often,
    overfilled,
    out_of_order,
    unasked,
    started_after_refusal,
    started_after_denial,
    running_in_vain,
    sent_where_closed,
)
