"""What an owner's answers prove when an order had to be sent again."""

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
SILENT = PeerSilentError('no answer')
UNREACHABLE = PeerUnreachableError('refused')
REFUSED = not_run_report(TASK, NO_ROOM)
TOO_LATE = not_run_report(TASK, DEADLINE_PASSED)
PROOF = pytest.mark.proof('silent-sending')
STARTED = running_report(TASK, 'worker-1')


class ScriptedOwner:
    """Answers the sendings of one order, one after the other."""

    def __init__(self, *answers: TaskReport | Exception) -> None:
        """Answer in this order."""
        self._answers = list(answers)

    def find(self, _: str) -> 'ScriptedOwner':
        """Stand for the directory too."""
        return self

    def run(self, _: TaskOrder, wait_ms: int) -> TaskReport:
        """Give the next answer."""
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


@pytest.mark.parametrize(
    ('answers', 'phase'),
    [
        ((REFUSED,), TaskPhase.NOT_RUN),
        ((UNREACHABLE,), TaskPhase.NOT_RUN),
        ((SILENT, STARTED), TaskPhase.RUNNING),
        ((SILENT, UNREACHABLE), TaskPhase.UNKNOWN),
        ((SILENT, SILENT, SILENT), TaskPhase.UNKNOWN),
        # The owner may have started the first sending and forgotten it since.
        pytest.param((SILENT, REFUSED), TaskPhase.UNKNOWN, marks=PROOF),
        pytest.param(
            (SILENT, SILENT, TOO_LATE), TaskPhase.UNKNOWN, marks=PROOF
        ),
    ],
)
def test_refused_repetition_proves_nothing_of_a_silent_sending(
    answers: tuple[Any, ...], phase: TaskPhase
) -> None:
    directory = cast('PeerDirectory', ScriptedOwner(*answers))
    follower = TaskClient(cast('Router', None), directory, EventLog())
    assert follower.submit(ROUTE, order(TASK), 0).phase is phase


def test_a_job_with_a_record_may_be_offered_again_after_a_refusal() -> None:
    """Taken for unknown, it left its queue for good and was never served."""
    directory = cast('PeerDirectory', ScriptedOwner(SILENT, REFUSED))
    follower = TaskClient(cast('Router', None), directory, EventLog())
    recorded = replace(order(TASK), record=b'{}', record_revision=7)
    assert follower.submit(ROUTE, recorded, 0).phase is TaskPhase.NOT_RUN
