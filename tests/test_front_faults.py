"""What the HTTP front does with faults of the program and of its server."""

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


class _Told(EventLog):
    """Keeps the faults."""

    def __init__(self) -> None:
        """Begin with none."""
        self.faults: list[str] = []

    def internal_fault(self, detail: str) -> None:
        """Keep one."""
        self.faults.append(detail)


class _FaultyView:
    """Stands for the instance's view."""

    def status(self) -> object:
        """Fail as a fault of the program does."""
        raise RuntimeError('a fault of the program')


@pytest.fixture(scope='module')
def log() -> _Told:
    return _Told()


@pytest.fixture(scope='module')
def address(log: _Told) -> Iterator[str]:
    text = f'{HOST}:{free_port()}'
    nobody = f'{HOST}:{free_port()}'
    settings = DaemonSettings('e', 'leith', text, nobody, nobody, nobody)
    view = cast('Any', _FaultyView())
    front = HttpFront(settings, FrontComponents(cast('Any', None), view, log))
    front.start()
    yield text
    front.stop()


def test_a_fault_behind_a_path_is_logged(address: str, log: _Told) -> None:
    """The caller heard of an internal error, and the log of nothing."""
    answer = PoolManager().request('GET', f'http://{address}/v1/status')
    assert b'INTERNAL' in answer.data
    wait_until(lambda: log.faults)
    assert 'a fault of the program' in log.faults[-1]


def test_a_fault_of_the_server_is_logged(address: str, log: _Told) -> None:
    """Its answer has no body, and the log had nothing either."""
    server = cherrypy.server.httpserver
    server.error_log('a fault of the server', 40)
    assert 'a fault of the server' in log.faults[-1]


def test_what_is_no_fault_is_not_logged(address: str, log: _Told) -> None:
    before = len(log.faults)
    answer = PoolManager().request('GET', f'http://{address}/nope')
    assert answer.status == 404
    cherrypy.server.httpserver.error_log('news of the server')
    assert len(log.faults) == before
