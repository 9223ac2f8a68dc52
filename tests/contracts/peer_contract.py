"""The contract of the peer service."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from gentianpulley.document import Document, DocumentKind
from gentianpulley.errors import (
    PeerError,
    PeerSilentError,
    PeerUnreachableError,
)
from gentianpulley.peer import Headroom, Peer, PeerStatus
from gentianpulley.resources import Resources
from gentianpulley.result_code import OK
from gentianpulley.task import TaskOrder, TaskPhase, TaskReport

NEED = Resources(1500, 2000, 3)
ORDER = TaskOrder(
    task_id='key#2',
    request_key='key',
    incarnation=2,
    work_class='fit-preview',
    team='clinic',
    need=NEED,
    start_before_ms=1_700_000_000_001,
    deadline_ms=1_700_000_000_002,
    payload=bytes(range(256)),
    data_tags=('health', 'ᠮᠣᠩᠭᠣᠯ'),
    record=b'{}',
    record_revision=2**40,
    checkpoint='17',
)
REPORT = TaskReport(
    'key#2', TaskPhase.FINISHED, OK, 'fine', 'w-1', b'\0\xff' * 1_000_000, 'ab'
)
STATUS = PeerStatus(
    instance='entry-1',
    boot_id='b',
    failure_domain='leith',
    cfg_revision=2**33,
    domains_revision=4,
    draining=True,
    store_heard_ms=1_700_000_000_003,
    headroom=Headroom(NEED, NEED, 3, 2, (NEED,)),
)
DOCUMENT = Document(DocumentKind.CFG, 7, 'change', '{"teams": {}}')


@dataclass
class FakePeer(Peer):
    """Returns fixed messages and records the task orders it receives."""

    orders: list[TaskOrder] = field(default_factory=list)
    report: TaskReport = REPORT

    def run(self, order: TaskOrder, wait_ms: int) -> TaskReport:
        """Record the order and return the report."""
        self.orders.append(order)
        return self.report

    def await_answer(
        self, task_id: str, worker: str, wait_ms: int
    ) -> TaskReport:
        """Return the report."""
        return self.report

    def cancel(self, task_id: str, worker: str) -> TaskReport:
        """Return the report."""
        return self.report

    def cancel_local(self, request_keys: tuple[str, ...]) -> tuple[str, ...]:
        """Return the first key only."""
        return request_keys[:1]

    def heartbeat(self, status: PeerStatus) -> PeerStatus:
        """Return the status received."""
        return status

    def fetch_document(self, kind: DocumentKind) -> Document | None:
        """Return a document for the cfg only."""
        return DOCUMENT if kind is DocumentKind.CFG else None


class PeerContract(ABC):
    """Tests for any transport between peers."""

    @pytest.fixture
    def fake(self) -> FakePeer:
        return FakePeer()

    @pytest.fixture
    @abstractmethod
    def peer(self, fake: FakePeer) -> Peer:
        """Return a remote peer that reaches `fake`."""

    @pytest.fixture
    @abstractmethod
    def broken(self, fake: FakePeer) -> Callable[[str], Peer]:
        """Return a factory of peers with the named fault."""

    def test_order_and_report_arrive_whole(
        self, peer: Peer, fake: FakePeer
    ) -> None:
        assert peer.run(ORDER, 10) == REPORT
        assert fake.orders == [ORDER]

    def test_other_calls_arrive_whole(self, peer: Peer) -> None:
        assert peer.await_answer('key#2', 'w-1', 10) == REPORT
        assert peer.cancel('key#2', 'w-1') == REPORT
        assert peer.cancel_local(('a', 'b')) == ('a',)
        assert peer.heartbeat(STATUS) == STATUS
        assert peer.fetch_document(DocumentKind.CFG) == DOCUMENT
        assert peer.fetch_document(DocumentKind.DOMAINS) is None

    def test_crossed_answer_is_not_taken(
        self, peer: Peer, fake: FakePeer
    ) -> None:
        fake.report = TaskReport('other#1', TaskPhase.FINISHED, OK)
        with pytest.raises(PeerSilentError):
            peer.run(ORDER, 10)

    @pytest.mark.parametrize(
        ('fault', 'error'),
        (
            ('unreachable', PeerUnreachableError),
            ('silent', PeerSilentError),
            ('answer lost', PeerSilentError),
            ('reset', PeerSilentError),
        ),
    )
    def test_fault_raises(
        self,
        broken: Callable[[str], Peer],
        fault: str,
        error: type[PeerError],
    ) -> None:
        with pytest.raises(error):
            broken(fault).heartbeat(STATUS)

    def test_connection_recovers_from_silence(
        self, broken: Callable[[str], Peer]
    ) -> None:
        peer = broken('open connections silent')
        with pytest.raises(PeerSilentError):
            peer.heartbeat(STATUS)
        assert peer.heartbeat(STATUS) == STATUS
