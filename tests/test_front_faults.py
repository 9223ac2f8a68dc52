"""How the HTTP front handles errors in the program and in its server."""

from collections.abc import Iterator
from typing import Any, cast

import cherrypy
import pytest
from urllib3 import PoolManager

from gentianpulley.http_front import FrontComponents, HttpFront
from gentianpulley.logs import EventLog
from gentianpulley.settings import DaemonSettings
from standins.grid_site import wait_until
from standins.ports import HOST, free_port


class _RecordingLog(EventLog):
    """Records internal errors."""

    def __init__(self) -> None:
        """Start empty."""
        self.errors: list[str] = []

    def internal_fault(self, detail: str) -> None:
        """Record the detail of one error."""
        self.errors.append(detail)


class _FaultyView:
    """Fake of the instance's view."""

    def status(self) -> object:
        """Raise an unexpected exception, as a bug in the program would."""
        raise RuntimeError('an error in the program')


@pytest.fixture(scope='module')
def log() -> _RecordingLog:
    return _RecordingLog()


@pytest.fixture(scope='module')
def address(log: _RecordingLog) -> Iterator[str]:
    text = f'{HOST}:{free_port()}'
    unused = f'{HOST}:{free_port()}'
    settings = DaemonSettings('e', 'leith', text, unused, unused, unused)
    view = cast('Any', _FaultyView())
    front = HttpFront(settings, FrontComponents(cast('Any', None), view, log))
    front.start()
    yield text
    front.stop()


def test_a_fault_behind_a_path_is_logged(
    address: str, log: _RecordingLog
) -> None:
    """Guards against an internal error response with no log line."""
    response = PoolManager().request('GET', f'http://{address}/v1/status')
    assert b'INTERNAL' in response.data
    wait_until(lambda: log.errors)
    assert 'an error in the program' in log.errors[-1]


def test_a_fault_of_the_server_is_logged(
    address: str, log: _RecordingLog
) -> None:
    """Guards against a response without a body and with no log line."""
    server = cherrypy.server.httpserver
    server.error_log('an error in the server', 40)
    assert 'an error in the server' in log.errors[-1]


def test_what_is_no_fault_is_not_logged(
    address: str, log: _RecordingLog
) -> None:
    before = len(log.errors)
    response = PoolManager().request('GET', f'http://{address}/nope')
    assert response.status == 404
    cherrypy.server.httpserver.error_log('information from the server')
    assert len(log.errors) == before
