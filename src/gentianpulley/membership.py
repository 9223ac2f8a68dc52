"""Which entry instances there are and what can be asked of them.

Three sources are put together, each of which may lag or be missing: leases in
the store, the platform's instance list, and heartbeats between peers.
"""

import threading
from dataclasses import dataclass
from typing import Final

from gentianpulley.control_state import ControlState, MemberRecord
from gentianpulley.deadline import deadline_in, has_passed
from gentianpulley.http_conn import HttpAddress, parse_address
from gentianpulley.instance_list import ListedInstance, Presence, Role
from gentianpulley.peer import PeerStatus

HEARTBEAT_TIMEOUT_MS: Final = 3000


@dataclass(frozen=True, slots=True)
class PeerView:
    """One other entry instance, as seen from here.

    `status` is its last heartbeat, which counts until `reachable_until_ms`.
    """

    instance: str
    failure_domain: str
    http: HttpAddress
    address: HttpAddress
    has_lease: bool
    is_leaving: bool
    status: PeerStatus | None
    reachable_until_ms: int

    @property
    def is_reachable(self) -> bool:
        """Tell whether the peer answered a heartbeat lately."""
        return not has_passed(self.reachable_until_ms)

    @property
    def is_accepting_work(self) -> bool:
        """Tell whether new work may be sent to the peer."""
        status = self.status
        if status is None or not self.is_reachable or self.is_leaving:
            return False
        return not status.draining


@dataclass(frozen=True, slots=True)
class _Heard:
    status: PeerStatus
    until_ms: int


@dataclass(frozen=True, slots=True)
class _Place:
    name: str
    failure_domain: str
    http: HttpAddress
    peer: HttpAddress


class Membership:
    """Puts the three sources together."""

    def __init__(self, state: ControlState, local_member: MemberRecord) -> None:
        """Know nobody else yet."""
        self._state = state
        self._lock = threading.Lock()
        self._listed: tuple[ListedInstance, ...] = ()
        self._has_list = False
        self._heard: dict[str, _Heard] = {}
        self.local_member = local_member

    def update_instance_list(self, listed: tuple[ListedInstance, ...]) -> None:
        """Take a new reading of the instance list."""
        with self._lock:
            self._listed = listed
            self._has_list = True

    def update_heartbeat(self, status: PeerStatus) -> None:
        """Take a heartbeat that a peer sent or answered."""
        with self._lock:
            self._heard[status.instance] = _Heard(
                status, deadline_in(HEARTBEAT_TIMEOUT_MS)
            )

    def peers(self) -> tuple[PeerView, ...]:
        """Return all other entry instances that any source knows."""
        records = {record.instance: record for record in self._state.members()}
        with self._lock:
            listed = {
                entry.name: entry
                for entry in self._listed
                if entry.role is Role.ENTRY
            }
            heard = dict(self._heard)
        names = {*records, *listed}
        names.discard(self.local_member.instance)
        views = (
            _view(records.get(name), listed.get(name), heard.get(name))
            for name in sorted(names)
        )
        return tuple(view for view in views if view is not None)

    def peer(self, instance: str) -> PeerView | None:
        """Return the peer with this instance name."""
        for view in self.peers():
            if view.instance == instance:
                return view
        return None

    def owner_candidates(self, failure_domain: str = '') -> tuple[str, ...]:
        """Return the member ids that may own workers of a failure domain.

        Without a domain, return those of the whole site.
        """
        leaving = {view.instance for view in self.peers() if _is_going(view)}
        return tuple(
            record.member_id
            for record in self._state.members()
            if record.failure_domain
            == (failure_domain or record.failure_domain)
            and record.instance not in leaving
        )

    def all_workers(self) -> tuple[ListedInstance, ...]:
        """Return all listed workers."""
        with self._lock:
            return tuple(
                entry for entry in self._listed if entry.role is Role.WORKER
            )

    def is_domain_reachable(self, failure_domain: str) -> bool:
        """Tell whether a peer of the failure domain is heard."""
        return any(
            view.is_reachable
            for view in self.peers()
            if view.failure_domain == failure_domain
        )

    def is_worker_listed(self, name: str) -> bool:
        """Tell whether the instance list has the worker.

        True also before the list was ever read.
        """
        with self._lock:
            return not self._has_list or any(
                entry.name == name
                for entry in self._listed
                if entry.role is Role.WORKER
            )

    def is_other_domain_reachable(self) -> bool:
        """Tell whether a peer of another failure domain is heard."""
        return any(
            view.is_reachable
            for view in self.peers()
            if view.failure_domain != self.local_member.failure_domain
        )


def instance_of(member_id: str) -> str:
    """Return the instance name in a member id."""
    return member_id.rpartition('.')[0]


def _is_going(view: PeerView) -> bool:
    draining = view.status is not None and view.status.draining
    return view.is_leaving or (draining and view.is_reachable)


def _view(
    record: MemberRecord | None,
    listed: ListedInstance | None,
    heard: _Heard | None,
) -> PeerView | None:
    """Put together what the sources say; None without any address."""
    place = _place(record, listed)
    if place is None:
        return None
    leaving = listed is not None and listed.presence is Presence.LEAVING
    return PeerView(
        instance=place.name,
        failure_domain=place.failure_domain,
        http=place.http,
        address=place.peer,
        has_lease=record is not None,
        is_leaving=leaving,
        status=heard.status if heard else None,
        reachable_until_ms=heard.until_ms if heard else 0,
    )


def _place(
    record: MemberRecord | None, listed: ListedInstance | None
) -> _Place | None:
    """Return where an instance is; the platform's list goes first."""
    if listed is not None and listed.peer is not None:
        return _Place(
            listed.name, listed.failure_domain, listed.http, listed.peer
        )
    if record is None:
        return None
    return _Place(
        record.instance,
        record.failure_domain,
        parse_address(record.http),
        parse_address(record.peer),
    )
