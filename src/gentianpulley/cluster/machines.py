"""The interface to the machines under the workers.

A worker is one life of a machine: after upkeep or a move, another worker
stands for the same machine.
"""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from gentianpulley.cluster.leader_store import LeaderStore


class MachineState(enum.Enum):
    """What the platform says of a machine."""

    UP = 'up'
    MOVING = 'moving'
    MAINTENANCE = 'upkeep'
    DOWN = 'down'


class MaintenanceOutcome(enum.Enum):
    """What became of an upkeep order; only BEGUN and LOST may have begun."""

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
    """Takes a machine of a wave down; `token` fences off former leaders."""

    machine_id: str
    wave: int
    token: int


@dataclass(frozen=True, slots=True)
class WaveRequest:
    """Operators ask for the upkeep of these machines.

    Each has to begin it until `deadline_ms`, and at most `max_unavailable` may
    be down for it at the same time.
    """

    number: int
    machine_ids: tuple[str, ...]
    deadline_ms: int
    max_unavailable: int


class MachineProvider(ABC):
    """The platform's machines; raises `MachineParkError` when it fails."""

    @abstractmethod
    def list_machines(self) -> tuple[MachineInfo, ...]:
        """Return all machines."""

    @abstractmethod
    def report_wave(
        self, wave: int, store: LeaderStore, *, is_completed: bool
    ) -> None:
        """Tell operators how a wave stands; raises `StoreError`."""

    @abstractmethod
    def begin_maintenance(self, order: MaintenanceOrder) -> MaintenanceOutcome:
        """Take a machine down; failures are verdicts."""
