"""Which task sizes are rejected permanently, by the last info on workers."""

from dataclasses import dataclass, field
from threading import Timer
from typing import Any, cast

import pytest

from gentianpulley.cfg import encode_cfg
from gentianpulley.cfg_folder import load_cfg_folder
from gentianpulley.control_keys import owners_key
from gentianpulley.control_state import ControlState, MemberRecord
from gentianpulley.deadline import deadline_in
from gentianpulley.document import (
    Document,
    DocumentKind,
    ActiveDocuments,
    DomainStates,
)
from gentianpulley.http_conn import HttpAddress
from gentianpulley.instance_list import ListedInstance, Presence, Role
from gentianpulley.logs import EventLog
from gentianpulley.membership import Membership
from gentianpulley.ownership import Ownership, encode_ownership
from gentianpulley.peer import Headroom, PeerStatus
from gentianpulley.peer_directory import PeerDirectory
from gentianpulley.unrecorded_requests import UnrecordedRequests
from gentianpulley.request import Request
from gentianpulley.resources import NO_RESOURCES, Resources
from gentianpulley.result_code import IMPOSSIBLE_SIZE, NO_ROOM
from gentianpulley.routing import Router
from gentianpulley.rule_evaluation import Subject
from gentianpulley.store import Change, Entry
from tests.owner_harness import CFG_FOLDER

SMALL = Resources(4000, 4000)
LARGE = Resources(64_000, 64_000)
MIDDLE = Resources(8000, 8000)
HUGE = Resources(1_000_000, 1000)
SUBJECT = Subject('fit-preview', ())
DOMAIN_OF = {'e-own': 'leith', 'e-peer': 'gorgie', 'e-idle': 'leith'}
WAIT_MS = 1000
HEARTBEAT_DELAY_S = 0.1


@dataclass
class FakeComponents:
    """Fake of the gate and the fleet with the given schedulable workers."""

    failure_domain: str = 'leith'
    is_draining: bool = False
    shapes: dict[str, Resources] = field(default_factory=dict)

    def headroom(self) -> Headroom:
        """Return the headroom of the schedulable workers."""
        return headroom_of(*self.shapes.values())

    def find(self, name: str) -> object:
        """Return the shape of a schedulable worker, None if there is none."""
        return self.shapes.get(name)


class RouterHarness:
    """The router of instance e-own for two domains with one worker each.

    The worker of e-own is small; the worker of e-peer is large.
    """

    def __init__(self) -> None:
        """Receive a heartbeat from every peer."""
        self.documents = ActiveDocuments(EventLog())
        body = encode_cfg(load_cfg_folder(CFG_FOLDER)).decode()
        self.documents.update(Document(DocumentKind.CFG, 1, 'test', body))
        state = ControlState(self.documents, EventLog())
        local_member = member('e-own')
        self.membership = Membership(state, local_member)
        self.membership.update_instance_list(
            (
                listed('w-small', 'leith', Role.WORKER),
                listed('w-large', 'gorgie', Role.WORKER),
                *(listed(name, DOMAIN_OF[name]) for name in DOMAIN_OF),
            )
        )
        self.components = FakeComponents(shapes={'w-small': SMALL})
        self.state = state
        self.assign_owner('w-small', 'e-own')
        self.assign_owner('w-large', 'e-peer')
        self.receive_heartbeat('e-peer', LARGE)
        self.receive_heartbeat('e-idle')
        self.router = Router(
            self.documents,
            self.membership,
            PeerDirectory(self.membership, state),
            cast('Any', self.components),
            cast('Any', self.components),
        )

    def assign_owner(self, worker: str, instance: str) -> None:
        """Store an ownership record that gives a worker to an instance."""
        domain = 'leith' if worker == 'w-small' else 'gorgie'
        owned = Ownership().claim((worker,), member(instance).member_id)
        key = owners_key(domain)
        entry = Entry(key, encode_ownership(owned), 1)
        self.state.apply((Change(key, entry, 1),))

    def receive_heartbeat(
        self, instance: str, *shapes: Resources, **overrides: Any
    ) -> None:
        """Apply a heartbeat of a peer with schedulable workers of `shapes`."""
        members = {
            'boot_id': 'boot',
            'failure_domain': DOMAIN_OF[instance],
            'cfg_revision': 1,
            'domains_revision': 0,
            'draining': False,
            'store_heard_ms': 0,
            'headroom': headroom_of(*shapes),
            **overrides,
        }
        self.membership.update_heartbeat(PeerStatus(instance, **members))

    def may_fit(self, need: Resources) -> bool:
        """Return whether the router expects the size to ever fit a worker."""
        return self.router.may_ever_fit(SUBJECT, need)


def member(instance: str) -> MemberRecord:
    """Return the record of an instance."""
    return MemberRecord(instance, 'boot', DOMAIN_OF[instance], 'h:1', 'h:2')


def listed(name: str, domain: str, role: Role = Role.ENTRY) -> ListedInstance:
    """Return an entry of the instance list."""
    address = HttpAddress('h', 1)
    peer = address if role is Role.ENTRY else None
    return ListedInstance(name, role, domain, Presence.LIVE, address, peer)


def headroom_of(*shapes: Resources) -> Headroom:
    """Return the headroom of full workers with these shapes."""
    return Headroom(NO_RESOURCES, NO_RESOURCES, 0, len(shapes), shapes)


def request_of(need: Resources) -> Request:
    """Return a request of this size with a deadline in `WAIT_MS`."""
    return Request(
        request_key='k',
        work_class='fit-preview',
        team='clinic',
        need=need,
        deadline_ms=deadline_in(WAIT_MS),
        idempotent=True,
        payload=b'',
    )


@pytest.fixture
def harness() -> RouterHarness:
    return RouterHarness()


@pytest.fixture
def unrecorded(harness: RouterHarness) -> UnrecordedRequests:
    return UnrecordedRequests('e-own', harness.router, cast('Any', None))


def test_a_size_that_no_worker_has_is_impossible(
    harness: RouterHarness,
) -> None:
    assert not harness.may_fit(HUGE)
    assert harness.may_fit(MIDDLE)


def test_a_peer_without_workers_need_not_be_heard(
    harness: RouterHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a dead listed instance that makes any size possible."""
    monkeypatch.setattr('gentianpulley.membership.HEARTBEAT_TIMEOUT_MS', -1)
    harness.receive_heartbeat('e-idle')
    assert not harness.may_fit(HUGE)


def test_a_worker_whose_owner_is_not_heard_may_be_large(
    harness: RouterHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr('gentianpulley.membership.HEARTBEAT_TIMEOUT_MS', -1)
    harness.receive_heartbeat('e-peer', SMALL)
    assert harness.may_fit(HUGE)


def test_work_for_a_worker_that_starts_again_is_not_refused(
    harness: RouterHarness,
) -> None:
    """Guards against a false IMPOSSIBLE_SIZE for a size that the worker fits.

    Its owner had briefly made it unschedulable, and the caller got the
    response that no worker could ever hold the task.
    """
    harness.receive_heartbeat('e-peer')
    assert harness.may_fit(MIDDLE)


def test_work_for_a_worker_between_two_owners_is_not_refused(
    harness: RouterHarness,
) -> None:
    """Guards against a false IMPOSSIBLE_SIZE while its owner changes.

    This covers a planned stop of its owner, and the time before the next
    owner has taken it over.
    """
    harness.receive_heartbeat('e-peer', LARGE, draining=True)
    assert harness.may_fit(MIDDLE)
    harness.receive_heartbeat('e-peer')
    harness.assign_owner('w-large', 'e-idle')
    assert harness.may_fit(MIDDLE)


def test_work_for_a_domain_that_is_out_is_not_impossible(
    harness: RouterHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a permanent rejection for a domain out of service.

    The domain returns to service, but the response said never to retry.
    """
    states = DomainStates().with_out_of_service('gorgie', 1)
    monkeypatch.setattr(ActiveDocuments, 'domains', states)
    assert harness.may_fit(MIDDLE)
    assert not harness.may_fit(HUGE)


def test_an_impossible_size_is_told_as_soon_as_it_is_known(
    harness: RouterHarness, unrecorded: UnrecordedRequests
) -> None:
    """Guards against a retryable response for an impossible size.

    A request that arrived while an owner was unresponsive was asked at its
    deadline to retry, although no worker could ever hold it.
    """
    harness.receive_heartbeat('e-peer')
    assert harness.may_fit(HUGE)
    Timer(
        HEARTBEAT_DELAY_S, harness.receive_heartbeat, ('e-peer', LARGE)
    ).start()
    assert unrecorded.serve(request_of(HUGE)).code is IMPOSSIBLE_SIZE


def test_a_size_that_may_fit_is_told_to_come_again(
    harness: RouterHarness, unrecorded: UnrecordedRequests
) -> None:
    assert unrecorded.serve(request_of(MIDDLE)).code is NO_ROOM
    harness.receive_heartbeat('e-peer')
    assert unrecorded.serve(request_of(HUGE)).code is NO_ROOM
