"""Heartbeats to every other entry instance, one thread for each.

A heartbeat carries the revisions of the active documents. An instance that
receives a higher one fetches the document, so that changes propagate between
peers while the store is down or unreachable.
"""

from typing import Final

from gentianpulley.background import BackgroundLoop
from gentianpulley.document import DocumentKind, ActiveDocuments
from gentianpulley.errors import InstanceListError, PeerError
from gentianpulley.instance_list import InstanceList
from gentianpulley.instance_peer import StatusSource
from gentianpulley.logs import EventLog
from gentianpulley.membership import Membership
from gentianpulley.peer import Peer, PeerStatus
from gentianpulley.peer_directory import PeerDirectory

HEARTBEAT_INTERVAL_S: Final = 1.0
LIST_INTERVAL_S: Final = 1.0


class PeerHeartbeat(BackgroundLoop):
    """The thread that exchanges heartbeats with one peer."""

    def __init__(
        self,
        instance: str,
        directory: PeerDirectory,
        membership: Membership,
        documents: ActiveDocuments,
        status: StatusSource,
        log: EventLog,
    ) -> None:
        """Prepare the thread."""
        super().__init__(f'heartbeat-{instance}', HEARTBEAT_INTERVAL_S, log)
        self._instance = instance
        self._directory = directory
        self._membership = membership
        self._documents = documents
        self._status = status

    def step(self) -> None:
        """Exchange one heartbeat."""
        try:
            self._exchange(self._directory.find(self._instance))
        except PeerError as exc:
            self.log.peer_trouble(self._instance, exc.text)

    def _exchange(self, peer: Peer) -> None:
        response = peer.heartbeat(self._status.read())
        self._membership.update_heartbeat(response)
        self._catch_up(peer, response)

    def _catch_up(self, peer: Peer, response: PeerStatus) -> None:
        newest = {
            DocumentKind.CFG: response.cfg_revision,
            DocumentKind.DOMAINS: response.domains_revision,
        }
        for kind, revision in newest.items():
            if revision > self._documents.revision(kind):
                document = peer.fetch_document(kind)
                if document is not None:
                    self._documents.update(document)


class PeerMonitor(BackgroundLoop):
    """Reads the instance list and runs a heartbeat thread for each peer."""

    def __init__(
        self,
        instances: InstanceList,
        directory: PeerDirectory,
        membership: Membership,
        documents: ActiveDocuments,
        status: StatusSource,
        log: EventLog,
    ) -> None:
        """Prepare the thread."""
        super().__init__('peer-care', LIST_INTERVAL_S, log)
        self._instances = instances
        self._directory = directory
        self._membership = membership
        self._documents = documents
        self._status = status
        self._heartbeats: dict[str, PeerHeartbeat] = {}

    def step(self) -> None:
        """Read the list once and adjust the threads."""
        try:
            self._membership.update_instance_list(self._instances.read())
        except InstanceListError as exc:
            self.log.list_trouble(exc.text)
        names = {view.instance for view in self._membership.peers()}
        for name in names.difference(self._heartbeats):
            self._heartbeats[name] = self._start_heartbeat(name)
        for gone in set(self._heartbeats).difference(names):
            self._heartbeats.pop(gone).stop()

    def stop(self) -> None:
        """Stop reading and all heartbeats."""
        super().stop()
        for heartbeat in self._heartbeats.values():
            heartbeat.stop()

    def broadcast_heartbeat(self) -> None:
        """Send a heartbeat to every peer at once."""
        for heartbeat in self._heartbeats.values():
            heartbeat.wake()

    def _start_heartbeat(self, name: str) -> PeerHeartbeat:
        heartbeat = PeerHeartbeat(
            name,
            self._directory,
            self._membership,
            self._documents,
            self._status,
            self.log,
        )
        heartbeat.start()
        return heartbeat
