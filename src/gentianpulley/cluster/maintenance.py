"""Maintenance waves: which machine goes down next, and when it is drained.

Handles operators who want to renew many machines in a short time while their
workers are full. Machines are drained one slot after the other: work that
checkpoints is stopped, other work may end, and long-running tasks are migrated
within the limits of their job. This module decides; the leader's thread calls
the platform.

A machine counts as down from the order on, until the platform lists it as up
again in a response to a request sent after the maintenance started. One that is
down for another wave, or that the platform lists so, counts as well. If a wave
is withdrawn, an order without a reply is not sent again, and its machine counts
until the order cannot arrive any more.
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
from gentianpulley.cluster.wave_records import WaveProgress
from gentianpulley.cluster.timing import MAX_ORDER_DELAY_MS

DRAIN_TIME_SHARE: Final = 0.8
"""Fraction of the time per machine in which its work may end. The rest is for
the maintenance calls, which may be slow."""

NO_MACHINES: Final[frozenset[str]] = frozenset()


class _Stage(enum.Enum):
    """The progress of one machine of a wave.

    An order for one that is WITHDRAWN may have been sent, and none is sent
    again.
    """

    WAITING = enum.auto()
    DRAINING = enum.auto()
    ORDERED = enum.auto()
    STARTED = enum.auto()
    OMITTED = enum.auto()
    WITHDRAWN = enum.auto()


_FINISHED: Final = frozenset((_Stage.STARTED, _Stage.OMITTED, _Stage.WITHDRAWN))


@dataclass(slots=True)
class _Member:
    """One machine of a wave.

    `drain_deadline_ms` is when draining ends at the latest, zero before it has
    started. `down_since_ms` is when the first maintenance order was sent or,
    once maintenance has started, when the response came, or when what a
    previous leader recorded was read; zero before the first order. Once the
    machine is withdrawn, it is until when an order may arrive.
    """

    machine_id: str
    stage: _Stage = _Stage.WAITING
    drain_deadline_ms: int = 0
    down_since_ms: int = 0
    is_down: bool = False

    @property
    def is_out_of_service(self) -> bool:
        """Return whether its worker gets no runs, and is drained."""
        if self.stage is _Stage.WITHDRAWN:
            return self.is_down
        return self.stage in {_Stage.DRAINING, _Stage.ORDERED}

    def withdraw(self, now_ms: int) -> None:
        """Send no more orders; one without a reply may arrive late."""
        if self.stage is _Stage.ORDERED:
            self.stage = _Stage.WITHDRAWN
            self.down_since_ms = now_ms + MAX_ORDER_DELAY_MS
        elif self.stage not in _FINISHED:
            self.stage = _Stage.OMITTED

    def request_again(self) -> None:
        """Send orders for a machine that was withdrawn or omitted."""
        if self.stage is _Stage.WITHDRAWN and self.is_down:
            self.stage = _Stage.ORDERED
        elif self.stage in {_Stage.WITHDRAWN, _Stage.OMITTED}:
            self.stage = _Stage.WAITING
            self.drain_deadline_ms = 0

    def record_order(self, now_ms: int) -> None:
        """Record that an order is sent, for the first time or again."""
        self.stage = _Stage.ORDERED
        self.is_down = True
        self.down_since_ms = self.down_since_ms or now_ms


@dataclass(frozen=True, slots=True)
class Drain:
    """The worker of a machine gets no new runs and is drained by a deadline.

    `worker_id` is empty if the machine has no worker.
    """

    machine_id: str
    worker_id: str
    deadline_ms: int


@dataclass(slots=True)
class MaintenanceWave:
    """The state of one maintenance wave and the rules that it follows.

    `listed_down` are its machines that the latest list shows in maintenance.
    `is_withdrawn` is set once operators have withdrawn the request.
    """

    request: WaveRequest
    maintenance_ms: int
    members: dict[str, _Member] = field(default_factory=dict)
    listed_down: frozenset[str] = frozenset()
    is_withdrawn: bool = False

    @property
    def is_completed(self) -> bool:
        """Whether every machine that is not omitted has started maintenance."""
        return all(
            member.stage in _FINISHED for member in self.members.values()
        )

    @property
    def progress(self) -> WaveProgress:
        """Return what the next leader has to know."""
        withdrawn = (
            member.machine_id
            for member in self._members_in(_Stage.WITHDRAWN)
            if member.is_down
        )
        return WaveProgress(
            (*self._ids_in(_Stage.ORDERED), *withdrawn),
            self._ids_in(_Stage.STARTED),
        )

    @property
    def down_machines(self) -> frozenset[str]:
        """Return the machines that are or may be down for this wave."""
        return frozenset(
            member.machine_id
            for member in self.members.values()
            if member.is_down
        )

    def restore(self, progress: WaveProgress, now_ms: int) -> None:
        """Restore the progress that a previous leader recorded.

        What it ordered may start at any time, and what it started may not be
        over. So all these machines count as down: the former until an order of
        this leader is answered, all until they are listed as up again. It may
        have started a moment ago, so lists count only from a maintenance on.
        """
        stages = dict.fromkeys(progress.ordered, _Stage.ORDERED)
        stages.update(dict.fromkeys(progress.started, _Stage.STARTED))
        for machine_id, stage in stages.items():
            self.members[machine_id] = _Member(
                machine_id, stage, down_since_ms=now_ms, is_down=True
            )

    def withdraw(self, now_ms: int) -> None:
        """Send no more orders; what was ordered or started counts as down."""
        self.is_withdrawn = True
        for member in self.members.values():
            member.withdraw(now_ms)

    def replace_request(self, request: WaveRequest, now_ms: int) -> None:
        """Carry out a changed request, or a wave that was withdrawn.

        Orders for machines that it does not name are not sent again, but count
        as those of a withdrawn wave.
        """
        self.request = request
        self.is_withdrawn = False
        for member in self.members.values():
            if member.machine_id not in request.machine_ids:
                member.withdraw(now_ms)
            elif member.stage is _Stage.DRAINING:
                member.drain_deadline_ms = 0
        for machine_id in request.machine_ids:
            requested = self.members.setdefault(machine_id, _Member(machine_id))
            requested.request_again()

    def update_machines(
        self,
        machines: Iterable[MachineInfo],
        requested_ms: int,
        now_ms: int,
        down_elsewhere: frozenset[str] = NO_MACHINES,
    ) -> tuple[Drain, ...]:
        """Process a list of machines; returns the workers out of service.

        `requested_ms` is when the list was requested, and `down_elsewhere` are
        the machines that are down for other waves.
        """
        listed = {machine.machine_id: machine for machine in machines}
        for machine_id, member in self.members.items():
            self._update_from_listing(
                member, listed.get(machine_id), requested_ms
            )
        self.listed_down = frozenset(
            machine.machine_id
            for machine in listed.values()
            if machine.state is MachineState.MAINTENANCE
        )
        self._start_draining(listed, now_ms, down_elsewhere)
        return self._drains(listed)

    def next_order(
        self,
        drained_ids: frozenset[str],
        token: int,
        now_ms: int,
        down_elsewhere: frozenset[str] = NO_MACHINES,
    ) -> MaintenanceOrder | None:
        """Return the next order, for a machine in `drained_ids`, or None.

        An order without a reply is sent again first, as that maintenance may
        have started. If it has not, what runs there now ends with the next one.
        """
        ordered = self._members_in(_Stage.ORDERED)
        down = self._down_machines(down_elsewhere)
        # A previous leader may have ordered more, if more were allowed then.
        limit = max(self.request.max_unavailable, len(ordered))
        for member in ordered + self._members_in(_Stage.DRAINING):
            is_drained = member.machine_id in drained_ids
            if is_drained and len(down - {member.machine_id}) < limit:
                member.record_order(now_ms)
                return MaintenanceOrder(
                    member.machine_id, self.request.number, token
                )
        return None

    def record_outcome(
        self, order: MaintenanceOrder, outcome: MaintenanceOutcome, now_ms: int
    ) -> None:
        """Update the machine of an order with the outcome."""
        member = self.members[order.machine_id]
        if outcome is MaintenanceOutcome.BEGUN:
            member.stage = _Stage.STARTED
            member.down_since_ms = now_ms
        elif outcome in {
            MaintenanceOutcome.NOT_IN_WAVE,
            MaintenanceOutcome.NO_MACHINE,
        }:
            member.stage = _Stage.OMITTED
            member.is_down = False

    def _drains(self, listed: dict[str, MachineInfo]) -> tuple[Drain, ...]:
        """Return the workers out of service, as their machines are listed."""
        workers = {
            machine.machine_id: machine.worker_id for machine in listed.values()
        }
        return tuple(
            Drain(
                member.machine_id,
                workers.get(member.machine_id, ''),
                member.drain_deadline_ms,
            )
            for member in self.members.values()
            if member.is_out_of_service
        )

    def _members_in(self, stage: _Stage) -> list[_Member]:
        return [
            member for member in self.members.values() if member.stage is stage
        ]

    def _ids_in(self, stage: _Stage) -> tuple[str, ...]:
        return tuple(member.machine_id for member in self._members_in(stage))

    def _down_machines(self, down_elsewhere: frozenset[str]) -> frozenset[str]:
        """Return the wave's machines that may be down, for whichever wave."""
        others = self.members.keys() & (down_elsewhere | self.listed_down)
        return self.down_machines | others

    def _update_from_listing(
        self, member: _Member, machine: MachineInfo | None, requested_ms: int
    ) -> None:
        has_left = machine is None
        if has_left and member.stage in {_Stage.WAITING, _Stage.DRAINING}:
            # The machine has left the platform permanently.
            member.stage = _Stage.OMITTED
        # A response from before the maintenance may still list it as up.
        is_new = requested_ms > member.down_since_ms + self.maintenance_ms
        if not is_new:
            return
        is_up = machine is not None and machine.state is MachineState.UP
        is_withdrawn = self.is_withdrawn or member.stage is _Stage.WITHDRAWN
        is_settled = member.stage in {_Stage.STARTED, _Stage.WITHDRAWN}
        if is_settled and (is_up or (has_left and is_withdrawn)):
            member.is_down = False

    def _start_draining(
        self,
        listed: dict[str, MachineInfo],
        now_ms: int,
        down_elsewhere: frozenset[str],
    ) -> None:
        draining = self._ids_in(_Stage.DRAINING)
        busy = self._down_machines(down_elsewhere).union(draining)
        waiting = [
            member
            for member in self._members_in(_Stage.WAITING)
            if member.machine_id not in busy
            and listed[member.machine_id].state is MachineState.UP
        ]
        free = max(0, self.request.max_unavailable - len(busy))
        for member in waiting[:free]:
            member.stage = _Stage.DRAINING
        drain_deadline_ms = now_ms + self._drain_ms(now_ms, len(waiting))
        for member in self.members.values():
            # What a previous leader ordered has none yet.
            if member.is_out_of_service and not member.drain_deadline_ms:
                member.drain_deadline_ms = drain_deadline_ms

    def _drain_ms(self, now_ms: int, waiting: int) -> int:
        """Return the drain time that leaves enough for the other machines."""
        batches = -(-waiting // max(1, self.request.max_unavailable))
        left_ms = max(0, self.request.deadline_ms - now_ms)
        per_machine_ms = left_ms / max(1, batches) - self.maintenance_ms
        return max(0, int(per_machine_ms * DRAIN_TIME_SHARE))


def create_wave(request: WaveRequest, maintenance_ms: int) -> MaintenanceWave:
    """Return a wave in which no machine has been processed."""
    members = {
        machine_id: _Member(machine_id) for machine_id in request.machine_ids
    }
    return MaintenanceWave(request, maintenance_ms, members)


def restore_withdrawn_wave(
    number: int, progress: WaveProgress, maintenance_ms: int, now_ms: int
) -> MaintenanceWave:
    """Return a wave of a previous leader that is not requested any more."""
    wave = create_wave(WaveRequest(number, (), 0, 0), maintenance_ms)
    wave.restore(progress, now_ms)
    wave.withdraw(now_ms)
    return wave
