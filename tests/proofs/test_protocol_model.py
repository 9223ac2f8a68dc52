"""All interleavings of two owners with faults.

The faults are a pause, a lost response and an expired lease. A small model has
one worker, one job and two owners. The owners' steps run on the real classes
of the ownership record, the job record and the reservations. Only the store
and the worker are modelled, by a revision and a fence. Every reachable state
is visited once.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace

import pytest

from gentianpulley.job import Job, JobState, Placement
from gentianpulley.reservations import WorkerReservations
from gentianpulley.ownership import Ownership
from gentianpulley.resources import Resources
from gentianpulley.worker import TaskState, TaskSummary, WorkerDescription

OWNERS = ('a', 'b')
NEED = Resources(6, 6)
CAPACITY = Resources(10, 10)
WORKER = 'w'
MAX_EPOCH = 3
MAX_INCARNATION = 3

QUEUED_JOB = Job(
    request_key='k',
    request_digest='',
    work_class='c',
    team='t',
    need=NEED,
    idempotent=False,
    resumable=False,
    data_tags=(),
    deadline_ms=0,
    accepted_ms=0,
    keep_until_ms=0,
    coordinator='a',
)


@dataclass(frozen=True)
class Owner:
    """The local state of one owner.

    `sending` is a command that passed all checks; `sent_epoch` is its epoch.
    """

    epoch: int = 0
    reserved: frozenset[str] = frozenset()
    sending: str = ''
    sent_epoch: int = 0


@dataclass(frozen=True)
class State:
    """The store, the worker and both owners."""

    ownership: Ownership = Ownership()
    job: Job = QUEUED_JOB
    fence: int = 0
    running: frozenset[str] = frozenset()
    ever_started: frozenset[str] = frozenset()
    ended: frozenset[str] = frozenset()
    owners: tuple[Owner, Owner] = (Owner(), Owner())

    def with_owner(self, index: int, owner: Owner) -> 'State':
        """Return the state with one owner changed."""
        owners = list(self.owners)
        owners[index] = owner
        return replace(self, owners=(owners[0], owners[1]))


@dataclass(frozen=True)
class Guards:
    """The guards of the protocol; each can be switched off."""

    epoch_fence: bool = True
    reads_list: bool = True


ALL_GUARDS = Guards()


def next_states(state: State, guards: Guards) -> Iterator[State]:
    """Yield every state reachable in one step."""
    yield from _finish(state)
    for index, _ in enumerate(OWNERS):
        yield from _claim(state, index)
        yield from _fence(state, index, guards)
        yield from _place(state, index)
        yield from _deliver(state, index, guards)
        yield from _recover(state, index, guards)


def _finish(state: State) -> Iterator[State]:
    for task_id in state.running:
        yield replace(
            state,
            running=state.running - {task_id},
            ended=state.ended | {task_id},
        )


def _claim(state: State, index: int) -> Iterator[State]:
    """The other's lease expires, or no owner has the worker yet."""
    owner = OWNERS[index]
    may_claim = state.ownership.owner_of(WORKER) != owner
    if may_claim and state.ownership.last_epoch < MAX_EPOCH:
        yield replace(state, ownership=state.ownership.claim([WORKER], owner))


def _fence(state: State, index: int, guards: Guards) -> Iterator[State]:
    """A new owner fences the worker and reads its running tasks."""
    epoch = state.ownership.owned_by(OWNERS[index]).get(WORKER, 0)
    owner = state.owners[index]
    if epoch <= owner.epoch or epoch < state.fence:
        return
    fence = epoch if guards.epoch_fence else state.fence
    fenced_owner = replace(owner, epoch=epoch, reserved=state.running)
    yield replace(state, fence=fence).with_owner(index, fenced_owner)


def _place(state: State, index: int) -> Iterator[State]:
    """Admit, then write the placement; the owner may pause before sending.

    The response to the write may be lost: then the owner does not send.
    """
    owner = state.owners[index]
    if not owner.epoch or owner.sending:
        return
    if state.job.state is not JobState.QUEUED:
        return
    reservations = _reservations(owner.reserved)
    task_id = state.job.task_id
    if not reservations.admit(task_id, NEED):
        return
    placed = state.job.place(
        Placement(WORKER, 'boot', 'd', OWNERS[index], owner.epoch, 0)
    )
    written = replace(state, job=placed)
    yield written
    paused = replace(
        owner,
        reserved=reservations.task_ids(),
        sending=task_id,
        sent_epoch=owner.epoch,
    )
    yield written.with_owner(index, paused)


def _deliver(state: State, index: int, guards: Guards) -> Iterator[State]:
    """The command arrives after any delay, or is lost."""
    owner = state.owners[index]
    if not owner.sending:
        return
    idle = replace(owner, sending='')
    yield state.with_owner(index, idle)
    fenced = guards.epoch_fence and owner.sent_epoch < state.fence
    has_started = owner.sending in state.ever_started
    if not fenced and not has_started:
        yield replace(
            state,
            running=state.running | {owner.sending},
            ever_started=state.ever_started | {owner.sending},
        ).with_owner(index, idle)


def _recover(state: State, index: int, guards: Guards) -> Iterator[State]:
    """The owner finds a job placed under an older epoch and requeues it.

    The worker's list, read after the fence, shows whether it has started.
    """
    owner = state.owners[index]
    placement = state.job.placement
    if placement is None or not owner.epoch:
        return
    current = owner.epoch >= state.fence or not guards.epoch_fence
    if placement.epoch >= owner.epoch or not current:
        return
    has_started = state.job.task_id in state.ever_started
    if has_started and guards.reads_list:
        return
    if state.job.incarnation >= MAX_INCARNATION:
        return
    requeued = state.job.requeue(OWNERS[index], '', evicted=False)
    yield replace(state, job=requeued)


def _reservations(reserved: frozenset[str]) -> WorkerReservations:
    reservations = WorkerReservations(
        WorkerDescription(WORKER, 'boot', 'd', 'r', CAPACITY, 8, 64)
    )
    reservations.add_running(
        TaskSummary(task_id, TaskState.RUNNING, 'c', NEED)
        for task_id in reserved
    )
    return reservations


def visit_all(guards: Guards) -> tuple[int, list[State]]:
    """Return the number of states and those that violate a guarantee."""
    start = State()
    seen = {repr(start)}
    waiting = [start]
    violations = []
    while waiting:
        state = waiting.pop()
        if len(state.ever_started) > 1 or len(state.running) > 1:
            violations.append(state)
            continue
        for following in next_states(state, guards):
            name = repr(following)
            if name not in seen:
                seen.add(name)
                waiting.append(following)
    return len(seen), violations


def test_no_interleaving_starts_a_job_twice() -> None:
    count, violations = visit_all(ALL_GUARDS)
    print(f'{count} states')
    assert count > 200
    assert not violations


SWITCHED_OFF = {
    'epoch fence': Guards(epoch_fence=False),
    'list read after the fence': Guards(reads_list=False),
}


@pytest.mark.parametrize('name', SWITCHED_OFF)
def test_model_fails_without_a_guard(name: str) -> None:
    _, violations = visit_all(SWITCHED_OFF[name])
    assert violations
