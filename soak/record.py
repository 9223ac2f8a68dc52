"""Record of a soak test: worker events, job histories and faults."""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final, NamedTuple

from soak.callers import StepPlan, Story
from soak.key_callers import KeyCall
from soak.schedule import Disruption
from standins.grid_worker import EventKind, WorkerEvent

CONTACT_S: Final = 3.0
"""Time after a fault during which time limits are not checked."""

PLANNED: Final = frozenset(
    ('SettingsSignal', 'CfgChange', 'Evacuation', 'Drain', 'PlannedStop')
)

LIFE_ENDS: Final = frozenset((EventKind.CRASHED, EventKind.LAPSED))

Runs = dict[str, set[str]]
"""Ids of the workers that run a task, by task name."""


class TaskPlace(NamedTuple):
    """The parts of a task name."""

    job_id: str
    occurrence: int
    step: int
    ordinal: int

    @property
    def step_id(self) -> tuple[str, int, int]:
        """Return the id of the task's step."""
        return self.job_id, self.occurrence, self.step


@dataclass(frozen=True, slots=True)
class SoakRecord:
    """Worker events in order of time, job histories by id, and faults."""

    events: tuple[WorkerEvent, ...]
    stories: Mapping[str, Story]
    disruptions: tuple[Disruption, ...]
    key_calls: tuple[KeyCall, ...] = ()

    def story_of(self, task: str) -> Story | None:
        """Return the history of a task's job, None if it was not submitted."""
        return self.stories.get(place_of(task).job_id)

    def step_of(self, task: str) -> StepPlan | None:
        """Return the plan of a task's step, None if it was not submitted."""
        story = self.story_of(task)
        return story.plan.steps[place_of(task).step] if story else None

    def starts(self) -> Iterator[WorkerEvent]:
        """Yield the starts of runs."""
        for event in self.events:
            if event.kind is EventKind.STARTED:
                yield event

    def done(self) -> Iterator[WorkerEvent]:
        """Yield the ends of runs with result "done"."""
        for event in self.events:
            if event.kind is EventKind.ENDED and event.detail == 'done':
                yield event

    def is_calm(self, from_s: float, to_s: float) -> bool:
        """Return whether no unplanned fault was near a time span."""
        return not any(
            fault.begins_s <= to_s and fault.ends_s >= from_s - CONTACT_S
            for fault in self.disruptions
            if fault.kind not in PLANNED
        )

    def last_runs(self) -> Runs:
        """Return the tasks that run after the last event."""
        runs: Runs = defaultdict(set)
        for event in self.events:
            follow(runs, event)
        return runs

    def noted_ends(self, cause: str) -> list[WorkerEvent]:
        """Return the ends with a cause that were acknowledged.

        Omits those where the worker's lease expired or the worker crashed
        between the end and its acknowledgement.
        """
        ends = {
            _run_of(event): event
            for event in self.events
            if event.kind is EventKind.ENDED and event.detail == cause
        }
        return [
            ends[_run_of(acknowledged)]
            for acknowledged in self.events
            if acknowledged.kind is EventKind.NOTED
            and _run_of(acknowledged) in ends
            and self._is_uninterrupted(
                ends[_run_of(acknowledged)], acknowledged
            )
        ]

    def _is_uninterrupted(self, first: WorkerEvent, last: WorkerEvent) -> bool:
        """Return whether no expiry or crash lies between two worker events."""
        return not any(
            first.at_s < event.at_s <= last.at_s
            for event in self.events
            if event.kind in LIFE_ENDS and event.worker_id == first.worker_id
        )


def place_of(task: str) -> TaskPlace:
    """Parse a task name."""
    job_id, occurrence, step, ordinal = task.split('.')
    return TaskPlace(job_id, int(occurrence), int(step), int(ordinal))


def _run_of(event: WorkerEvent) -> tuple[str, str, int]:
    return event.worker_id, event.task, event.run


def follow(runs: Runs, event: WorkerEvent) -> None:
    """Update the running tasks with an event."""
    if event.kind is EventKind.STARTED:
        runs[event.task].add(event.worker_id)
    elif event.kind is EventKind.ENDED:
        runs[event.task].discard(event.worker_id)
    elif event.kind is EventKind.CRASHED:
        for places in runs.values():
            places.discard(event.worker_id)
