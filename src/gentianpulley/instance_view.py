"""Status, metrics and document updates of an instance for operators."""

from gentianpulley.document import Document, ActiveDocuments
from gentianpulley.front_messages import (
    InstanceStatus,
    PeerSummary,
    WorkerStatus,
)
from gentianpulley.instance_peer import StatusSource
from gentianpulley.job_queue import JobQueue
from gentianpulley.group_commit import GroupCommitWriter
from gentianpulley.membership import Membership
from gentianpulley.metrics import ClassMetrics, Metrics
from gentianpulley.unrecorded_requests import UnrecordedRequests
from gentianpulley.start_gate import Isolation, StartGate
from gentianpulley.store import Store
from gentianpulley.worker_fleet import WorkerFleet


class InstanceView:
    """Reads the components of one instance; the daemon builds it once."""

    def __init__(
        self,
        documents: ActiveDocuments,
        membership: Membership,
        fleet: WorkerFleet,
        gate: StartGate,
        status: StatusSource,
    ) -> None:
        """Read the given components; `attach` sets the others."""
        self._documents = documents
        self._membership = membership
        self._fleet = fleet
        self._gate = gate
        self._status = status

    def attach(
        self,
        store: Store,
        writer: GroupCommitWriter,
        queue: JobQueue,
        unrecorded: UnrecordedRequests,
        metrics: Metrics,
        isolation: Isolation,
    ) -> None:
        """Set the components that provide counts."""
        self._store = store
        self._writer = writer
        self._queue = queue
        self._unrecorded = unrecorded
        self._metrics = metrics
        self._isolation = isolation

    def update_document(self, document: Document) -> None:
        """Activate a document that an operator sent if it is newer."""
        self._documents.update(document)

    def unready_reason(self) -> str:
        """Return why the instance accepts no requests; empty if it does."""
        if self._gate.is_draining:
            return 'draining'
        if not self._gate.has_synced():
            return 'no cfg yet'
        return ''

    def status(self) -> InstanceStatus:
        """Return the current status."""
        reason = self.unready_reason()
        return InstanceStatus(
            peer=self._status.read(),
            ready=not reason,
            unready_reason=reason,
            domain_is_out=self._gate.domain_is_out(),
            isolated_since_ms=self._isolation.since_ms(),
            queued_jobs=self._queue.size(),
            unsettled_writes=self._writer.pending_count(),
            store_calls=self._store.call_count(),
            workers=self._workers(),
            peers=self._peers(),
        )

    def measurements(self) -> tuple[ClassMetrics, ...]:
        """Return histograms and counts for the burn report."""
        return self._metrics.export()

    def metrics_text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        headroom = self._fleet.headroom()
        return self._metrics.render(
            {
                'owned_workers': headroom.owned_workers,
                'free_slots': headroom.free_slots,
                'free_processors_milli': headroom.total.processors_milli,
                'queued_jobs': self._queue.size(),
                'requests_in_progress': self._unrecorded.in_progress(),
                'unsettled_writes': self._writer.pending_count(),
                'store_calls_total': self._store.call_count(),
                'tasks_known': self._fleet.table.size(),
            }
        )

    def _workers(self) -> tuple[WorkerStatus, ...]:
        return tuple(
            WorkerStatus(
                worker.name,
                worker.epoch,
                worker.is_admitting,
                _running_count(self._fleet, worker.name),
            )
            for worker in self._fleet.workers()
        )

    def _peers(self) -> tuple[PeerSummary, ...]:
        return tuple(
            PeerSummary(
                view.instance,
                view.failure_domain,
                view.is_reachable,
                view.has_lease,
            )
            for view in self._membership.peers()
        )


def _running_count(fleet: WorkerFleet, worker: str) -> int:
    return len(fleet.table.active_on(worker))
