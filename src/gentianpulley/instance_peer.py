"""The peer interface of the local instance."""

from gentianpulley.control_state import ControlState, MemberRecord
from gentianpulley.document import Document, DocumentKind, ActiveDocuments
from gentianpulley.membership import Membership
from gentianpulley.peer import Peer, PeerStatus
from gentianpulley.unrecorded_requests import UnrecordedRequests
from gentianpulley.start_gate import StartGate
from gentianpulley.task import TaskOrder, TaskReport
from gentianpulley.task_runner import TaskRunner
from gentianpulley.worker_fleet import WorkerFleet


class StatusSource:
    """Builds the heartbeat of the local instance."""

    def __init__(
        self,
        local_member: MemberRecord,
        documents: ActiveDocuments,
        state: ControlState,
        fleet: WorkerFleet,
        gate: StartGate,
    ) -> None:
        """Read the status from the given components."""
        self._local_member = local_member
        self._documents = documents
        self._state = state
        self._fleet = fleet
        self._gate = gate

    def read(self) -> PeerStatus:
        """Return the current status."""
        return PeerStatus(
            instance=self._local_member.instance,
            boot_id=self._local_member.boot_id,
            failure_domain=self._local_member.failure_domain,
            cfg_revision=self._documents.revision(DocumentKind.CFG),
            domains_revision=self._documents.revision(DocumentKind.DOMAINS),
            draining=self._gate.is_draining,
            store_heard_ms=self._state.last_contact_ms,
            headroom=self._fleet.headroom(),
        )


class InstancePeer(Peer):
    """Serves peers and the local coordinator from the local components."""

    def __init__(
        self,
        runner: TaskRunner,
        unrecorded: UnrecordedRequests,
        membership: Membership,
        documents: ActiveDocuments,
        status: StatusSource,
    ) -> None:
        """Serve calls from the given components."""
        self._runner = runner
        self._unrecorded = unrecorded
        self._membership = membership
        self._documents = documents
        self._status = status

    def run(self, order: TaskOrder, wait_ms: int) -> TaskReport:
        """Place and start a task, waiting up to `wait_ms` for its answer."""
        return self._runner.run(order, wait_ms)

    def await_answer(
        self, task_id: str, worker: str, wait_ms: int
    ) -> TaskReport:
        """Wait up to `wait_ms` for the end of a task on an owned worker."""
        return self._runner.await_answer(task_id, worker, wait_ms)

    def cancel(self, task_id: str, worker: str) -> TaskReport:
        """Stop a task on an owned worker and report how it ended."""
        return self._runner.cancel(task_id, worker)

    def cancel_local(self, request_keys: tuple[str, ...]) -> tuple[str, ...]:
        """Cancel unrecorded requests; returns the keys that were in flight."""
        return tuple(
            key for key in request_keys if self._unrecorded.cancel(key)
        )

    def heartbeat(self, status: PeerStatus) -> PeerStatus:
        """Record the heartbeat of a peer and return the local one."""
        self._membership.update_heartbeat(status)
        return self._status.read()

    def fetch_document(self, kind: DocumentKind) -> Document | None:
        """Return the document of `kind` that is active on this instance."""
        return self._documents.document(kind)
