"""Which entry instances exist and what can be requested of them.

Three sources are combined, each of which may lag or be missing: leases in the
store, the platform's instance list, and heartbeats between peers.
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
    """Another entry instance, as seen by the local member.

    `status` is its last heartbeat, which is valid until `reachable_until_ms`.
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
        """Return whether the last heartbeat of the peer is still valid."""
        return not has_passed(self.reachable_until_ms)

    @property
    def is_accepting_work(self) -> bool:
        """Return whether new work may be sent to the peer."""
        status = self.status
        if status is None or not self.is_reachable or self.is_leaving:
            return False
        return not status.draining


@dataclass(frozen=True, slots=True)
class _ReceivedHeartbeat:
    status: PeerStatus
    until_ms: int


@dataclass(frozen=True, slots=True)
class _InstanceAddresses:
    name: str
    failure_domain: str
    http: HttpAddress
    peer: HttpAddress


class Membership:
    """Combines the three sources."""

    def __init__(self, state: ControlState, local_member: MemberRecord) -> None:
        """Start without any peers."""
        self._state = state
        self._lock = threading.Lock()
        self._listed: tuple[ListedInstance, ...] = ()
        self._has_list = False
        self._heartbeats: dict[str, _ReceivedHeartbeat] = {}
        self.local_member = local_member

    def update_instance_list(self, listed: tuple[ListedInstance, ...]) -> None:
        """Replace the instance list by a new reading."""
        with self._lock:
            self._listed = listed
            self._has_list = True

    def update_heartbeat(self, status: PeerStatus) -> None:
        """Record a heartbeat that a peer sent or returned."""
        with self._lock:
            self._heartbeats[status.instance] = _ReceivedHeartbeat(
                status, deadline_in(HEARTBEAT_TIMEOUT_MS)
            )

    def peers(self) -> tuple[PeerView, ...]:
        """Return all other entry instances in the leases or the list."""
        records = {record.instance: record for record in self._state.members()}
        with self._lock:
            listed = {
                entry.name: entry
                for entry in self._listed
                if entry.role is Role.ENTRY
            }
            heartbeats = dict(self._heartbeats)
        names = {*records, *listed}
        names.discard(self.local_member.instance)
        views = (
            _view(records.get(name), listed.get(name), heartbeats.get(name))
            for name in sorted(names)
        )
        return tuple(view for view in views if view is not None)

    def peer(self, instance: str) -> PeerView | None:
        """Return the peer with this instance name, or None."""
        for view in self.peers():
            if view.instance == instance:
                return view
        return None

    def owner_candidates(self, failure_domain: str = '') -> tuple[str, ...]:
        """Return the member ids that may own workers of a failure domain.

        Without a failure domain, return those of the whole cluster.
        """
        leaving = {view.instance for view in self.peers() if _is_leaving(view)}
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
        """Return whether a peer of the failure domain is reachable."""
        return any(
            view.is_reachable
            for view in self.peers()
            if view.failure_domain == failure_domain
        )

    def is_worker_listed(self, name: str) -> bool:
        """Return whether the instance list contains the worker.

        Also True before the list has been read for the first time.
        """
        with self._lock:
            return not self._has_list or any(
                entry.name == name
                for entry in self._listed
                if entry.role is Role.WORKER
            )

    def is_other_domain_reachable(self) -> bool:
        """Return whether a peer of another failure domain is reachable."""
        return any(
            view.is_reachable
            for view in self.peers()
            if view.failure_domain != self.local_member.failure_domain
        )


def instance_of(member_id: str) -> str:
    """Return the instance name in a member id."""
    return member_id.rpartition('.')[0]


def _is_leaving(view: PeerView) -> bool:
    draining = view.status is not None and view.status.draining
    return view.is_leaving or (draining and view.is_reachable)


def _view(
    record: MemberRecord | None,
    listed: ListedInstance | None,
    heartbeat: _ReceivedHeartbeat | None,
) -> PeerView | None:
    """Combine the sources; return None without any address."""
    addresses = _addresses(record, listed)
    if addresses is None:
        return None
    leaving = listed is not None and listed.presence is Presence.LEAVING
    return PeerView(
        instance=addresses.name,
        failure_domain=addresses.failure_domain,
        http=addresses.http,
        address=addresses.peer,
        has_lease=record is not None,
        is_leaving=leaving,
        status=heartbeat.status if heartbeat else None,
        reachable_until_ms=heartbeat.until_ms if heartbeat else 0,
    )


def _addresses(
    record: MemberRecord | None, listed: ListedInstance | None
) -> _InstanceAddresses | None:
    """Return an instance's addresses; the platform's list comes first."""
    if listed is not None and listed.peer is not None:
        return _InstanceAddresses(
            listed.name, listed.failure_domain, listed.http, listed.peer
        )
    if record is None:
        return None
    return _InstanceAddresses(
        record.instance,
        record.failure_domain,
        parse_address(record.http),
        parse_address(record.peer),
    )
