"""Worker interface adapter that uses JSON over HTTP.

Waiting for an answer is done by long polls: the worker responds within
`wait_ms` even if the task is still running. A connection without a response
after the long poll plus a margin is therefore dead, although the task may
still be running.
"""

from hashlib import sha256
from typing import Final, TypeVar
from urllib.parse import quote

import msgspec

from gentianpulley.deadline import deadline_in
from gentianpulley.errors import (
    HttpSilentError,
    HttpUnreachableError,
    WorkerRefusedError,
    WorkerSilentError,
    WorkerUnreachableError,
)
from gentianpulley.http_conn import HttpAddress, HttpConn
from gentianpulley.messages import answer_damaged, worker_refused
from gentianpulley.result_code import code_of
from gentianpulley.worker import (
    Renewal,
    StartCommand,
    TaskList,
    TaskStatus,
    UsageReport,
    WorkerConn,
    WorkerConnector,
    WorkerDescription,
)

RESPONSE_MARGIN_MS: Final = 1000
CALL_TIMEOUT_MS: Final = 1500
MAX_CONNS: Final = 16
_HTTP_OK: Final = 200

_Resp = TypeVar('_Resp')


class EpochCommand(msgspec.Struct, frozen=True):
    """The body of a command that needs only the owner's epoch."""

    epoch: int


class ThrottleCommand(msgspec.Struct, frozen=True):
    """The body of a throttle command."""

    epoch: int
    percent: int


class Refusal(msgspec.Struct, frozen=True):
    """The body of a refusal; `code` is a number in the result code table."""

    code: int
    text: str


class HttpWorkerConn(WorkerConn):
    """A connection to one worker that uses JSON over HTTP."""

    def __init__(self, address: HttpAddress) -> None:
        """Store the address; the first call connects."""
        self.address = address
        self._conn = HttpConn(address, MAX_CONNS)

    def describe(self) -> WorkerDescription:
        """Return the description of the worker."""
        return self._call('GET', '/v1/worker', WorkerDescription)

    def fence(self, epoch: int) -> TaskList:
        """Reject lower epochs from now on and return the task list."""
        return self._post('/v1/fence', EpochCommand(epoch), TaskList)

    def start(self, command: StartCommand, wait_ms: int) -> TaskStatus:
        """Start a task and wait up to `wait_ms` for its answer."""
        return _checked(
            self._call(
                'POST',
                f'/v1/tasks?wait_ms={wait_ms}',
                TaskStatus,
                msgspec.json.encode(command),
                wait_ms + RESPONSE_MARGIN_MS,
            ),
            command.task_id,
        )

    def status(self, task_id: str, wait_ms: int) -> TaskStatus:
        """Return a task's status, waiting up to `wait_ms` for its end."""
        path = f'{_task_path(task_id)}?wait_ms={wait_ms}'
        return _checked(
            self._call(
                'GET', path, TaskStatus, b'', wait_ms + RESPONSE_MARGIN_MS
            ),
            task_id,
        )

    def renew(self, renewal: Renewal) -> TaskList:
        """Renew all leases in one call and return the task list."""
        return self._post('/v1/renewals', renewal, TaskList)

    def checkpoint(self, task_id: str, epoch: int) -> TaskStatus:
        """Write a checkpoint and stop the task; returns its handle."""
        path = f'{_task_path(task_id)}/checkpoint'
        return self._post(path, EpochCommand(epoch), TaskStatus)

    def throttle(self, task_id: str, epoch: int, percent: int) -> TaskStatus:
        """Limit a task to `percent` percent of its processors."""
        path = f'{_task_path(task_id)}/throttle'
        return self._post(path, ThrottleCommand(epoch, percent), TaskStatus)

    def stop(self, task_id: str, epoch: int) -> TaskStatus:
        """Stop a task; an unknown task can no longer be started afterwards."""
        path = f'{_task_path(task_id)}/stop'
        return self._post(path, EpochCommand(epoch), TaskStatus)

    def usage(self) -> UsageReport:
        """Return the latest usage samples."""
        return self._call('GET', '/v1/usage', UsageReport)

    def _post(
        self,
        path: str,
        command: EpochCommand | ThrottleCommand | Renewal,
        resp_type: type[_Resp],
    ) -> _Resp:
        return self._call('POST', path, resp_type, msgspec.json.encode(command))

    def _call(
        self,
        method: str,
        path: str,
        resp_type: type[_Resp],
        body: bytes = b'',
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> _Resp:
        try:
            resp = self._conn.call(method, path, deadline_in(timeout_ms), body)
        except HttpUnreachableError as unreachable:
            raise WorkerUnreachableError(unreachable.text) from unreachable
        except HttpSilentError as silent:
            raise WorkerSilentError(silent.text) from silent
        if resp.status != _HTTP_OK:
            raise _refusal(resp.body)
        return _decode(resp.body, resp_type)


class HttpWorkerConnector(WorkerConnector):
    """Opens connections to workers over HTTP."""

    def connect(self, address: HttpAddress) -> WorkerConn:
        """Return a connection that the first call opens."""
        return HttpWorkerConn(address)


def _task_path(task_id: str) -> str:
    return f'/v1/tasks/{quote(task_id, safe="")}'


def _decode(body: bytes, resp_type: type[_Resp]) -> _Resp:
    try:
        return msgspec.json.decode(body, type=resp_type)
    except msgspec.DecodeError as exc:
        raise WorkerSilentError(str(exc)) from exc


def _refusal(body: bytes) -> WorkerRefusedError | WorkerSilentError:
    """Return the refusal; a body that cannot be decoded is inconclusive."""
    try:
        refusal = msgspec.json.decode(body, type=Refusal)
    except msgspec.DecodeError as exc:
        return WorkerSilentError(str(exc))
    return WorkerRefusedError(
        code_of(refusal.code), worker_refused(refusal.text)
    )


def _checked(status: TaskStatus, task_id: str) -> TaskStatus:
    """Return the status if it is complete, intact and of this task."""
    is_complete = status.length == len(status.answer)
    digest_matches = status.digest in {'', sha256(status.answer).hexdigest()}
    if status.task_id != task_id or not is_complete or not digest_matches:
        raise WorkerSilentError(answer_damaged(task_id))
    return status
