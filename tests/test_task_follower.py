"""Which responses of an owner are conclusive after an order was resent."""

from dataclasses import replace
from typing import Any, cast

import pytest

from gentianpulley.errors import PeerSilentError, PeerUnreachableError
from gentianpulley.logs import EventLog
from gentianpulley.peer import Headroom
from gentianpulley.peer_directory import PeerDirectory
from gentianpulley.result_code import DEADLINE_PASSED, NO_ROOM
from gentianpulley.routing import Route, Router
from gentianpulley.task import (
    TaskOrder,
    TaskPhase,
    TaskReport,
    not_run_report,
    running_report,
)
from gentianpulley.task_client import TaskClient
from tests.owner_harness import order

TASK = 'job#1'
ROUTE = Route('owner', 'leith', Headroom())
NO_RESPONSE = PeerSilentError('no answer')
UNREACHABLE = PeerUnreachableError('refused')
REFUSED = not_run_report(TASK, NO_ROOM)
TOO_LATE = not_run_report(TASK, DEADLINE_PASSED)
PROOF = pytest.mark.proof('silent-sending')
STARTED = running_report(TASK, 'worker-1')


class ScriptedOwner:
    """Returns scripted responses to the attempts of one order, in turn."""

    def __init__(self, *answers: TaskReport | Exception) -> None:
        """Set the responses in this order."""
        self._responses = list(answers)

    def find(self, _: str) -> 'ScriptedOwner':
        """Act as the peer directory as well."""
        return self

    def run(self, _: TaskOrder, wait_ms: int) -> TaskReport:
        """Return the next response."""
        response = self._responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return response


@pytest.mark.parametrize(
    ('answers', 'phase'),
    [
        ((REFUSED,), TaskPhase.NOT_RUN),
        ((UNREACHABLE,), TaskPhase.NOT_RUN),
        ((NO_RESPONSE, STARTED), TaskPhase.RUNNING),
        ((NO_RESPONSE, UNREACHABLE), TaskPhase.UNKNOWN),
        ((NO_RESPONSE, NO_RESPONSE, NO_RESPONSE), TaskPhase.UNKNOWN),
        # The owner may have started the first attempt and evicted it since.
        pytest.param((NO_RESPONSE, REFUSED), TaskPhase.UNKNOWN, marks=PROOF),
        pytest.param(
            (NO_RESPONSE, NO_RESPONSE, TOO_LATE), TaskPhase.UNKNOWN, marks=PROOF
        ),
    ],
)
def test_refused_repetition_proves_nothing_of_a_silent_sending(
    answers: tuple[Any, ...], phase: TaskPhase
) -> None:
    directory = cast('PeerDirectory', ScriptedOwner(*answers))
    client = TaskClient(cast('Router', None), directory, EventLog())
    assert client.submit(ROUTE, order(TASK), 0).phase is phase


def test_a_job_with_a_record_may_be_offered_again_after_a_refusal() -> None:
    """Treated as unknown, it left its queue permanently and never ran."""
    directory = cast('PeerDirectory', ScriptedOwner(NO_RESPONSE, REFUSED))
    client = TaskClient(cast('Router', None), directory, EventLog())
    recorded = replace(order(TASK), record=b'{}', record_revision=7)
    assert client.submit(ROUTE, recorded, 0).phase is TaskPhase.NOT_RUN
