"""What a soak has recorded: workers' events, callers' stories, faults."""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final, NamedTuple

from soak.callers import StepPlan, Story
from soak.schedule import Disruption
from standins.grid_worker import EventKind, WorkerEvent

CONTACT_S: Final = 3.0
"""How long after a fault bounds in time do not hold yet."""

PLANNED: Final = frozenset(
    ('SettingsSignal', 'CfgChange', 'Evacuation', 'Drain', 'PlannedStop')
)

LIFE_ENDS: Final = frozenset((EventKind.CRASHED, EventKind.LAPSED))

Runs = dict[str, set[str]]
"""The workers that run a task, by the task's name."""


class TaskPlace(NamedTuple):
    """A task's name, taken apart."""

    job_id: str
    occurrence: int
    step: int
    ordinal: int

    @property
    def step_id(self) -> tuple[str, int, int]:
        """Return what names the task's step."""
        return self.job_id, self.occurrence, self.step


@dataclass(frozen=True, slots=True)
class SoakRecord:
    """All that happened: events in order of time, jobs by id, and faults."""

    events: tuple[WorkerEvent, ...]
    stories: Mapping[str, Story]
    disruptions: tuple[Disruption, ...]

    def story_of(self, task: str) -> Story | None:
        """Return the story of a task's job, None if nobody sent it."""
        return self.stories.get(place_of(task).job_id)

    def step_of(self, task: str) -> StepPlan | None:
        """Return the plan of a task's step, None if nobody sent it."""
        story = self.story_of(task)
        return story.plan.steps[place_of(task).step] if story else None

    def starts(self) -> Iterator[WorkerEvent]:
        """Yield the starts."""
        for event in self.events:
            if event.kind is EventKind.STARTED:
                yield event

    def done(self) -> Iterator[WorkerEvent]:
        """Yield the ends as done."""
        for event in self.events:
            if event.kind is EventKind.ENDED and event.detail == 'done':
                yield event

    def is_calm(self, from_s: float, to_s: float) -> bool:
        """Tell whether no unplanned fault was near a span of time."""
        return not any(
            fault.begins_s <= to_s and fault.ends_s >= from_s - CONTACT_S
            for fault in self.disruptions
            if fault.kind not in PLANNED
        )

    def last_runs(self) -> Runs:
        """Return what runs at the end."""
        runs: Runs = defaultdict(set)
        for event in self.events:
            follow(runs, event)
        return runs

    def noted_ends(self, cause: str) -> list[WorkerEvent]:
        """Return the ends that were acknowledged.

        Not those whose worker's lease lapsed, or whose life ended, before.
        """
        ends = {
            _run_of(event): event
            for event in self.events
            if event.kind is EventKind.ENDED and event.detail == cause
        }
        return [
            ends[_run_of(noted)]
            for noted in self.events
            if noted.kind is EventKind.NOTED
            and _run_of(noted) in ends
            and self._lived_on(ends[_run_of(noted)], noted)
        ]

    def _lived_on(self, first: WorkerEvent, last: WorkerEvent) -> bool:
        """Tell whether a worker's lease and life lasted between two events."""
        return not any(
            first.at_s < event.at_s <= last.at_s
            for event in self.events
            if event.kind in LIFE_ENDS and event.worker_id == first.worker_id
        )


def place_of(task: str) -> TaskPlace:
    """Take a task's name apart."""
    job_id, occurrence, step, ordinal = task.split('.')
    return TaskPlace(job_id, int(occurrence), int(step), int(ordinal))


def _run_of(event: WorkerEvent) -> tuple[str, str, int]:
    return event.worker_id, event.task, event.run


def follow(runs: Runs, event: WorkerEvent) -> None:
    """Bring what runs in line with an event."""
    if event.kind is EventKind.STARTED:
        runs[event.task].add(event.worker_id)
    elif event.kind is EventKind.ENDED:
        runs[event.task].discard(event.worker_id)
    elif event.kind is EventKind.CRASHED:
        for places in runs.values():
            places.discard(event.worker_id)
