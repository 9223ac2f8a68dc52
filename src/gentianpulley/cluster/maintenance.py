"""Waves of upkeep: which machine goes down next, and when it is clear.

Answers the pattern of operators who want many machines renewed in a short
time while their workers are full: machines are cleared one slot after the
other, work that saves its progress is stopped, other work may end, and tasks
that serve are moved within what their job allows. This module decides; the
leader's thread speaks with the platform.

A machine counts as down from the order on, until the platform lists it as up
again in an answer to a question asked after the upkeep began.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from gentianpulley.cluster.machines import (
    MachineInfo,
    MachineState,
    MaintenanceOrder,
    MaintenanceOutcome,
    WaveRequest,
)

DRAIN_TIME_SHARE: Final = 0.8
"""Share of a machine's part of the time in which its work may end; the rest
is for the upkeep calls, which may be slow."""


class _Stage(enum.Enum):
    """Where a machine of a wave stands."""

    WAITING = enum.auto()
    CLEARING = enum.auto()
    ORDERED = enum.auto()
    BEGUN = enum.auto()
    LEFT_OUT = enum.auto()


@dataclass(slots=True)
class _Member:
    """One machine of a wave.

    `until_ms` bounds the clearing, `down_since_ms` is when the first order
    for it was sent; zero while none was.
    """

    machine_id: str
    stage: _Stage = _Stage.WAITING
    until_ms: int = 0
    down_since_ms: int = 0
    is_down: bool = False

    def note_ordered(self, now_ms: int) -> None:
        """Note that an order is sent, for the first time or again."""
        self.stage = _Stage.ORDERED
        self.is_down = True
        self.down_since_ms = self.down_since_ms or now_ms


@dataclass(frozen=True, slots=True)
class Drain:
    """The worker of a machine gets nothing more; it has until a deadline."""

    machine_id: str
    worker_id: str
    deadline_ms: int


@dataclass(slots=True)
class MaintenanceWave:
    """The aggregate of one wave and its rules."""

    request: WaveRequest
    maintenance_ms: int
    members: dict[str, _Member] = field(default_factory=dict)

    @property
    def is_completed(self) -> bool:
        """Tell whether every machine that stays has begun its upkeep."""
        over = {_Stage.BEGUN, _Stage.LEFT_OUT}
        return all(member.stage in over for member in self.members.values())

    @property
    def started_machines(self) -> tuple[str, ...]:
        """Return the machines that have begun their upkeep."""
        return tuple(
            member.machine_id
            for member in self.members.values()
            if member.stage is _Stage.BEGUN
        )

    def restore(self, begun: Iterable[str]) -> None:
        """Take over what a former leader had done.

        What it ordered last is not known to be over, so all these machines
        count as down until they are listed as up again.
        """
        for machine_id in begun:
            member = self.members.get(machine_id)
            if member is not None:
                member.stage = _Stage.BEGUN
                member.is_down = True

    def update_machines(
        self, machines: Iterable[MachineInfo], requested_ms: int, now_ms: int
    ) -> tuple[Drain, ...]:
        """Take a list of machines; returns the workers to be cleared."""
        listed = {machine.machine_id: machine for machine in machines}
        for machine_id, member in self.members.items():
            self._note_listed(member, listed.get(machine_id), requested_ms)
        self._begin_clearing(listed, now_ms)
        return tuple(
            Drain(
                each.machine_id,
                listed[each.machine_id].worker_id,
                each.until_ms,
            )
            for each in self._members_in(_Stage.CLEARING)
            if each.machine_id in listed
        )

    def next_order(
        self, drained_ids: frozenset[str], token: int, now_ms: int
    ) -> MaintenanceOrder | None:
        """Return the next upkeep, for a machine whose id is clear.

        An order without an answer goes first: it may have begun.
        """
        clear = [
            each
            for each in self._members_in(_Stage.CLEARING)
            if each.machine_id in drained_ids
        ]
        ready = self._members_in(_Stage.ORDERED) + clear
        if not ready:
            return None
        ready[0].note_ordered(now_ms)
        return MaintenanceOrder(ready[0].machine_id, self.request.number, token)

    def record_outcome(
        self, order: MaintenanceOrder, outcome: MaintenanceOutcome, now_ms: int
    ) -> None:
        """Take the answer to an order."""
        member = self.members[order.machine_id]
        if outcome is MaintenanceOutcome.BEGUN:
            member.stage = _Stage.BEGUN
            member.down_since_ms = now_ms
        elif outcome in {
            MaintenanceOutcome.NOT_IN_WAVE,
            MaintenanceOutcome.NO_MACHINE,
        }:
            member.stage = _Stage.LEFT_OUT
            member.is_down = False

    def _members_in(self, stage: _Stage) -> list[_Member]:
        return [
            member for member in self.members.values() if member.stage is stage
        ]

    def _note_listed(
        self, member: _Member, machine: MachineInfo | None, asked_ms: int
    ) -> None:
        if machine is None:
            if member.stage in {_Stage.WAITING, _Stage.CLEARING}:
                # It has left the platform for good.
                member.stage = _Stage.LEFT_OUT
            return
        # An up machine may be listed so by an answer from before its upkeep.
        is_new = asked_ms > member.down_since_ms + self.maintenance_ms
        has_begun = member.stage is _Stage.BEGUN
        if has_begun and machine.state is MachineState.UP and is_new:
            member.is_down = False

    def _begin_clearing(
        self, listed: dict[str, MachineInfo], now_ms: int
    ) -> None:
        waiting = [
            member
            for member in self._members_in(_Stage.WAITING)
            if listed[member.machine_id].state is MachineState.UP
        ]
        busy = sum(
            1
            for member in self.members.values()
            if member.is_down or member.stage is _Stage.CLEARING
        )
        free = max(0, self.request.max_unavailable - busy)
        for member in waiting[:free]:
            member.stage = _Stage.CLEARING
            member.until_ms = now_ms + self._clearing_ms(now_ms, len(waiting))

    def _clearing_ms(self, now_ms: int, waiting: int) -> int:
        """Return how long a machine may be cleared for the rest to fit."""
        rounds = -(-waiting // max(1, self.request.max_unavailable))
        left_ms = max(0, self.request.deadline_ms - now_ms)
        each_ms = left_ms / max(1, rounds) - self.maintenance_ms
        return max(0, int(each_ms * DRAIN_TIME_SHARE))


def create_wave(request: WaveRequest, maintenance_ms: int) -> MaintenanceWave:
    """Return a wave of which nothing is done yet."""
    members = {
        machine_id: _Member(machine_id) for machine_id in request.machine_ids
    }
    return MaintenanceWave(request, maintenance_ms, members)
