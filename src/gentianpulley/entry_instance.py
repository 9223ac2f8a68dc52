"""One entry instance: builds, starts and shuts down all components."""

import secrets
import time
from typing import Final

from gentianpulley.background import BackgroundLoop
from gentianpulley.control_state import ControlState, MemberRecord
from gentianpulley.control_watch import ControlWatch
from gentianpulley.deadline import deadline_in, has_passed
from gentianpulley.document import ActiveDocuments
from gentianpulley.endpoint_slices import connect_instance_list
from gentianpulley.etcd_store import connect_store
from gentianpulley.heartbeats import PeerMonitor
from gentianpulley.http_front import FrontComponents, HttpFront
from gentianpulley.http_worker import HttpWorkerConnector
from gentianpulley.instance_peer import InstancePeer, StatusSource
from gentianpulley.instance_view import InstanceView
from gentianpulley.job import StoredJob
from gentianpulley.job_queue import JobQueue
from gentianpulley.job_store import JobStore
from gentianpulley.group_commit import GroupCommitWriter
from gentianpulley.logs import EventLog
from gentianpulley.member_lease import MemberLease
from gentianpulley.membership import Membership
from gentianpulley.metrics import Metrics
from gentianpulley.ownership_reconciler import OwnershipReconciler
from gentianpulley.peer_directory import PeerDirectory
from gentianpulley.peer_server import PeerServer
from gentianpulley.placement import create_placement
from gentianpulley.unrecorded_requests import UnrecordedRequests
from gentianpulley.record_gc import RecordGarbageCollector
from gentianpulley.recorded_requests import RecordedRequests
from gentianpulley.request_service import RequestComponents, RequestService
from gentianpulley.routing import Router
from gentianpulley.settings import DaemonSettings, checked_address
from gentianpulley.start_gate import Isolation, StartGate
from gentianpulley.job_recovery import JobRecovery
from gentianpulley.task_finalizer import TaskFinalizer
from gentianpulley.task_entry import TaskTable
from gentianpulley.task_client import TaskClient
from gentianpulley.task_runner import TaskRunner
from gentianpulley.worker_fleet import WorkerFleet

BOOT_ID_BYTES: Final = 4
DRAIN_POLL_S: Final = 0.05
DRAIN_PROPAGATION_DELAY_S: Final = 0.3
DRAIN_CLOSING_MARGIN_MS: Final = 4000


class EntryInstance:
    """Builds the components of an instance in dependency order."""

    def __init__(self, settings: DaemonSettings, log: EventLog) -> None:
        """Build all components without listening or connecting."""
        self._settings = settings
        self._log = log
        self.local_member = _member_record(settings)
        self._build_control()
        self._build_owner()
        self._build_coordinator()
        self._build_interfaces()

    def start(self) -> None:
        """Listen, join the cluster and serve; raises `OSError` on failure."""
        address = checked_address(self._settings.peer)
        self._server = PeerServer(address, self._peer, self._log)
        self._server.start()
        self._front.start()
        for loop in self._loops():
            loop.start()
        self._log.process_state('started')

    def shut_down(self) -> None:
        """Finish the requests in progress, hand over other work and stop.

        Requests in progress are answered within the drain deadline. Tasks on
        workers continue to run under their next owners.
        """
        deadline_ms = deadline_in(self._settings.drain_ms)
        self._log.process_state('draining')
        self._gate.is_draining = True
        self._peer_monitor.broadcast_heartbeat()
        time.sleep(DRAIN_PROPAGATION_DELAY_S)
        self._wait_for_callers(deadline_ms)
        self._ownership.release_all()
        self._ownership.stop()
        self._queue.stop()
        self._wait_for_pending_writes(deadline_ms)
        self._lease.deregister()
        self._front.stop()
        for loop in self._loops():
            loop.stop()
        self._server.close()
        self._log.process_state('stopped')

    def _build_control(self) -> None:
        settings = self._settings
        self._store = connect_store(checked_address(settings.store))
        self._instances = connect_instance_list(
            checked_address(settings.instance_list)
        )
        self._documents = ActiveDocuments(self._log)
        self._state = ControlState(self._documents, self._log)
        self._membership = Membership(self._state, self.local_member)
        self._directory = PeerDirectory(self._membership, self._state)
        self._isolation = Isolation(self._state, self._membership)
        self._gate = StartGate(
            self._documents, self._isolation, settings.failure_domain
        )
        self._watch = ControlWatch(self._store, self._state, self._log)
        self._lease = MemberLease(
            self._store, self._state, self.local_member, self._log
        )

    def _build_owner(self) -> None:
        member_id = self.local_member.member_id
        self._writer = GroupCommitWriter(self._store, self._log)
        self._jobs = JobStore(self._store, self._writer, self._log)
        table = TaskTable()
        finalizer = TaskFinalizer(
            member_id, table, self._jobs, self._take_requeued, self._log
        )
        self._fleet = WorkerFleet(
            HttpWorkerConnector(),
            create_placement(),
            table,
            finalizer,
            self._log,
        )
        self._runner = TaskRunner(
            member_id, self._gate, self._fleet, self._jobs, self._log
        )
        self._ownership = OwnershipReconciler(
            self._store,
            self._state,
            self._membership,
            self._fleet,
            self._log,
        )
        self._ownership.attach(self._jobs, self._gate)
        self._state.add_listener(self._ownership.wake)

    def _build_coordinator(self) -> None:
        self._router = Router(
            self._documents,
            self._membership,
            self._directory,
            self._fleet,
            self._gate,
        )
        task_client = TaskClient(self._router, self._directory, self._log)
        self._unrecorded = UnrecordedRequests(
            self.local_member.member_id, self._router, task_client
        )
        self._queue = JobQueue(
            self._documents, self._jobs, self._router, task_client, self._log
        )
        self._documents.add_listener(self._queue.wake)
        self._recorded = RecordedRequests(
            self.local_member.member_id,
            self._jobs,
            self._queue,
            task_client,
            self._log,
        )
        self._job_recovery = JobRecovery(
            self._state,
            self._membership,
            self._jobs,
            self._queue,
            self._log,
        )
        self._state.add_listener(self._job_recovery.on_members_changed)
        self._record_gc = RecordGarbageCollector(
            self._store, self._state, self.local_member, self._log
        )

    def _build_interfaces(self) -> None:
        status = StatusSource(
            self.local_member,
            self._documents,
            self._state,
            self._fleet,
            self._gate,
        )
        self._peer = InstancePeer(
            self._runner,
            self._unrecorded,
            self._membership,
            self._documents,
            status,
        )
        self._directory.register_local(self._peer)
        self._peer_monitor = PeerMonitor(
            self._instances,
            self._directory,
            self._membership,
            self._documents,
            status,
            self._log,
        )
        metrics = Metrics(self._documents)
        view = InstanceView(
            self._documents, self._membership, self._fleet, self._gate, status
        )
        view.attach(
            self._store,
            self._writer,
            self._queue,
            self._unrecorded,
            metrics,
            self._isolation,
        )
        self._request_service = RequestService(
            self._documents,
            self._gate,
            RequestComponents(
                self._unrecorded, self._recorded, self._router, self._directory
            ),
            metrics,
            self._log,
        )
        self._front = HttpFront(
            self._settings,
            FrontComponents(self._request_service, view, self._log),
        )

    def _take_requeued(self, stored: StoredJob) -> None:
        self._queue.add_requeued(stored)

    def _loops(self) -> list[BackgroundLoop]:
        return [
            self._watch,
            self._lease,
            self._peer_monitor,
            self._writer,
            self._ownership,
            self._queue,
            self._job_recovery,
            self._record_gc,
        ]

    def _wait_for_callers(self, deadline_ms: int) -> None:
        """Wait for requests in progress until the drain deadline.

        `DRAIN_CLOSING_MARGIN_MS` before it, callers of recorded work get the
        current state of their work; they may poll another instance.
        """
        closing_ms = deadline_ms - DRAIN_CLOSING_MARGIN_MS
        while self._request_service.in_progress() and not has_passed(
            closing_ms
        ):
            time.sleep(DRAIN_POLL_S)
        self._request_service.stop_waiting()
        while self._request_service.in_progress() and not has_passed(
            deadline_ms
        ):
            time.sleep(DRAIN_POLL_S)

    def _wait_for_pending_writes(self, deadline_ms: int) -> None:
        while self._writer.pending_count() and not has_passed(deadline_ms):
            time.sleep(DRAIN_POLL_S)


def create_entry_instance(
    settings: DaemonSettings, log: EventLog
) -> EntryInstance:
    """Return an instance that is built but not started."""
    return EntryInstance(settings, log)


def _member_record(settings: DaemonSettings) -> MemberRecord:
    return MemberRecord(
        instance=settings.instance,
        boot_id=secrets.token_hex(BOOT_ID_BYTES),
        failure_domain=settings.failure_domain,
        http=settings.http,
        peer=settings.peer,
    )
