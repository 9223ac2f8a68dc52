"""One life of a worker as the leader sees it: room, runs, lease and trust."""

from collections import deque
from dataclasses import dataclass
from typing import Final, NamedTuple

from gentianpulley.cluster.link import RunKey, WorkerFacts
from gentianpulley.cluster.timing import WorkerClock
from gentianpulley.jobs.spec import StepSpec, TaskId

FULL_PERCENT: Final = 100
UNKNOWN_PERCENT: Final = -1

LOW_PERCENT: Final = 35
"""A pace below which a task is better off on another worker, which gives it
several times as much."""

QUARANTINE_AFTER: Final = 2
"""Failures in a row, without a run that ended as done, that make a worker
suspect. One failure is usual: callers' tasks fail by themselves."""

QUARANTINE_MS: Final = 4000
"""How long a suspect worker gets nothing before it is tried again; about as
long as such a fault lasts on the sites' days."""

FAILURE_GAP_MS: Final = 2 * QUARANTINE_MS
"""Failures that lie further apart do not count as in a row: a worker of endless
tasks has no run that ends as done and would clear it."""


@dataclass(slots=True)
class Charge:
    """What one run holds of its worker until its end is certain.

    `settled_ms` is when the worker answered the start or listed the run, and
    `barred_ms` when it answered a stop; zero means not yet. `is_stopping` says
    that a stop was ordered, `has_lost_start` that a start went unanswered,
    `is_listed` that this life of the worker has listed the run.
    `last_sent_ms` is when its start was last sent, `sent_worker_ms` what was
    known of the worker's clock by then.
    `sent_ms` is when the start was ordered, `progressed_ms` when its progress
    was last seen to move, and `due_ms` until when the run has to end for its
    job to be on time.
    `percent` is the pace that the worker was last told, `UNKNOWN_PERCENT` if
    somebody else told it, and `wanted_percent` the pace that it should have;
    `slowed_since_ms` is since when that is low, zero while it is not. `bias`
    is how far a serving task's tail lies from what is expected of its image,
    as a logarithm; `over_since_ms` is since when the tail is over its target,
    zero while it is not. `checkpoint` is what was listed last.
    """

    key: RunKey
    spec: StepSpec
    sent_ms: int
    settled_ms: int = 0
    barred_ms: int = 0
    is_stopping: bool = False
    has_lost_start: bool = False
    is_listed: bool = False
    last_sent_ms: int = 0
    sent_worker_ms: int = 0
    progress_percent: int = 0
    progressed_ms: int = 0
    percent: int = FULL_PERCENT
    wanted_percent: int = FULL_PERCENT
    slowed_since_ms: int = 0
    gauge: int = 0
    gauge_ms: int = 0
    bias: float = 0
    over_since_ms: int = 0
    checkpoint: str = ''
    due_ms: int = 0

    def can_be_on_time(self, now_ms: int) -> bool:
        """Tell whether the run, at full speed, ends in time for its job."""
        left = FULL_PERCENT - self.progress_percent
        left_ms = self.spec.estimated_ms * left // FULL_PERCENT
        return now_ms + left_ms <= self.due_ms

    def want_pace(self, percent: int, now_ms: int) -> None:
        """Note the pace that the run should have from now on."""
        self.wanted_percent = percent
        if percent >= LOW_PERCENT:
            self.slowed_since_ms = 0
        elif not self.slowed_since_ms:
            self.slowed_since_ms = now_ms

    @property
    def is_unsent(self) -> bool:
        """Tell whether nobody has sent the run, and no stop of it follows."""
        was_sent = self.last_sent_ms or self.settled_ms
        return not was_sent and not self.is_stopping

    @property
    def may_arrive_late(self) -> bool:
        """Tell whether the next life of the worker may hold the run.

        A start without an answer may still arrive there, and one that was
        accepted but never listed may have met the next life already.
        """
        return self.has_lost_start or not self.is_listed

    @property
    def processors_milli(self) -> int:
        """Return what counts against the worker's processors."""
        if self.spec.fills_spare:
            return 0
        return self.spec.resources.processors_milli


class ServingMargin(NamedTuple):
    """How far a serving task is expected to be from its target.

    `margin` is the logarithm of the expected tail over the target, and `risk`
    the probability that the tail is over it.
    """

    image: str
    margin: float
    risk: float


class Worker:
    """Ledger and condition of one life of a worker.

    `is_fenced` says that this leader's token was answered with a list, so
    that nothing of an earlier leader can start there any more. `is_listed`
    says that the worker stands in the directory, `is_leaving` that its machine
    goes down for upkeep. `silent_since_ms` is when a look at it first failed,
    zero while it answers, and `rests_until_ms` how long its filling tasks stand
    still. `serving_margins` is None until it is worked out for what runs now,
    and `harmful_needs` holds, by image, the processors from which a further
    filling task harms too much; `ledger_number` rises when both are forgotten
    and with each run that comes or goes.
    """

    def __init__(self, facts: WorkerFacts, now_ms: int) -> None:
        """Know nothing of what runs there."""
        self.facts = facts
        self.clock = WorkerClock()
        self.charges: dict[RunKey, Charge] = {}
        self.is_fenced = False
        self.is_listed = True
        self.is_leaving = False
        self.unlisted_ms = 0
        self.heard_ms = now_ms
        self.silent_since_ms = 0
        self.seen_number = 0
        self.acked_number = 0
        self.cold_until_ms = now_ms + facts.cold_ms
        self.quarantined_until_ms = 0
        self.suspect_until_ms = 0
        self.failures_in_row = 0
        self.failed_ms = 0
        self.ended_done = 0
        self.processors = 0
        self.memory = 0
        self.accelerators = 0
        self.filling = 0
        self.endless = 0
        self.sampled_ms = 0
        self.rests_until_ms = 0
        self.serving_margins: list[ServingMargin] | None = None
        self.harmful_needs: dict[str, int] = {}
        self.ledger_number = 0
        self.foreign: set[RunKey] = set()
        self.unsaved_ends: deque[tuple[int, int]] = deque()

    @property
    def worker_id(self) -> str:
        """Return the worker's id."""
        return self.facts.worker_id

    @property
    def is_closing(self) -> bool:
        """Tell whether the worker's life is about to end as planned."""
        return self.facts.is_draining or self.is_leaving

    def serving_images(self) -> set[str]:
        """Return the images of the endless tasks on the worker."""
        return {
            charge.spec.image
            for charge in self.charges.values()
            if charge.spec.is_endless
        }

    @property
    def is_vacated(self) -> bool:
        """Tell whether nothing runs there, and no run is sent there any more.

        Not of a worker that has not answered this leader: it may still take
        what an earlier one sends.
        """
        if self.is_listed and not self.facts.is_draining:
            return False
        return self.is_fenced and not self.charges and not self.foreign

    def accepts(self, now_ms: int) -> bool:
        """Tell whether new runs may be sent there."""
        is_known = self.is_fenced and self.is_listed and not self.foreign
        if self.is_closing or self.silent_since_ms:
            return False
        return is_known and now_ms >= self.quarantined_until_ms

    def has_room(self, spec: StepSpec) -> bool:
        """Tell whether one more task of a step fits the declared room."""
        room = self.facts.capacity
        need = spec.resources
        processors = 0 if spec.fills_spare else need.processors_milli
        return (
            self.processors + processors <= room.processors_milli
            and self.memory + need.memory_mib <= room.memory_mib
            and self.accelerators + need.accelerators <= room.accelerators
        )

    def room_for(self, spec: StepSpec) -> int:
        """Return how many more tasks of a step fit the declared room."""
        room = self.facts.capacity
        need = spec.resources
        processors = 0 if spec.fills_spare else need.processors_milli
        fits = [
            left // each
            for left, each in (
                (room.processors_milli - self.processors, processors),
                (room.memory_mib - self.memory, need.memory_mib),
                (room.accelerators - self.accelerators, need.accelerators),
            )
            if each > 0
        ]
        return max(0, min(fits, default=spec.task_count))

    def could_ever_run(self, spec: StepSpec) -> bool:
        """Tell whether one task of a step fits the empty worker."""
        if spec.required_label not in {'', *self.facts.labels}:
            return False
        return spec.resources.fits_in(self.facts.capacity)

    def charge(self, key: RunKey, spec: StepSpec, now_ms: int) -> Charge:
        """Reserve what a run needs; a known run keeps its charge."""
        known = self.charges.get(key)
        if known is not None:
            return known
        added = Charge(key, spec, now_ms)
        self.charges[key] = added
        self._book(added, 1)
        return added

    def release(self, key: RunKey) -> Charge | None:
        """Give back what a run held, once it cannot run any more."""
        released = self.charges.pop(key, None)
        if released is not None:
            self._book(released, -1)
        return released

    def runs_of(self, task_id: TaskId) -> list[Charge]:
        """Return the charges of a task's runs."""
        return [
            charge
            for key, charge in self.charges.items()
            if key.task_id == task_id
        ]

    def forget_margins(self) -> None:
        """Let what runs, and how fast, be weighed anew."""
        self.ledger_number += 1
        self.serving_margins = None
        self.harmful_needs.clear()

    def note_done(self) -> None:
        """Note a run that ended as done: the worker works."""
        self.ended_done += 1
        self.failures_in_row = 0
        self.quarantined_until_ms = 0

    def note_failed(self, now_ms: int) -> None:
        """Note a failed run; several in a row make the worker suspect."""
        if now_ms > self.failed_ms + FAILURE_GAP_MS:
            self.failures_in_row = 0
        self.failed_ms = now_ms
        self.failures_in_row += 1
        if self.failures_in_row >= QUARANTINE_AFTER:
            self.quarantined_until_ms = now_ms + QUARANTINE_MS

    def _book(self, charge: Charge, sign: int) -> None:
        self.forget_margins()
        need = charge.spec.resources
        self.processors += sign * charge.processors_milli
        self.memory += sign * need.memory_mib
        self.accelerators += sign * need.accelerators
        if charge.spec.fills_spare:
            self.filling += sign * need.processors_milli
        if charge.spec.is_endless:
            self.endless += sign * need.processors_milli


def create_worker(facts: WorkerFacts, now_ms: int) -> Worker:
    """Return a worker that is not fenced yet."""
    return Worker(facts, now_ms)
