"""Disables guards of the scheduler for the users' platform, one at a time.

As in `tests.guards`, every function replaces a member from the outside.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from gentianpulley.cluster import (
    absent_worker_prober,
    draining,
    ended_term,
    handover_state,
    image_separation,
    maintenance,
    maintenance_loop,
    pacing,
    read_freshness,
    run_tracker,
    scheduler_state,
    wave_records,
    worker_lifecycle,
    worker_suspension,
)
from gentianpulley.cluster.absent_worker_prober import AbsentWorkerProber
from gentianpulley.cluster.absent_workers import AbsentWorkers
from gentianpulley.cluster.claim_tracker import ClaimTracker
from gentianpulley.cluster.delay_cost import DelayCosts
from gentianpulley.cluster.election_policy import Candidate
from gentianpulley.cluster.fencing_tokens import FencingTokens
from gentianpulley.cluster.handover_state import HandoverState
from gentianpulley.cluster.leader import Leader
from gentianpulley.cluster.leader_elector import LeaderElector
from gentianpulley.cluster.leader_watches import WorkerWatch
from gentianpulley.cluster.read_freshness import Reread
from gentianpulley.cluster.scheduler_service import (
    Leadership,
    SchedulerService,
)
from gentianpulley.cluster.roster import Roster
from gentianpulley.cluster.scheduler import Scheduler
from gentianpulley.cluster.maintenance import MaintenanceWave
from gentianpulley.cluster.scheduler_state import LeaderTerm, SchedulerState
from gentianpulley.cluster.takeover import Takeover
from gentianpulley.cluster.timing import FOREVER, Timing, WorkerClock
from gentianpulley.cluster.wave_records import WaveProgress, WaveRecords
from gentianpulley.cluster.worker import Reservation, UnackedEnd, Worker
from gentianpulley.cluster.worker_lifecycle import WorkerLifecycle
from gentianpulley.cluster.worker_suspension import WorkerSuspension
from gentianpulley.errors import WorkerError
from gentianpulley.platform import directory
from gentianpulley.store import Transaction
from gentianpulley.task_client import MAX_SUBMIT_ATTEMPTS, TaskClient


def replace(owner: Any, name: str, member: Any) -> None:
    """Replace a member of a class or module."""
    setattr(owner, name, member)


def leader_exclusivity() -> None:
    """Accept new jobs even if the leader's key may be gone."""
    replace(
        Leadership,
        'is_exclusive',
        lambda leadership, _: not leadership.is_over(),
    )


def lapse_certainty() -> None:
    """Take leases for lapsed even if a successor may have renewed them."""
    replace(Leadership, 'exclusive_until_ms', FOREVER)


def replaced_registrations() -> None:
    """Apply each registration, also one that was replaced before."""
    update_worker = WorkerLifecycle.update_worker

    def update(state: Any, registration: Any, now_ms: int) -> Any:
        newest = dataclasses.replace(registration, revision=FOREVER)
        return update_worker(state, newest, now_ms)

    replace(WorkerLifecycle, 'update_worker', update)


def nesting() -> None:
    """Let the decoder raise what it likes for an entry of the directory."""
    replace(
        directory, 'decode_json', lambda decoder, body: decoder.decode(body)
    )


def earlier_terms() -> None:
    """Ignore the leaders before the one whose process has ended."""
    add_record = Takeover.with_term_record

    def forget_earlier(state: Any, roster: Any, now_ms: int) -> Any:
        recorded: Any = add_record(state, roster, now_ms)
        record = dataclasses.replace(recorded.term, earlier_left_ms=0)
        return dataclasses.replace(recorded, term=record)

    replace(Takeover, 'with_term_record', forget_earlier)


def ended_late() -> None:
    """End a term whatever the revisions of the key and the roster."""
    replace(
        ended_term, 'Transaction', lambda _, *writes: Transaction((), *writes)
    )


def ended_early() -> None:
    """Wait after an ended term for its leases by its workers' known clocks."""
    replace(Timing, 'max_run_ms', property(lambda timing: timing.lease_ms))


def ended_term_kept() -> None:
    """Leave the term of the previous process as it is."""
    replace(ended_term.EndedTerm, 'end', lambda *_: None)


def same_machine() -> None:
    """Take any leader for the previous process of the same instance."""
    replace(Candidate, 'is_same_machine', lambda *_: True)


def earlier_sending() -> None:
    """Treat any refusal of a start as conclusive for all its sendings."""
    replace(run_tracker, 'INCONCLUSIVE_VERDICTS', frozenset())


def answered_start() -> None:
    """Treat any run that was not listed as one that may still begin."""
    replace(
        Reservation,
        'may_start_late',
        lambda reservation, _: not reservation.is_listed,
    )


def restarted_start() -> None:
    """Take an answered start for one of the incarnation that is known."""
    replace(Reservation, 'may_have_moved', False)


def poll_before_start() -> None:
    """Send what waits for an unresponsive worker without polling it first."""

    def withdraw_start(service: Any, order: Any) -> bool:
        sender = service._sinks[order.worker_id].sender
        asyncio.ensure_future(sender.send(order, 0))
        return True

    replace(SchedulerService, 'withdraw_start', withdraw_start)


def handover() -> None:
    """Start inherited tasks at once, even if unseen runs may continue."""
    replace(Scheduler, 'is_handover_complete', lambda *_: True)


def _skip_reread(part: Reread) -> None:
    begin = SchedulerService.begin_loading

    def begin_loading(service: SchedulerService) -> None:
        begin(service)
        service.mark_reread(part)

    replace(SchedulerService, 'begin_loading', begin_loading)


def cancellations_first() -> None:
    """Start loaded jobs before what was cancelled meanwhile is known."""
    _skip_reread(Reread.CANCELLATIONS)


def cancellations_watched() -> None:
    """Start jobs however long no cancellations were reported."""
    replace(read_freshness, 'MAX_CANCELLATION_AGE_MS', FOREVER)


def workers_first() -> None:
    """Start before the directory is read again after the load."""
    _skip_reread(Reread.WORKERS)


def domains_amid_load() -> None:
    """Tell a leader that has not loaded yet of no closed domain."""
    tell = Leader.replace_closed_domains

    def replace_closed_domains(leader: Any, domains: frozenset[str]) -> None:
        service = leader.scheduler_service
        if service is None or service.are_jobs_loaded:
            tell(leader, domains)

    replace(Leader, 'replace_closed_domains', replace_closed_domains)


def domains_first() -> None:
    """Let an instance lead that has not read the closed domains."""
    create = LeaderElector.__init__

    def __init__(elector: Any, *args: Any) -> None:
        create(elector, *args)
        elector._closed_domains = frozenset()

    replace(LeaderElector, '__init__', __init__)


def address_stored() -> None:
    """Use a worker at an address that the stored roster may not show."""
    has_marked_used = HandoverState.has_marked_used
    replace(
        HandoverState,
        'has_marked_used',
        lambda state, worker_ids, _=None: has_marked_used(state, worker_ids),
    )


def absent_workers() -> None:
    """Ask no worker that is missing from the directory."""
    replace(AbsentWorkerProber, 'ask_due', lambda *_: None)


def former_orders() -> None:
    """Take any answer of another worker for the end of the former one."""
    replace(AbsentWorkers, 'earliest_proof_ms', lambda *_: 0)


def replaced_only() -> None:
    """Take a worker that doesn't answer for replaced."""
    replace(absent_worker_prober, 'WorkerReplacedError', WorkerError)


def suspensions() -> None:
    """Throttle by the model alone, without suspensions."""
    replace(pacing, 'update_suspension', lambda *_: False)


def suspended_wait() -> None:
    """Suspend no worker, so that the next leader waits for each for long."""
    replace(WorkerSuspension, 'suspend_unresponsive', lambda *_: None)


def suspension() -> None:
    """Renew leases as soon as a suspended worker answers."""

    def grant_lease(state: Any, worker: Any) -> int:
        lease_ms = state.term.timing.lease_ms
        return int(worker.clock.next_lease(lease_ms))

    replace(SchedulerState, 'grant_lease', grant_lease)


@contextmanager
def _as_not_suspended(worker: Any) -> Iterator[None]:
    is_suspended = worker.is_suspended
    worker.is_suspended = False
    yield
    worker.is_suspended = is_suspended


def held_starts() -> None:
    """Send a suspended worker the starts that were placed there before."""
    claim_start_send = Scheduler.claim_start_send

    def claim(state: Any, order: Any, now_ms: int) -> bool:
        with _as_not_suspended(state.workers[order.worker_id]):
            return claim_start_send(state, order, now_ms)

    replace(Scheduler, 'claim_start_send', claim)


def held_placements() -> None:
    """Place runs on a suspended worker."""
    accepts_runs = Worker.accepts_runs

    def accepts(worker: Any, now_ms: int) -> bool:
        with _as_not_suspended(worker):
            return accepts_runs(worker, now_ms)

    replace(Worker, 'accepts_runs', accepts)


def unmarked_incarnations() -> None:
    """Use a new incarnation that the stored roster does not show."""
    replace(WorkerWatch, '_suspend_if_unmarked', lambda *_: None)


def open_starts() -> None:
    """Suspend workers whatever may still arrive there."""
    replace(worker_suspension, '_may_still_arrive', lambda *_: False)


def stored_roster() -> None:
    """Take a roster for written only if its own write was answered."""
    replace(handover_state, 'covers', lambda *_: False)


def unanswered_sending() -> None:
    """Treat the response to one sending of an order as conclusive for all."""

    def send(client: Any, route: Any, order: Any, wait_ms: int) -> Any:
        report = None
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            report = report or client._send_once(route, order, wait_ms)
        return report

    replace(TaskClient, '_send', send)


def serving_worker_known() -> None:
    """Take tasks of workers that do not answer for tasks at work."""
    replace(draining, '_answers', lambda _: True)


def wave_former_stops() -> None:
    """Act for a wave as long as the leadership is not over."""
    replace(
        maintenance_loop.MaintenanceLoop,
        '_may_end_work',
        lambda loop: not loop._service.leadership.is_over(),
    )


def wave_intent() -> None:
    """Record a machine of a wave only once its maintenance has started."""
    save = WaveRecords.save

    def save_started(records: Any, number: int, progress: Any) -> None:
        save(records, number, WaveProgress(started=progress.started))

    replace(WaveRecords, 'save', save_started)


def wave_late_write() -> None:
    """Write the record of a wave whatever its revision."""
    replace(wave_records, 'Transaction', lambda _, puts: Transaction((), puts))


def wave_out_of_service() -> None:
    """Give tasks to a machine again once its maintenance is ordered."""
    replace(
        maintenance._Member,
        'is_out_of_service',
        property(lambda member: member.stage is maintenance._Stage.DRAINING),
    )


def wave_changed() -> None:
    """Keep the first request of a wave, however operators rewrite it."""
    replace_request = MaintenanceWave.replace_request

    def keep_request(wave: Any, request: Any, now_ms: int) -> None:
        is_first = wave.is_withdrawn or not wave.request.machine_ids
        kept = request if is_first else wave.request
        replace_request(wave, kept, now_ms)

    replace(MaintenanceWave, 'replace_request', keep_request)


def wave_drained() -> None:
    """Order a machine down whatever runs there."""
    replace(maintenance_loop, 'is_drained', lambda *_: True)


def wave_restored_lag() -> None:
    """Trust any list on what a previous leader started."""
    restore = MaintenanceWave.restore
    replace(
        MaintenanceWave,
        'restore',
        lambda wave, progress, _: restore(wave, progress, -FOREVER),
    )


def wave_unknown() -> None:
    """Take a damaged record of a wave for one of nothing ordered."""
    replace(wave_records, 'UNKNOWN_PROGRESS', WaveProgress())


def wave_unseen_runs() -> None:
    """Expect no runs that no listing has shown."""
    replace(LeaderTerm, 'unseen_runs_until_ms', lambda _: {})


def wave_withdrawn() -> None:
    """Forget what a wave has ordered once it is withdrawn."""
    replace(MaintenanceWave, 'withdraw', lambda wave, _: wave.members.clear())


def wave_workers_returned() -> None:
    """Change nothing at the workers after the last wave."""
    replace(maintenance_loop.MaintenanceLoop, '_return_workers', lambda _: None)


def answered_incarnations() -> None:
    """Let any registration end the incarnation that has answered."""
    replace(ClaimTracker, 'is_known', lambda *_: True)


def incarnation_token() -> None:
    """Use one token for all incarnations of a worker."""
    replace(FencingTokens, 'advance', lambda *_: None)


def ack_after_failure() -> None:
    """Acknowledge the ends of an incarnation that may be over."""
    replace(
        scheduler_state,
        '_acked_end_number',
        lambda worker: worker.acked_end_number,
    )


def held_ends() -> None:
    """Acknowledge ends while starts of their tasks may arrive late."""
    replace(
        UnackedEnd,
        'can_be_acked',
        lambda end, number, _: end.change_number <= number,
    )


def stored_late_starts() -> None:
    """Tell the next leader nothing of starts that may arrive late."""
    replace(Roster, 'late_start_deadlines', lambda *_: {})


def write_sequence() -> None:
    """Tell the writes of one incarnation apart by their revisions only."""
    is_outdated = worker_lifecycle._is_outdated

    def is_older_revision(existing: Any, registration: Any) -> bool:
        return is_outdated(
            dataclasses.replace(existing, sequence=0), registration
        )

    replace(worker_lifecycle, '_is_outdated', is_older_revision)


def restarted_lease() -> None:
    """Forget that a lease may have been meant for another incarnation."""
    replace(WorkerClock, 'include_stray_lease', lambda *_: None)


def images_packed() -> None:
    """Pack latency-critical images densely, however many workers there are."""
    replace(
        image_separation,
        'decide_separation',
        lambda _: image_separation.PACKED,
    )


def delay_cost() -> None:
    """Let the earliest objective decide among steps of one class."""
    replace(DelayCosts, 'worth_of_work', lambda *_: 0)


CLUSTER_GUARDS: dict[str, Callable[[], None]] = {
    'delay-cost': delay_cost,
    'ack-after-failure': ack_after_failure,
    'held-ends': held_ends,
    'incarnation-token': incarnation_token,
    'stored-late-starts': stored_late_starts,
    'write-sequence': write_sequence,
    'absent-workers': absent_workers,
    'answered-incarnations': answered_incarnations,
    'address-stored': address_stored,
    'answered-start': answered_start,
    'cancellations-first': cancellations_first,
    'cancellations-watched': cancellations_watched,
    'certainty': leader_exclusivity,
    'domains-amid-load': domains_amid_load,
    'domains-first': domains_first,
    'earlier-sending': earlier_sending,
    'former-orders': former_orders,
    'earlier-terms': earlier_terms,
    'ended-early': ended_early,
    'ended-late': ended_late,
    'ended-term': ended_term_kept,
    'handover': handover,
    'held-placements': held_placements,
    'held-starts': held_starts,
    'image-separation': images_packed,
    'lapse-certainty': lapse_certainty,
    'look-before-start': poll_before_start,
    'nesting': nesting,
    'old-registrations': replaced_registrations,
    'open-starts': open_starts,
    'replaced-only': replaced_only,
    'restarted-lease': restarted_lease,
    'restarted-start': restarted_start,
    'rests': suspensions,
    'same-machine': same_machine,
    'serving-worker-known': serving_worker_known,
    'silent-sending': unanswered_sending,
    'stored-roster': stored_roster,
    'suspended-wait': suspended_wait,
    'suspension': suspension,
    'unmarked-incarnations': unmarked_incarnations,
    'wave-changed': wave_changed,
    'wave-drained': wave_drained,
    'wave-former-stops': wave_former_stops,
    'wave-intent': wave_intent,
    'wave-late-write': wave_late_write,
    'wave-out-of-service': wave_out_of_service,
    'wave-restored-lag': wave_restored_lag,
    'wave-unknown': wave_unknown,
    'wave-unseen-runs': wave_unseen_runs,
    'wave-withdrawn': wave_withdrawn,
    'wave-workers-returned': wave_workers_returned,
    'workers-first': workers_first,
}
