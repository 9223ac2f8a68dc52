"""The interface to the machines on which the workers run.

A worker is one incarnation of a machine: after maintenance or a migration,
another worker represents the same machine.
"""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from gentianpulley.cluster.leader_store import LeaderStore


class MachineState(enum.Enum):
    """The state of a machine as reported by the platform."""

    UP = 'up'
    MOVING = 'moving'
    MAINTENANCE = 'upkeep'
    DOWN = 'down'


class MaintenanceOutcome(enum.Enum):
    """The outcome of a maintenance order.

    Maintenance may have started only if the outcome is BEGUN or LOST.
    """

    BEGUN = enum.auto()
    FENCED = enum.auto()
    BUSY = enum.auto()
    NOT_IN_WAVE = enum.auto()
    NO_MACHINE = enum.auto()
    REFUSED = enum.auto()
    LOST = enum.auto()


@dataclass(frozen=True, slots=True)
class MachineInfo:
    """One machine; `worker_id` is empty while it has no worker."""

    machine_id: str
    state: MachineState
    worker_id: str = ''


@dataclass(frozen=True, slots=True)
class MaintenanceOrder:
    """Takes a machine of a wave down; `token` fences previous leaders."""

    machine_id: str
    wave: int
    token: int


@dataclass(frozen=True, slots=True)
class WaveRequest:
    """A request by operators for the maintenance of these machines.

    Maintenance of each must start by `deadline_ms`, and at most
    `max_unavailable` machines may be down for it at the same time.
    """

    number: int
    machine_ids: tuple[str, ...]
    deadline_ms: int
    max_unavailable: int


class MachineProvider(ABC):
    """The platform's machines; raises `MachineParkError` if a call fails."""

    @abstractmethod
    def list_machines(self) -> tuple[MachineInfo, ...]:
        """Return all machines."""

    @abstractmethod
    def report_wave(
        self, wave: int, store: LeaderStore, *, is_completed: bool
    ) -> None:
        """Report a wave's progress to operators; raises `StoreError`."""

    @abstractmethod
    def begin_maintenance(self, order: MaintenanceOrder) -> MaintenanceOutcome:
        """Take a machine down; failures are returned as outcomes."""
