"""The interface to the directory in which workers register themselves."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass

from gentianpulley.cluster.link import WorkerFacts


@dataclass(frozen=True, slots=True)
class WorkerNews:
    """A registration that changed; `facts` is None once it is gone."""

    worker_id: str
    facts: WorkerFacts | None


@dataclass(frozen=True, slots=True)
class DirectoryBatch:
    """Changes up to a revision; empty when nothing has changed."""

    news: tuple[WorkerNews, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class DirectoryPage:
    """All registrations at one revision of the directory."""

    facts: tuple[WorkerFacts, ...]
    revision: int


class WorkerDirectory(ABC):
    """Registrations of workers; raises `StoreError` when it fails."""

    @abstractmethod
    def read(self) -> DirectoryPage:
        """Return all readable registrations."""

    @abstractmethod
    def watch(self, revision: int) -> Iterator[DirectoryBatch]:
        """Yield changes newer than `revision`; empty when idle."""
