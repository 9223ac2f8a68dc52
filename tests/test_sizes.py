"""Which sizes of tasks are refused for good, by what is known of workers."""

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
SOON_S = 0.1


@dataclass
class OwnParts:
    """Stands for the gate and the fleet: one small worker, open."""

    failure_domain: str = 'leith'
    is_draining: bool = False
    shapes: dict[str, Resources] = field(default_factory=dict)

    def headroom(self) -> Headroom:
        """Return what the open workers have."""
        return headroom_of(*self.shapes.values())

    def find(self, name: str) -> object:
        """Return an open worker."""
        return self.shapes.get(name)


class Known:
    """What the instance e-own knows of two domains with a worker each.

    Its own worker is small; the one of e-peer is large.
    """

    def __init__(self) -> None:
        """Hear everybody."""
        self.shelf = ActiveDocuments(EventLog())
        body = encode_cfg(load_cfg_folder(CFG_FOLDER)).decode()
        self.shelf.update(Document(DocumentKind.CFG, 1, 'test', body))
        state = ControlState(self.shelf, EventLog())
        myself = member('e-own')
        self.membership = Membership(state, myself)
        self.membership.update_instance_list(
            (
                listed('w-small', 'leith', Role.WORKER),
                listed('w-large', 'gorgie', Role.WORKER),
                *(listed(name, DOMAIN_OF[name]) for name in DOMAIN_OF),
            )
        )
        self.own = OwnParts(shapes={'w-small': SMALL})
        self.state = state
        self.give('w-small', 'e-own')
        self.give('w-large', 'e-peer')
        self.hear('e-peer', LARGE)
        self.hear('e-idle')
        self.router = Router(
            self.shelf,
            self.membership,
            PeerDirectory(self.membership, state),
            cast('Any', self.own),
            cast('Any', self.own),
        )

    def give(self, worker: str, instance: str) -> None:
        """Let the records say who owns the worker of a domain."""
        domain = 'leith' if worker == 'w-small' else 'gorgie'
        owned = Ownership().claim((worker,), member(instance).member_id)
        key = owners_key(domain)
        entry = Entry(key, encode_ownership(owned), 1)
        self.state.apply((Change(key, entry, 1),))

    def hear(self, instance: str, *shapes: Resources, **facts: Any) -> None:
        """Take a heartbeat of a peer whose open workers have such shapes."""
        told = {
            'boot_id': 'boot',
            'failure_domain': DOMAIN_OF[instance],
            'cfg_revision': 1,
            'domains_revision': 0,
            'draining': False,
            'store_heard_ms': 0,
            'headroom': headroom_of(*shapes),
            **facts,
        }
        self.membership.update_heartbeat(PeerStatus(instance, **told))

    def may_fit(self, need: Resources) -> bool:
        """Ask the router."""
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
    """Return the headroom of full workers with such shapes."""
    return Headroom(NO_RESOURCES, NO_RESOURCES, 0, len(shapes), shapes)


def ask(need: Resources) -> Request:
    """Return a request of such a size that waits for a short while."""
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
def known() -> Known:
    return Known()


@pytest.fixture
def quick(known: Known) -> UnrecordedRequests:
    return UnrecordedRequests('e-own', known.router, cast('Any', None))


def test_a_size_that_no_worker_has_is_impossible(known: Known) -> None:
    assert not known.may_fit(HUGE)
    assert known.may_fit(MIDDLE)


def test_a_peer_without_workers_need_not_be_heard(
    known: Known, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A dead instance still on the list made every size possible."""
    monkeypatch.setattr('gentianpulley.membership.HEARTBEAT_TIMEOUT_MS', -1)
    known.hear('e-idle')
    assert not known.may_fit(HUGE)


def test_a_worker_whose_owner_is_not_heard_may_be_large(
    known: Known, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr('gentianpulley.membership.HEARTBEAT_TIMEOUT_MS', -1)
    known.hear('e-peer', SMALL)
    assert known.may_fit(HUGE)


def test_work_for_a_worker_that_starts_again_is_not_refused(
    known: Known,
) -> None:
    """Its owner had closed it for a moment, and the caller heard that no
    worker could ever hold what fits in it."""
    known.hear('e-peer')
    assert known.may_fit(MIDDLE)


def test_work_for_a_worker_between_two_owners_is_not_refused(
    known: Known,
) -> None:
    """The same in a planned stop of its owner, and before the next one has
    taken it over."""
    known.hear('e-peer', LARGE, draining=True)
    assert known.may_fit(MIDDLE)
    known.hear('e-peer')
    known.give('w-large', 'e-idle')
    assert known.may_fit(MIDDLE)


def test_work_for_a_domain_that_is_out_is_not_impossible(
    known: Known, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A domain comes back; the caller was told to never ask again."""
    out = DomainStates().with_out_of_service('gorgie', 1)
    monkeypatch.setattr(ActiveDocuments, 'domains', out)
    assert known.may_fit(MIDDLE)
    assert not known.may_fit(HUGE)


def test_an_impossible_size_is_told_as_soon_as_it_is_known(
    known: Known, quick: UnrecordedRequests
) -> None:
    """A request that came while an owner was not heard was told at its
    deadline to come again, although no worker could ever hold it."""
    known.hear('e-peer')
    assert known.may_fit(HUGE)
    Timer(SOON_S, known.hear, ('e-peer', LARGE)).start()
    assert quick.serve(ask(HUGE)).code is IMPOSSIBLE_SIZE


def test_a_size_that_may_fit_is_told_to_come_again(
    known: Known, quick: UnrecordedRequests
) -> None:
    assert quick.serve(ask(MIDDLE)).code is NO_ROOM
    known.hear('e-peer')
    assert quick.serve(ask(HUGE)).code is NO_ROOM
