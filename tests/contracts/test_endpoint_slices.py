"""Runs the instance list contract against the EndpointSlice adapter."""

import json
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from gentianpulley.endpoint_slices import connect_instance_list
from gentianpulley.http_conn import HttpAddress
from gentianpulley.instance_list import (
    InstanceList,
    ListedInstance,
    Presence,
)
from standins.http_server import Call, Reply, StandinServer
from standins.ports import HOST, free_port
from tests.contracts.instance_list_contract import InstanceListContract

REPLIES = {
    'refused': Reply(500),
    'not json': Reply(200, b'<html>'),
    'wrong shape': Reply(200, b'{"items": [{"endpoints": 3}]}'),
}


class _FixedServer(StandinServer):
    reply = Reply(404)

    def serve(self, call: Call) -> Reply:
        """Return the same reply to every call."""
        return self.reply


@pytest.fixture
def server() -> Iterator[_FixedServer]:
    running = _FixedServer(HOST, 0)
    running.run_in_background()
    yield running
    running.shutdown()
    running.server_close()


class TestEndpointSlices(InstanceListContract):
    """The adapter against a server with a fixed reply."""

    @pytest.fixture
    def listing(
        self, server: _FixedServer
    ) -> Callable[[tuple[ListedInstance, ...]], InstanceList]:
        def build(instances: tuple[ListedInstance, ...]) -> InstanceList:
            items = [_slice_of(instance) for instance in instances]
            server.reply = Reply(200, json.dumps({'items': items}).encode())
            return connect_instance_list(HttpAddress(HOST, server.port))

        return build

    @pytest.fixture
    def broken(self, server: _FixedServer) -> Callable[[str], InstanceList]:
        def build(fault: str) -> InstanceList:
            server.reply = REPLIES.get(fault, server.reply)
            has_reply = fault in REPLIES
            port = server.port if has_reply else free_port()
            return connect_instance_list(HttpAddress(HOST, port))

        return build


def _slice_of(instance: ListedInstance) -> dict[str, Any]:
    leaving = instance.presence is Presence.LEAVING
    ports = [{'name': 'http', 'port': instance.http.port}]
    if instance.peer is not None:
        ports.append({'name': 'peer', 'port': instance.peer.port})
    return {
        'metadata': {'labels': {'app': instance.role.value}},
        'ports': ports,
        'endpoints': [
            {
                'addresses': [instance.http.host],
                'hostname': instance.name,
                'zone': instance.failure_domain,
                'conditions': {'serving': True, 'terminating': leaving},
            }
        ],
    }
