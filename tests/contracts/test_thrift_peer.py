"""Runs the peer service contract against the Thrift transport."""

import socket
import time
from collections.abc import Callable, Iterator

import pytest

from gentianpulley.http_conn import HttpAddress
from gentianpulley.logs import EventLog
from gentianpulley.peer import Peer
from gentianpulley.peer_client import ThriftPeer
from gentianpulley.peer_server import PeerServer
from standins.ports import HOST, free_port
from standins.tcp_proxy import LinkState, TcpProxy
from tests.contracts.peer_contract import STATUS, FakePeer, PeerContract

STATES = {
    'silent': LinkState.SILENT,
    'answer lost': LinkState.ONE_WAY,
    'reset': LinkState.CUT,
}

MALFORMED = {
    'garbage': b'\x80\x01\x00\x01' + b'\xff' * 64,
    'unknown method': b'\x80\x01\x00\x01\x00\x00\x00\x03foo\0\0\0\0\0',
    'http': b'GET / HTTP/1.1\r\nHost: x\r\n\r\n',
    'huge string': b'\x80\x01\x00\x01\x7f\xff\xff\xff',
    'cut short': b'\x80\x01',
}


@pytest.fixture
def server(fake: FakePeer) -> Iterator[PeerServer]:
    running = PeerServer(HttpAddress(HOST, free_port()), fake, EventLog())
    running.start()
    yield running
    running.close()


@pytest.fixture
def proxy(server: PeerServer) -> Iterator[TcpProxy]:
    link = TcpProxy(server.address.port)
    yield link
    link.close()


class TestThriftPeer(PeerContract):
    """The Thrift client and server over loopback."""

    @pytest.fixture
    def peer(self, server: PeerServer) -> Peer:
        return ThriftPeer(server.address)

    @pytest.fixture
    def broken(self, proxy: TcpProxy) -> Callable[[str], Peer]:
        def build(fault: str) -> Peer:
            if fault == 'unreachable':
                return ThriftPeer(HttpAddress(HOST, free_port()))
            peer = ThriftPeer(HttpAddress(HOST, proxy.port))
            peer.heartbeat(STATUS)
            if fault in STATES:
                proxy.switch(STATES[fault])
            else:
                proxy.silence_open()
            return peer

        return build

    @pytest.mark.parametrize('message', MALFORMED.values(), ids=MALFORMED)
    def test_malformed_message_leaks_no_connection(
        self, server: PeerServer, peer: Peer, message: bytes
    ) -> None:
        for _ in range(3):
            with socket.create_connection((HOST, server.address.port)) as conn:
                conn.sendall(message)
                conn.shutdown(socket.SHUT_WR)
                conn.recv(1)
        assert peer.heartbeat(STATUS) == STATUS
        time.sleep(0.1)
        assert server.open_conns() == 1
