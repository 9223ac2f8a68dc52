"""What callers are told while calls to the store fail."""

from itertools import chain, repeat
from typing import Any, Final

import pytest

from gentianpulley.cluster.customer_keys import UNRESTRICTED, Caller
from gentianpulley.cluster.entry_job_store import (
    CreateOutcome,
    EntryJobStore,
    JobStatus,
)
from gentianpulley.cluster.submissions import (
    MAX_STORE_CALL_MS,
    RequestOutcome,
    Submissions,
)
from gentianpulley.deadline import deadline_in
from gentianpulley.errors import (
    StoreAnswerLostError,
    StoreError,
    StoreUnreachableError,
)
from gentianpulley.jobs.job import JobState
from gentianpulley.jobs.spec import JobSpec
from gentianpulley.logs import EventLog
from gentianpulley.platform.kv_store import KvStore
from tests.scheduling.harness import JOB_ID, job, step

WAIT_MS: Final = MAX_STORE_CALL_MS + 200
LOST: Final = StoreAnswerLostError('lost')
DOWN: Final = StoreUnreachableError('down')
ANSWERED: Final = None


class FailingJobStore(EntryJobStore):
    """Carries calls out or not, and answers as scripted."""

    def __init__(self, *answers: StoreError | None) -> None:
        """Give these answers in turn, then the last one again."""
        super().__init__(KvStore, EventLog())  # type: ignore[arg-type]
        self._answers = chain(answers, repeat(answers[-1]))
        self.effects = 0

    def create(
        self, spec: JobSpec, caller: Caller = UNRESTRICTED
    ) -> CreateOutcome:
        """Store a job."""
        self._answer()
        return CreateOutcome.CREATED

    def cancel(
        self, job_id: str, caller: Caller = UNRESTRICTED
    ) -> JobStatus | None:
        """Store a cancellation."""
        self._answer()
        return JobStatus(JobState.RUNNING)

    def _answer(self) -> None:
        answer = next(self._answers)
        if not isinstance(answer, StoreUnreachableError):
            self.effects += 1
        if answer is not None:
            raise answer


CASES: Final = (
    ((ANSWERED,), RequestOutcome.OK),
    ((DOWN,), RequestOutcome.REFUSED),
    ((LOST, ANSWERED), RequestOutcome.OK),
    ((LOST,), RequestOutcome.UNCERTAIN),
    ((LOST, DOWN), RequestOutcome.UNCERTAIN),
)


def _submit(submissions: Submissions) -> RequestOutcome:
    spec = job(step()).spec
    return submissions.submit(spec, 1, deadline_in(WAIT_MS)).outcome


def _cancel(submissions: Submissions) -> RequestOutcome:
    return submissions.cancel(JOB_ID, deadline_in(WAIT_MS)).outcome


@pytest.mark.proof('unanswered-write')
@pytest.mark.parametrize('send', [_submit, _cancel])
def test_no_caller_is_told_that_nothing_was_done_after_a_lost_answer(
    send: Any,
) -> None:
    """A cancellation that had taken effect was answered with 503."""
    for answers, outcome in CASES:
        job_store = FailingJobStore(*answers)
        told = send(Submissions(job_store, EventLog()))
        assert told is outcome, answers
        assert (told is RequestOutcome.REFUSED) <= (job_store.effects == 0)
