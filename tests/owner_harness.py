"""An owner without its daemon: real components, fake worker and platform."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from gentianpulley.cfg import encode_cfg
from gentianpulley.cfg_folder import load_cfg_folder
from gentianpulley.control_state import ControlState, MemberRecord
from gentianpulley.deadline import deadline_in
from gentianpulley.document import Document, DocumentKind, ActiveDocuments
from gentianpulley.etcd_store import connect_store
from gentianpulley.http_conn import HttpAddress
from gentianpulley.http_worker import HttpWorkerConnector
from gentianpulley.instance_list import ListedInstance, Presence, Role
from gentianpulley.job import StoredJob
from gentianpulley.job_store import JobStore
from gentianpulley.group_commit import GroupCommitWriter
from gentianpulley.logs import EventLog
from gentianpulley.membership import Membership
from gentianpulley.owned_worker import OwnedWorker
from gentianpulley.placement import create_placement
from gentianpulley.resources import Resources
from gentianpulley.start_gate import Isolation, StartGate
from gentianpulley.store import Store
from gentianpulley.task import TaskOrder
from gentianpulley.task_finalizer import TaskFinalizer
from gentianpulley.task_entry import TaskTable
from gentianpulley.task_runner import TaskRunner
from gentianpulley.worker_fleet import WorkerFleet
from gentianpulley.worker_reconciler import WorkerReconciler
from standins.platform import HOST, Platform
from standins.worker import Worker, WorkerSettings

CFG_FOLDER: Final = Path(__file__).parent / 'cfg'


@dataclass
class OwnerHarness:
    """One owner; `requeued` collects the jobs that it requeued."""

    store: Store
    writer: GroupCommitWriter
    jobs: JobStore
    fleet: WorkerFleet
    gate: StartGate
    runner: TaskRunner
    requeued: list[StoredJob]

    def add_worker(self, port: int, epoch: int) -> OwnedWorker:
        """Add the worker behind a port and take it over."""
        worker = self.fleet.add_worker(_listed(port), epoch, may_start=True)
        worker.take_over()
        return worker

    def reconciler(self, worker: OwnedWorker) -> WorkerReconciler:
        """Return a reconciler that runs only through calls of `step`."""
        return WorkerReconciler(
            worker, self.fleet, self.jobs, self.gate, EventLog()
        )


def build_owner(platform: Platform, name: str = 'owner') -> OwnerHarness:
    """Return an owner that stores its records on a fake platform."""
    log = EventLog()
    local_member = MemberRecord(name, 'boot', 'leith', 'h:1', 'h:2')
    store = connect_store(HttpAddress(HOST, platform.port))
    writer = GroupCommitWriter(store, log)
    writer.start()
    jobs = JobStore(store, writer, log)
    requeued: list[StoredJob] = []
    table = TaskTable()
    finalizer = TaskFinalizer(
        local_member.member_id, table, jobs, requeued.append, log
    )
    fleet = WorkerFleet(
        HttpWorkerConnector(), create_placement(), table, finalizer, log
    )
    gate = _gate(local_member, log)
    runner = TaskRunner(local_member.member_id, gate, fleet, jobs, log)
    return OwnerHarness(store, writer, jobs, fleet, gate, runner, requeued)


def start_worker(**settings: Any) -> Worker:
    """Start a fake worker on a thread."""
    server = Worker(
        WorkerSettings('worker-1', 'leith', 'rack-1', 0, **settings)
    )
    server.run_in_background()
    return server


def order(
    task_id: str, processors_milli: int = 1000, payload: bytes = b'{}'
) -> TaskOrder:
    """Return an order for work without a job record."""
    return TaskOrder(
        task_id=task_id,
        request_key=task_id.partition('#')[0],
        incarnation=1,
        work_class='fit-preview',
        team='clinic',
        need=Resources(processors_milli, 100),
        start_before_ms=deadline_in(10_000),
        deadline_ms=deadline_in(10_000),
        payload=payload,
    )


def _gate(local_member: MemberRecord, log: EventLog) -> StartGate:
    documents = ActiveDocuments(log)
    body = encode_cfg(load_cfg_folder(CFG_FOLDER)).decode()
    documents.update(Document(DocumentKind.CFG, 1, 'bench', body))
    state = ControlState(documents, log)
    state.has_snapshot = True
    isolation = Isolation(state, Membership(state, local_member))
    return StartGate(documents, isolation, local_member.failure_domain)


def _listed(port: int) -> ListedInstance:
    return ListedInstance(
        name='worker-1',
        role=Role.WORKER,
        failure_domain='leith',
        presence=Presence.LIVE,
        http=HttpAddress(HOST, port),
        peer=None,
    )
