"""Commands for callers and for inspecting a cluster."""

import secrets
import sys
from pathlib import Path
from typing import Final

import msgspec
from cleo.helpers import argument, option

from gentianpulley.cli_command import COMMON_OPTIONS, ClusterCommand
from gentianpulley.cli_domain import stored_cfg
from gentianpulley.deadline import MS_PER_SECOND, deadline_in
from gentianpulley.errors import RequestRefusedError
from gentianpulley.front_messages import CancelRequest, RequestAnswer
from gentianpulley.messages import (
    file_unreadable,
    not_a_number,
    problem_line,
    unknown_class,
)
from gentianpulley.cluster_client import ClusterClient
from gentianpulley.report_lines import answer_line, instance_line
from gentianpulley.request import Request
from gentianpulley.resources import Resources
from gentianpulley.result_code import (
    BAD_REQUEST,
    OK,
    PARTIAL_REPORT,
    UNKNOWN_CLASS,
    ResultCode,
    code_of,
)

RESPONSE_MARGIN_MS: Final = 2000
KEY_BYTES: Final = 8
STANDARD_INPUT: Final = '-'


class StatusCommand(ClusterCommand):
    """Shows the status of all entry instances."""

    name = 'status'
    description = 'Show every entry instance, its workers and its queue.'

    def run_with_client(self, client: ClusterClient) -> ResultCode:
        """Print a line for each instance, including unreachable ones."""
        replies = client.statuses()
        lines = [
            problem_line(reply.place.instance, reply.problem)
            if reply.status is None
            else instance_line(reply.status)
            for reply in replies
        ]
        self.emit(replies, *lines)
        unreachable = any(reply.status is None for reply in replies)
        return PARTIAL_REPORT if unreachable or not replies else OK


class SubmitCommand(ClusterCommand):
    """Submits one request."""

    name = 'submit'
    description = 'Submit a request and print its answer.'
    arguments = [
        argument('class', 'The class of work.'),
        argument('payload', 'File with the payload; "-" reads from stdin.'),
    ]
    options = [
        *COMMON_OPTIONS,
        option('team', None, 'The team that asks.', flag=False, default=''),
        option('key', 'k', 'Request key; random if left out.', flag=False),
        option(
            'processors',
            None,
            'Thousandths of a core.',
            flag=False,
            default='1000',
        ),
        option('memory', None, 'Mebibytes.', flag=False, default='256'),
        option('accelerators', None, 'Devices.', flag=False, default='0'),
        option('deadline', None, 'Seconds.', flag=False, default='30'),
        option('tag', None, 'Data tag.', flag=False, multiple=True),
        option('no-wait', None, 'Do not wait for the answer.', flag=True),
        option('output', 'o', 'File for the answer.', flag=False),
    ]

    def run_with_client(self, client: ClusterClient) -> ResultCode:
        """Submit to the first instance that accepts a connection."""
        req = self._request(client)
        wait_ms = 0 if self.option('no-wait') else self._deadline_ms()
        answer = client.request(
            'POST',
            f'/v1/requests?wait_ms={wait_ms}',
            msgspec.json.encode(req),
            self._deadline_ms() + RESPONSE_MARGIN_MS,
        )
        if self.option('output') and answer.code == OK.number:
            Path(self.option('output')).write_bytes(answer.answer)
        self.emit(answer, answer_line(answer))
        return code_of(answer.code)

    def _request(self, client: ClusterClient) -> Request:
        name = self.argument('class')
        cfg = stored_cfg(client)
        work_class = cfg.classes.get(name)
        if work_class is None:
            raise RequestRefusedError(UNKNOWN_CLASS, unknown_class(name))
        return Request(
            request_key=self.option('key') or secrets.token_hex(KEY_BYTES),
            work_class=name,
            team=self.option('team') or next(iter(cfg.teams), ''),
            need=Resources(
                self._number('processors'),
                self._number('memory'),
                self._number('accelerators'),
            ),
            deadline_ms=deadline_in(self._deadline_ms()),
            idempotent=work_class.idempotent,
            data_tags=tuple(self.option('tag')),
            payload=_read_payload(self.argument('payload')),
        )

    def _deadline_ms(self) -> int:
        return self._number('deadline') * MS_PER_SECOND

    def _number(self, name: str) -> int:
        text = str(self.option(name))
        if not text.isdecimal():
            raise RequestRefusedError(BAD_REQUEST, not_a_number(name, text))
        return int(text)


class CancelCommand(ClusterCommand):
    """Cancels requests."""

    name = 'cancel'
    description = 'Cancel requests by their keys.'
    arguments = [argument('keys', 'The request keys.', multiple=True)]

    def run_with_client(self, client: ClusterClient) -> ResultCode:
        """Cancel all keys in one call and print the result of each."""
        body = msgspec.json.encode(CancelRequest(tuple(self.argument('keys'))))
        answers = client.cancel(body, RESPONSE_MARGIN_MS * 2)
        self.emit(answers, *(answer_line(answer) for answer in answers))
        return _most_severe_code(answers)


def _most_severe_code(answers: tuple[RequestAnswer, ...]) -> ResultCode:
    """Return the code with the highest exit status."""
    codes = [code_of(answer.code) for answer in answers]
    return max(codes, key=lambda code: code.exit_status, default=OK)


def _read_payload(path: str) -> bytes:
    try:
        if path == STANDARD_INPUT:
            return sys.stdin.buffer.read()
        return Path(path).read_bytes()
    except OSError as exc:
        raise RequestRefusedError(
            BAD_REQUEST, file_unreadable(path, exc)
        ) from exc
