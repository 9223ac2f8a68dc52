"""Starts a complete cluster of loopback processes for tests and the demo."""

import json
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final, TypeVar

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from standins.network import Network
from standins.ports import HOST, free_port
from standins.process import Process, own_env, read_lines, start_process

READY_TIMEOUT_S: Final = 15.0
POLL_S: Final = 0.05
HTTP_TIMEOUT_S: Final = 40.0
STOP_TIMEOUT_S: Final = 20.0

_Found = TypeVar('_Found')


class OddAnswerError(Exception):
    """A response was not JSON; the text contains the response."""


class SiteStartError(Exception):
    """A cluster failed to start; the text has the output of each process."""


@dataclass
class Site:
    """A running cluster; `stop` ends every process that it started."""

    folder: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix='site-'))
    )
    processes: dict[str, Process] = field(default_factory=dict)
    domains: dict[str, str] = field(default_factory=dict)
    network: Network | None = None
    daemon_module: str = 'gentianpulley.daemon'
    http: PoolManager = field(
        default_factory=lambda: PoolManager(
            maxsize=64, timeout=Timeout(HTTP_TIMEOUT_S), retries=False
        )
    )

    def start_platform(self) -> Process:
        """Start the fake platform and wait until it responds."""
        port = free_port()
        process = self._spawn(
            'platform', ['-m', 'standins.platform', str(port)], port
        )
        self._await(lambda: self.answers('platform', '/standin/calls'))
        return process

    def start_worker(self, name: str, domain: str, **extra: Any) -> Process:
        """Start a fake worker and add it to the instance list."""
        port = free_port()
        settings = {
            'name': name,
            'failure_domain': domain,
            'rack': f'{domain}-rack-1',
            'port': port,
            **extra,
        }
        process = self._spawn(
            name, ['-m', 'standins.worker', json.dumps(settings)], port
        )
        self._await(lambda: self.answers(name, '/v1/worker'))
        self.domains[name] = domain
        self.list_instance(name, 'worker')
        return process

    def start_entry(self, name: str, domain: str, **extra: Any) -> Process:
        """Start an entry instance and list it; does not wait for it."""
        port = free_port()
        peer_port = free_port()
        store, instance_list = self._platform_as_seen_from(domain)
        settings = {
            'instance': name,
            'failure_domain': domain,
            'http': f'{HOST}:{port}',
            'peer': f'{HOST}:{peer_port}',
            'store': store,
            'instance_list': instance_list,
            **extra,
        }
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        process = self._spawn(name, ['-m', self.daemon_module, str(path)], port)
        process.peer_port = peer_port
        self.domains[name] = domain
        self.list_instance(name, 'entry')
        return process

    def list_instance(
        self, name: str, role: str, *, leaving: bool = False
    ) -> None:
        """Add an instance to the instance list."""
        process = self.processes[name]
        ports = [{'name': 'http', 'port': process.port}]
        if process.peer_port:
            ports.append({'name': 'peer', 'port': process.peer_port})
        endpoint = {
            'addresses': [HOST],
            'hostname': name,
            'zone': self.domains[name],
            'conditions': {
                'ready': not leaving,
                'serving': not leaving,
                'terminating': leaving,
            },
        }
        slice_ = {
            'metadata': {'labels': {'app': role}},
            'endpoints': [endpoint],
            'ports': ports,
        }
        self.call('platform', 'POST', '/standin/instances', {name: slice_})
        if self.network is not None:
            self.network.put_slice(name, self.domains[name], slice_)

    def unlist(self, name: str) -> None:
        """Remove an instance from the instance list."""
        self.call('platform', 'POST', '/standin/instances', {name: None})
        if self.network is not None:
            for view in self.network.views.values():
                view.slices.pop(name, None)

    def set_faults(self, **faults: Any) -> None:
        """Set the faults of the store; without arguments, clear them."""
        self.call('platform', 'POST', '/standin/faults', faults)

    def cli_settings(self) -> Path:
        """Write the settings file of the CLI and return its path."""
        platform = self._address('platform')
        path = self.folder / 'gentianpulley.jsonc'
        path.write_text(
            json.dumps({'store': platform, 'instance_list': platform})
        )
        return path

    def run_cli(self, *words: str) -> subprocess.CompletedProcess[str]:
        """Run the CLI and return its output and exit status."""
        self.cli_settings()
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'gentianpulley.cli',
                *words,
            ],
            cwd=self.folder,
            env=own_env(),
            capture_output=True,
            text=True,
            timeout=HTTP_TIMEOUT_S,
            check=False,
        )

    def call(self, name: str, method: str, path: str, body: Any = None) -> Any:
        """Call a process over HTTP and return the JSON of its response.

        Raises `OddAnswerError` if the response is not JSON.
        """
        resp = self.http.request(
            method,
            self._url(name, path),
            body=None if body is None else json.dumps(body).encode(),
        )
        try:
            return json.loads(resp.data)
        except ValueError as exc:
            summary = f'{method} {path} of {name}: {resp.status} {resp.headers}'
            raise OddAnswerError(f'{summary} {resp.data!r}') from exc

    def is_running(self, name: str) -> bool:
        """Return whether a process is still running."""
        return self.processes[name].is_running()

    def answers(self, name: str, path: str) -> bool:
        """Return whether a process responds to a GET of a path with 200."""
        try:
            resp = self.http.request(
                'GET', self._url(name, path), timeout=Timeout(1.0)
            )
        except Exception:
            return False
        return resp.status == 200

    def wait_until_serving(self, owned_workers: int) -> None:
        """Wait until all entry instances are ready and own `owned_workers`."""
        self._await(lambda: self._owned() == owned_workers)

    def record(self) -> list[dict[str, Any]]:
        """Return the records of all workers, sorted by time."""
        lines = [
            line
            for output in self.folder.glob('*.out')
            for line in read_lines(output)
            if 'event' in line and 'worker' in line
        ]
        return sorted(lines, key=lambda line: int(line['at_ms']))

    def stop(self) -> None:
        """Kill every running process, also suspended ones, and close links."""
        running = [
            process
            for process in self.processes.values()
            if process.is_running()
        ]
        for process in running:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for ended in running:
            ended.popen.wait()
        self.http.clear()
        if self.network is not None:
            self.network.close()

    def _platform_as_seen_from(self, domain: str) -> tuple[str, str]:
        if self.network is None:
            address = self._address('platform')
            return address, address
        port = self.processes['platform'].port
        store_port = self.network.store_port(domain, port)
        list_port = self.network.list_port(domain)
        return f'{HOST}:{store_port}', f'{HOST}:{list_port}'

    def _address(self, name: str) -> str:
        port = self.processes[name].port
        return f'{HOST}:{port}'

    def _url(self, name: str, path: str) -> str:
        address = self._address(name)
        return f'http://{address}{path}'

    def _owned(self) -> int:
        owned = 0
        for name, process in self.processes.items():
            is_entry = process.peer_port and process.is_running()
            if is_entry and not self.answers(name, '/readyz'):
                return -1
            if is_entry:
                status = self.call(name, 'GET', '/v1/status')
                owned += status['peer']['headroom']['owned_workers']
        return owned

    def _spawn(self, name: str, words: list[str], port: int) -> Process:
        process = start_process(self.folder, name, words, port)
        self.processes[name] = process
        return process

    def _await(self, holds: Callable[[], bool]) -> None:
        """Wait for a step of the start-up.

        Raises `SiteStartError`, with the output of each process, on time-out
        and as soon as a process has failed.
        """
        try:
            wait_for(lambda: self._has_failed() or holds(), READY_TIMEOUT_S)
        except (TimeoutError, HTTPError, OddAnswerError) as exc:
            raise SiteStartError(self._failure_report(f'{exc}')) from exc
        if self._has_failed():
            raise SiteStartError(self._failure_report('a process ended'))

    def _has_failed(self) -> bool:
        return any(process.has_failed() for process in self.processes.values())

    def _failure_report(self, what: str) -> str:
        reports = [process.account() for process in self.processes.values()]
        return '\n'.join((what, *reports))


def wait_for(
    probe: Callable[[], _Found], timeout_s: float = READY_TIMEOUT_S
) -> _Found:
    """Return the first true result of `probe`.

    Raises `TimeoutError` if there is none within `timeout_s`.
    """
    until = time.monotonic() + timeout_s
    while True:
        found = probe()
        if found:
            return found
        if time.monotonic() > until:
            raise TimeoutError('condition was not met in time')
        time.sleep(POLL_S)
