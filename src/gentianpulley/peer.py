"""The interface between entry instances."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from gentianpulley.document import Document, DocumentKind
from gentianpulley.resources import NO_RESOURCES, Resources
from gentianpulley.task import TaskOrder, TaskReport


@dataclass(frozen=True, slots=True)
class Headroom:
    """Free capacity of one owner.

    `total` is the sum over its workers and `largest` the free capacity of the
    worker with the most. `shapes` are the distinct capacities of its workers.
    """

    total: Resources = NO_RESOURCES
    largest: Resources = NO_RESOURCES
    free_slots: int = 0
    owned_workers: int = 0
    shapes: tuple[Resources, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """The status that an instance sends in a heartbeat."""

    instance: str
    boot_id: str
    failure_domain: str
    cfg_revision: int
    domains_revision: int
    draining: bool
    store_heard_ms: int
    headroom: Headroom


class Peer(ABC):
    """The calls that one entry instance serves for others.

    Remote implementations raise `PeerUnreachableError` when nothing was sent
    and `PeerSilentError` when it is unknown whether the call took effect.
    Every method may be retried with the same arguments: task ids make them
    idempotent.
    """

    @abstractmethod
    def run(self, order: TaskOrder, wait_ms: int) -> TaskReport:
        """Place and start a task, waiting up to `wait_ms` for its answer."""

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
        """Cancel unrecorded requests; returns the keys that were in flight."""

    @abstractmethod
    def heartbeat(self, status: PeerStatus) -> PeerStatus:
        """Send the heartbeat `status` and return the heartbeat of the peer."""

    @abstractmethod
    def fetch_document(self, kind: DocumentKind) -> Document | None:
        """Return the document of `kind` that is active on the peer."""
