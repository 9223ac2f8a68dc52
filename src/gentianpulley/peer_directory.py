"""Connections to the other entry instances, by instance name."""

import threading

from gentianpulley.control_state import ControlState
from gentianpulley.errors import PeerUnreachableError
from gentianpulley.membership import Membership
from gentianpulley.messages import peer_unknown
from gentianpulley.peer import Peer
from gentianpulley.peer_client import ThriftPeer


class PeerDirectory:
    """Finds the peer with an instance name, including the local instance."""

    def __init__(self, membership: Membership, state: ControlState) -> None:
        """Start empty; `register_local` must precede the first `find`."""
        self._membership = membership
        self._state = state
        self._lock = threading.Lock()
        self._peers: dict[str, ThriftPeer] = {}
        self._local: Peer | None = None

    def register_local(self, local: Peer) -> None:
        """Set the peer that represents the local instance."""
        self._local = local

    def find(self, instance: str) -> Peer:
        """Return the peer; raises `PeerUnreachableError` if unknown."""
        if instance == self._membership.local_member.instance and self._local:
            return self._local
        view = self._membership.peer(instance)
        if view is None:
            raise PeerUnreachableError(peer_unknown(instance))
        with self._lock:
            peer = self._peers.get(instance)
            if peer is None or peer.address != view.address:
                peer = ThriftPeer(view.address)
                self._peers[instance] = peer
        return peer

    def reachable_peers(self) -> dict[str, Peer]:
        """Return all other instances that are reachable, by name."""
        return {
            view.instance: self.find(view.instance)
            for view in self._membership.peers()
            if view.is_reachable
        }

    def owner_of(self, worker: str) -> str:
        """Return the member id that owns a worker, or an empty string."""
        return self._state.owner_of(worker)
