"""The interface between entry instances."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from gentianpulley.document import Document, DocumentKind
from gentianpulley.resources import NO_RESOURCES, Resources
from gentianpulley.task import TaskOrder, TaskReport


@dataclass(frozen=True, slots=True)
class Headroom:
    """Free capacity of one owner: summed, and at its roomiest worker.

    `shapes` are the distinct capacities of its workers.
    """

    total: Resources = NO_RESOURCES
    largest: Resources = NO_RESOURCES
    free_slots: int = 0
    owned_workers: int = 0
    shapes: tuple[Resources, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """What an instance says of itself in a heartbeat."""

    instance: str
    boot_id: str
    failure_domain: str
    cfg_revision: int
    domains_revision: int
    draining: bool
    store_heard_ms: int
    headroom: Headroom


class Peer(ABC):
    """One entry instance, as others see it.

    Remote implementations raise `PeerUnreachableError` when nothing was sent
    and `PeerSilentError` when the effect is not known. Every method may be
    called again with the same arguments: task ids make them idempotent.
    """

    @abstractmethod
    def run(self, order: TaskOrder, wait_ms: int) -> TaskReport:
        """Place and start a task; waits up to `wait_ms` for its answer."""

    @abstractmethod
    def await_answer(
        self, task_id: str, worker: str, wait_ms: int
    ) -> TaskReport:
        """Wait up to `wait_ms` for the end of a task on an owned worker."""

    @abstractmethod
    def cancel(self, task_id: str, worker: str) -> TaskReport:
        """Stop a task on an owned worker and report how it ended."""

    @abstractmethod
    def cancel_local(self, request_keys: tuple[str, ...]) -> tuple[str, ...]:
        """Cancel requests without records; returns the keys it knew."""

    @abstractmethod
    def heartbeat(self, status: PeerStatus) -> PeerStatus:
        """Exchange heartbeats."""

    @abstractmethod
    def fetch_document(self, kind: DocumentKind) -> Document | None:
        """Return the document that the peer has in force."""
