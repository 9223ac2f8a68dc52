"""Jobs on workers that are gone, or that only appear to be gone."""

import msgspec
import pytest

from gentianpulley.cfg import WorkClass
from gentianpulley.control_keys import member_key, owners_key
from gentianpulley.control_state import ControlState, MemberRecord
from gentianpulley.deadline import deadline_in
from gentianpulley.document import ActiveDocuments
from gentianpulley.job import JobState, Placement, StoredJob, new_job
from gentianpulley.job_queue import JobQueue
from gentianpulley.logs import EventLog
from gentianpulley.membership import Membership
from gentianpulley.ownership import Ownership, encode_ownership
from gentianpulley.request import Request
from gentianpulley.resources import Resources
from gentianpulley.store import Change, Entry
from gentianpulley.job_recovery import JobRecovery
from tests.owner_harness import OwnerHarness

CONSTANT = 'gentianpulley.job_recovery.WORKER_GONE_AFTER_MS'
LOCAL_MEMBER = MemberRecord('e', 'boot', 'leith', 'h:1', 'h:2')
RUN = WorkClass(urgent=False, idempotent=True, resumable=True)


class _Queue(JobQueue):
    """Accepts requeued jobs and discards them."""

    def __init__(self) -> None:
        """Create no components."""

    def add_requeued(self, stored: StoredJob) -> None:
        """Discard the job."""


def placed_job(harness: OwnerHarness, worker: str) -> None:
    """Store a job that is placed on a worker."""
    req = Request('k', 'c', 't', Resources(1, 1), deadline_in(60_000), True)
    job = new_job(req, RUN, LOCAL_MEMBER.member_id, deadline_in(60_000))
    stored = harness.jobs.create(job, b'', deadline_in(2000)).stored
    placement = Placement(worker, 'b', 'leith', 'e.boot', 1, 0)
    harness.jobs.place(stored, placement).result()


def state_with_owner(owner: str) -> ControlState:
    """Return a state with one member and an owner of the worker."""
    log = EventLog()
    state = ControlState(ActiveDocuments(log), log)
    owners = encode_ownership(Ownership().claim(['w-9'], owner))
    records = {
        member_key('e'): msgspec.json.encode(LOCAL_MEMBER),
        owners_key('leith'): owners,
    }
    state.apply(
        tuple(
            Change(key, Entry(key, body, 1), 1) for key, body in records.items()
        )
    )
    return state


@pytest.mark.parametrize(
    ('owner', 'is_list_read', 'expected'),
    (
        ('e.boot', True, JobState.PLACED),
        ('dead.boot', False, JobState.PLACED),
        ('dead.boot', True, JobState.QUEUED),
    ),
    ids=('owner is alive', 'list never read', 'owner is gone'),
)
def test_unlisted_worker_is_settled_only_without_an_owner(
    harness: OwnerHarness,
    monkeypatch: pytest.MonkeyPatch,
    owner: str,
    is_list_read: bool,
    expected: JobState,
) -> None:
    monkeypatch.setattr(CONSTANT, -1)
    placed_job(harness, 'w-9')
    state = state_with_owner(owner)
    membership = Membership(state, LOCAL_MEMBER)
    if is_list_read:
        membership.update_instance_list(())
    queue = _Queue()
    JobRecovery(state, membership, harness.jobs, queue, EventLog()).step()
    deadline = deadline_in(1500)
    stored = harness.jobs.read('k')
    while stored and stored.job.state is not expected:
        assert deadline_in(0) < deadline
        stored = harness.jobs.read('k')
    assert stored is not None
    assert stored.job.state is expected
