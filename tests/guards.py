"""Switches guards off to check that the proofs fail without them.

The shipped code has no such switches: each function here replaces one method
from the outside. `tests.guarded_daemon` patches the daemons of a test cluster.
"""

import os
from collections.abc import Callable
from typing import Any, Final

from gentianpulley import etcd_store, http_worker
from gentianpulley.document import ActiveDocuments, DomainStates
from gentianpulley.entry_instance import EntryInstance
from gentianpulley.etcd_messages import TxnRequest
from gentianpulley.heartbeats import PeerHeartbeat
from gentianpulley.job_store import CreateResult, JobStore
from gentianpulley.reservations import WorkerReservations
from gentianpulley.owned_worker import OwnedWorker
from gentianpulley.ownership_reconciler import OwnershipReconciler
from gentianpulley.result_code import WORKER_REFUSED
from gentianpulley.start_gate import Isolation, StartGate
from gentianpulley.job_recovery import JobRecovery
from gentianpulley.task_finalizer import TaskFinalizer
from gentianpulley.task_runner import TaskRunner
from gentianpulley.worker import TaskList
from gentianpulley.worker_fleet import WorkerFleet
from gentianpulley.worker_reconciler import WorkerReconciler
from tests.answer_guards import ANSWER_GUARDS
from tests.capacity_guards import CAPACITY_GUARDS
from tests.ceiling_guards import CEILING_GUARDS
from tests.cluster_guards import CLUSTER_GUARDS, replace
from tests.crash_guards import CRASH_GUARDS
from tests.customer_guards import CUSTOMER_GUARDS
from tests.input_guards import INPUT_GUARDS
from tests.load_guards import LOAD_GUARDS
from tests.pause_guards import PAUSE_GUARDS
from tests.silence_guards import SILENCE_GUARDS

VARIABLE: Final = 'GENTIANPULLEY_TEST_GUARD_OFF'
HUGE_EPOCH: Final = 1 << 40


def ledger_capacity() -> None:
    """Treat every worker as idle."""
    replace(
        WorkerReservations,
        'free',
        property(lambda reservations: reservations.capacity),
    )


def takeover_adoption() -> None:
    """Discard at a takeover the tasks that run on the worker."""
    original = OwnedWorker.take_over

    def take_over(worker: OwnedWorker) -> TaskList:
        listed = original(worker)
        for task in listed.tasks:
            worker.release(task.task_id)
        return listed

    replace(OwnedWorker, 'take_over', take_over)
    replace(WorkerReservations, 'add_running', lambda reservations, tasks: None)


def unknown_keeps_share() -> None:
    """Release the reservation of a start whose response was lost."""
    original = TaskRunner._send_again

    def send_again(runner: Any, entry: Any, worker: Any) -> Any:
        report = original(runner, entry, worker)
        worker.release(entry.task_id)
        return report

    replace(TaskRunner, '_send_again', send_again)


def silent_is_unknown() -> None:
    """Treat a start without a response as one that was not sent."""
    replace(
        TaskRunner,
        '_send_again',
        lambda runner, entry, worker: runner._ending.mark_refused(
            entry, worker, WORKER_REFUSED
        ),
    )


def create_cas() -> None:
    """Treat every record as a new one."""
    original = JobStore.create

    def create(jobs: JobStore, job: Any, payload: bytes, until: int) -> Any:
        created = original(jobs, job, payload, until)
        return CreateResult(created.stored, is_new=True)

    replace(JobStore, 'create', create)
    without_compare()


def without_compare() -> None:
    """Write without comparing revisions."""
    original = etcd_store._nested_txn

    def nested_txn(write: Any) -> TxnRequest:
        txn = original(write)
        return TxnRequest(success=txn.success)

    replace(etcd_store, '_nested_txn', nested_txn)


def adoption_reads_list() -> None:
    """Treat every adopted job as one that its worker does not list."""
    original = WorkerReconciler._adopt_jobs

    def adopt(reconciler: Any, listed: TaskList) -> None:
        original(reconciler, TaskList(listed.boot_id, listed.epoch, ()))

    replace(WorkerReconciler, '_adopt_jobs', adopt)


def epoch_fence() -> None:
    """Send every command with an epoch that no fence refuses."""
    original = OwnedWorker.__init__

    def init(worker: Any, name: str, epoch: int, *args: Any, **kw: Any) -> None:
        original(worker, name, HUGE_EPOCH, *args, **kw)

    replace(OwnedWorker, '__init__', init)


def gate_domain() -> None:
    """Start tasks regardless of the state of the failure domain."""
    replace(ActiveDocuments, 'domains', property(lambda _: DomainStates()))


def gossip() -> None:
    """Fetch no documents from peers."""
    replace(PeerHeartbeat, '_catch_up', lambda *_: None)


def isolation() -> None:
    """Never treat the failure domain as isolated."""
    replace(Isolation, 'since_ms', lambda _: 0)


def answer_check() -> None:
    """Accept every answer without a check."""
    replace(http_worker, '_checked', lambda status, task_id: status)


def leaving() -> None:
    """Treat no worker as leaving."""
    replace(WorkerFleet, 'is_leaving', lambda fleet, name: False)


def drain() -> None:
    """Exit at once on a request to stop."""
    replace(EntryInstance, 'shut_down', lambda instance: os._exit(0))


def revision_order() -> None:
    """Activate every document."""
    replace(ActiveDocuments, 'revision', lambda documents, kind: -1)


def informed() -> None:
    """Trust the first document that arrives."""
    replace(StartGate, 'has_synced', lambda gate: gate._shelf.cfg is not None)


def caretakers() -> None:
    """Do not take over workers of an abandoned failure domain."""
    replace(OwnershipReconciler, '_is_abandoned', lambda *_: False)


def succession() -> None:
    """Do not adopt the jobs of dead coordinators."""
    replace(JobRecovery, '_adopt', lambda *_: None)


def stale_list() -> None:
    """Treat every task list as newer than all starts."""
    original = WorkerReconciler._settle_absent
    replace(
        WorkerReconciler,
        '_settle_absent',
        lambda reconciler, entry, asked_ms: original(
            reconciler, entry, HUGE_EPOCH << 10
        ),
    )


def stopped_is_cancelled() -> None:
    """Treat a stopped task as a lost one."""
    replace(
        TaskFinalizer,
        'mark_cancelled',
        lambda finalizer, entry, worker, has_run: finalizer.mark_lost(
            entry, worker
        ),
    )


GUARDS: dict[str, Callable[[], None]] = {
    'ledger-capacity': ledger_capacity,
    'takeover-adoption': takeover_adoption,
    'unknown-keeps-share': unknown_keeps_share,
    'silent-is-unknown': silent_is_unknown,
    'create-cas': create_cas,
    'compare': without_compare,
    'adoption-reads-list': adoption_reads_list,
    'epoch-fence': epoch_fence,
    'gate-domain': gate_domain,
    'gossip': gossip,
    'isolation': isolation,
    'answer-check': answer_check,
    'leaving': leaving,
    'drain': drain,
    'revision-order': revision_order,
    'informed': informed,
    'caretakers': caretakers,
    'succession': succession,
    'stale-list': stale_list,
    'stopped-is-cancelled': stopped_is_cancelled,
    **ANSWER_GUARDS,
    **CAPACITY_GUARDS,
    **CEILING_GUARDS,
    **CLUSTER_GUARDS,
    **CRASH_GUARDS,
    **CUSTOMER_GUARDS,
    **INPUT_GUARDS,
    **LOAD_GUARDS,
    **PAUSE_GUARDS,
    **SILENCE_GUARDS,
}


def switch_off_named() -> None:
    """Switch off the guard named in the environment, if any."""
    name = os.environ.get(VARIABLE, '')
    if name:
        GUARDS[name]()
