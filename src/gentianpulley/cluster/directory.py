"""The interface to the directory in which workers register themselves."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass

from gentianpulley.cluster.worker_protocol import WorkerRegistration


@dataclass(frozen=True, slots=True)
class RegistrationChange:
    """A changed registration; `registration` is None once it is removed.

    `revision` increases with each change, zero if the directory has none.
    """

    worker_id: str
    registration: WorkerRegistration | None
    revision: int = 0


@dataclass(frozen=True, slots=True)
class DirectoryBatch:
    """Changes up to a revision; empty when nothing has changed."""

    changes: tuple[RegistrationChange, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class DirectoryPage:
    """All registrations at one revision of the directory."""

    registrations: tuple[WorkerRegistration, ...]
    revision: int


class WorkerDirectory(ABC):
    """Registrations of workers; raises `StoreError` on a failure."""

    @abstractmethod
    def read(self) -> DirectoryPage:
        """Return all readable registrations."""

    @abstractmethod
    def watch(self, revision: int) -> Iterator[DirectoryBatch]:
        """Yield changes newer than `revision`; empty when idle."""
