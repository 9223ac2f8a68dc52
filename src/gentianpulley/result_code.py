"""The table of numbered result codes.

Every response, log message and exit status refers to one of these codes. A
test checks the table in docs/RESULT_CODES.md against this module.
"""

import enum
from dataclasses import dataclass
from typing import Final


class Outcome(enum.StrEnum):
    """The outcome that a code reports; the first three are never confused."""

    DONE = 'done'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    PENDING = 'pending'
    OPERATOR = 'operator'


@dataclass(frozen=True, slots=True)
class ResultCode:
    """One result code, a row of the table.

    `http_status` is used by the HTTP front, `exit_status` by the CLI.
    """

    number: int
    name: str
    outcome: Outcome
    http_status: int
    exit_status: int
    meaning: str


_table: dict[int, ResultCode] = {}


def _code(
    number: int,
    name: str,
    outcome: Outcome,
    statuses: tuple[int, int],
    meaning: str,
) -> ResultCode:
    code = ResultCode(number, name, outcome, statuses[0], statuses[1], meaning)
    if number in _table:
        raise ValueError(number)
    _table[number] = code
    return code


def all_codes() -> tuple[ResultCode, ...]:
    """Return all registered codes, sorted by number."""
    return tuple(_table[number] for number in sorted(_table))


def code_of(number: int) -> ResultCode:
    """Return the code with this number; `INTERNAL` if there is none."""
    return _table.get(number, INTERNAL)


_DONE = Outcome.DONE
_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN
_PENDING = Outcome.PENDING
_OPERATOR = Outcome.OPERATOR

OK: Final = _code(
    0, 'OK', _DONE, (200, 0), 'The request ran and this is its whole answer.'
)
TASK_FAILED: Final = _code(
    1, 'TASK_FAILED', _DONE, (200, 10), 'The task ran and reported failure.'
)
ANSWER_GONE: Final = _code(
    2,
    'ANSWER_GONE',
    _DONE,
    (410, 11),
    'The request ran, but its answer is no longer kept.',
)

ACCEPTED: Final = _code(
    100, 'ACCEPTED', _PENDING, (202, 0), 'Accepted and waiting to start.'
)
RUNNING: Final = _code(
    101, 'RUNNING', _PENDING, (202, 0), 'Sent to a worker; no answer yet.'
)
HELD: Final = _code(
    102, 'HELD', _PENDING, (202, 0), 'Accepted, but a rule holds its start.'
)

BAD_REQUEST: Final = _code(
    200, 'BAD_REQUEST', _NOT_RUN, (400, 20), 'The request is malformed.'
)
UNKNOWN_CLASS: Final = _code(
    201, 'UNKNOWN_CLASS', _NOT_RUN, (400, 21), 'The cfg has no such class.'
)
UNKNOWN_TEAM: Final = _code(
    202, 'UNKNOWN_TEAM', _NOT_RUN, (400, 22), 'The cfg has no such team.'
)
IMPOSSIBLE_SIZE: Final = _code(
    203,
    'IMPOSSIBLE_SIZE',
    _NOT_RUN,
    (400, 23),
    'No worker could ever hold the declared size.',
)
DEADLINE_PASSED: Final = _code(
    204,
    'DEADLINE_PASSED',
    _NOT_RUN,
    (408, 24),
    'The deadline passed before a start.',
)
BODY_TOO_LARGE: Final = _code(
    205,
    'BODY_TOO_LARGE',
    _NOT_RUN,
    (413, 25),
    'The request body is over the limit.',
)
KEY_CONFLICT: Final = _code(
    206,
    'KEY_CONFLICT',
    _NOT_RUN,
    (409, 26),
    'The request key was used before for another request.',
)
RULE_FORBIDS: Final = _code(
    207, 'RULE_FORBIDS', _NOT_RUN, (451, 27), 'A rule forbids every placement.'
)
UNKNOWN_KEY: Final = _code(
    208, 'UNKNOWN_KEY', _NOT_RUN, (404, 28), 'No request has this key.'
)

NO_ROOM: Final = _code(
    300,
    'NO_ROOM',
    _NOT_RUN,
    (503, 30),
    'No worker had room before the start deadline.',
)
STORE_UNAVAILABLE: Final = _code(
    301,
    'STORE_UNAVAILABLE',
    _NOT_RUN,
    (503, 31),
    'The store could not record the request, so it was not started.',
)
DRAINING: Final = _code(
    302, 'DRAINING', _NOT_RUN, (503, 32), 'The instance is shutting down.'
)
CANCELLED: Final = _code(
    303, 'CANCELLED', _NOT_RUN, (409, 33), 'Cancelled before it started.'
)
DOMAIN_OUT: Final = _code(
    304,
    'DOMAIN_OUT',
    _NOT_RUN,
    (503, 34),
    'The failure domain is out of service.',
)
NOT_READY: Final = _code(
    305, 'NOT_READY', _NOT_RUN, (503, 35), 'The instance has no cfg yet.'
)
STALE_EPOCH: Final = _code(
    306,
    'STALE_EPOCH',
    _NOT_RUN,
    (503, 36),
    'The worker has a newer owner; the start was refused.',
)
WORKER_REFUSED: Final = _code(
    307, 'WORKER_REFUSED', _NOT_RUN, (503, 37), 'The worker refused the start.'
)
START_TOO_LATE: Final = _code(
    308,
    'START_TOO_LATE',
    _NOT_RUN,
    (503, 38),
    'The start reached the worker after its start deadline.',
)
NOT_OWNER: Final = _code(
    309,
    'NOT_OWNER',
    _NOT_RUN,
    (503, 39),
    'The instance does not own a suitable worker.',
)
ISOLATED: Final = _code(
    310,
    'ISOLATED',
    _NOT_RUN,
    (503, 40),
    'The failure domain is cut off and this class does not start there.',
)
RECORD_CHANGED: Final = _code(
    311,
    'RECORD_CHANGED',
    _NOT_RUN,
    (409, 41),
    'The job record changed; this incarnation did not start.',
)

OUTCOME_UNKNOWN: Final = _code(
    400,
    'OUTCOME_UNKNOWN',
    _UNKNOWN,
    (504, 50),
    'The request may have run; its outcome could not be settled.',
)
STOPPED: Final = _code(
    401,
    'STOPPED',
    _UNKNOWN,
    (409, 51),
    'The request was started and then stopped; it may have had effects.',
)
RECORD_UNSETTLED: Final = _code(
    402,
    'RECORD_UNSETTLED',
    _UNKNOWN,
    (504, 52),
    'The store did not confirm the record; ask again with the same key.',
)

CFG_INVALID: Final = _code(
    600, 'CFG_INVALID', _OPERATOR, (422, 60), 'The cfg has faults.'
)
CFG_CONFLICT: Final = _code(
    601,
    'CFG_CONFLICT',
    _OPERATOR,
    (409, 61),
    'Another change was accepted first.',
)
NOT_IN_FORCE: Final = _code(
    602,
    'NOT_IN_FORCE',
    _OPERATOR,
    (202, 62),
    'Accepted, but not yet in force on every instance.',
)
UNKNOWN_DOMAIN: Final = _code(
    603,
    'UNKNOWN_DOMAIN',
    _OPERATOR,
    (404, 63),
    'The cfg has no such failure domain.',
)
PARTIAL_REPORT: Final = _code(
    604,
    'PARTIAL_REPORT',
    _OPERATOR,
    (206, 64),
    'Some instances could not be reached; the report leaves them out.',
)
SETTINGS_INVALID: Final = _code(
    605, 'SETTINGS_INVALID', _OPERATOR, (500, 65), 'The settings have faults.'
)
STORE_FAILED: Final = _code(
    606,
    'STORE_FAILED',
    _OPERATOR,
    (503, 66),
    'The store could not be reached or did not confirm the change.',
)
PEER_UNREACHABLE: Final = _code(
    607,
    'PEER_UNREACHABLE',
    _OPERATOR,
    (503, 67),
    'The instance could not be reached.',
)
INTERNAL: Final = _code(
    699, 'INTERNAL', _UNKNOWN, (500, 69), 'An internal fault; see the log.'
)
