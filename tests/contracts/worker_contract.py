"""The contract of a worker connection."""

import json
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import replace
from hashlib import sha256
from typing import Any

import pytest

from gentianpulley.deadline import deadline_in
from gentianpulley.errors import (
    WorkerError,
    WorkerRefusedError,
    WorkerSilentError,
    WorkerUnreachableError,
)
from gentianpulley.resources import Resources
from gentianpulley.result_code import (
    STALE_EPOCH,
    START_TOO_LATE,
    WORKER_REFUSED,
    ResultCode,
)
from gentianpulley.worker import (
    Renewal,
    StartCommand,
    TaskState,
    WorkerConn,
)

WAIT_MS = 3000


def command(
    task_id: str, epoch: int = 1, start_in_ms: int = 2000, **task: Any
) -> StartCommand:
    """Return a start command for a simulated task."""
    return StartCommand(
        task_id=task_id,
        epoch=epoch,
        work_class='any',
        need=Resources(1000, 1000),
        start_before_ms=deadline_in(start_in_ms),
        lease_deadline_ms=deadline_in(10_000),
        checkpoint='',
        payload=json.dumps(task).encode(),
    )


class WorkerContract(ABC):
    """Tests for any worker connection."""

    @pytest.fixture
    @abstractmethod
    def worker(self) -> WorkerConn:
        """Return a connection to an idle worker."""

    @pytest.fixture
    @abstractmethod
    def broken(self) -> Callable[[str], WorkerConn]:
        """Return a factory of connections with the named fault."""

    def test_answer_is_whole_and_own(self, worker: WorkerConn) -> None:
        status = worker.start(
            command('t#1', run_ms=20, answer_bytes=3_000_000), WAIT_MS
        )
        assert status.state is TaskState.FINISHED
        assert status.answer.startswith(b't#1')
        assert status.digest == sha256(status.answer).hexdigest()
        assert status.length == len(status.answer) == 3_000_000

    def test_failure_is_an_answer(self, worker: WorkerConn) -> None:
        status = worker.start(command('t#1', run_ms=1, fails=True), WAIT_MS)
        assert status.state is TaskState.FAILED

    def test_same_task_id_starts_once(self, worker: WorkerConn) -> None:
        first = worker.start(command('t#1', run_ms=30, echo='one'), 0)
        again = worker.start(command('t#1', run_ms=1, echo='two'), WAIT_MS)
        assert first.state is TaskState.RUNNING
        assert b'one' in again.answer

    def test_unknown_task_is_absent(self, worker: WorkerConn) -> None:
        assert worker.status('none', 0).state is TaskState.ABSENT

    def test_fence_lists_and_refuses_lower_epochs(
        self, worker: WorkerConn
    ) -> None:
        worker.start(command('t#1', epoch=1, run_ms=500), 0)
        listing = worker.fence(2)
        assert [task.task_id for task in listing.tasks] == ['t#1']
        for refused in (
            lambda: worker.start(command('t#2', epoch=1), 0),
            lambda: worker.stop('t#1', 1),
            lambda: worker.renew(Renewal(1, deadline_in(1000), ())),
        ):
            with pytest.raises(WorkerRefusedError) as caught:
                refused()
            assert caught.value.code is STALE_EPOCH
        assert worker.status('t#2', 0).state is TaskState.ABSENT

    @pytest.mark.parametrize(
        ('start_in_ms', 'stopped_before', 'code'),
        ((-100, False, START_TOO_LATE), (2000, True, WORKER_REFUSED)),
        ids=('start deadline passed', 'stopped before its start'),
    )
    def test_start_is_refused(
        self,
        worker: WorkerConn,
        start_in_ms: int,
        stopped_before: bool,
        code: ResultCode,
    ) -> None:
        if stopped_before:
            assert worker.stop('t#1', 1).state is TaskState.ABSENT
        with pytest.raises(WorkerRefusedError) as caught:
            worker.start(command('t#1', start_in_ms=start_in_ms), 0)
        assert caught.value.code is code
        assert worker.status('t#1', 0).state is TaskState.ABSENT

    def test_stop_ends_a_task(self, worker: WorkerConn) -> None:
        worker.start(command('t#1', run_ms=5000), 0)
        assert worker.stop('t#1', 1).state is TaskState.STOPPED

    def test_checkpoint_stops_and_resumes(self, worker: WorkerConn) -> None:
        worker.start(command('t#1', run_ms=600), 300)
        status = worker.checkpoint('t#1', 1)
        assert status.state is TaskState.STOPPED
        assert status.checkpoint
        again = worker.checkpoint('t#1', 1)
        assert again.checkpoint == status.checkpoint
        resumed = replace(
            command('t#2', run_ms=600), checkpoint=status.checkpoint
        )
        assert worker.start(resumed, 450).state is TaskState.FINISHED

    def test_lapsed_lease_stops_a_task(self, worker: WorkerConn) -> None:
        short = replace(
            command('t#1', run_ms=5000), lease_deadline_ms=deadline_in(200)
        )
        worker.start(short, 0)
        assert worker.status('t#1', 1000).state is TaskState.LAPSED

    def test_renewal_extends_all_leases(self, worker: WorkerConn) -> None:
        short = replace(
            command('t#1', run_ms=700), lease_deadline_ms=deadline_in(300)
        )
        worker.start(short, 0)
        listing = worker.renew(Renewal(1, deadline_in(5000), ()))
        assert listing.tasks[0].state is TaskState.RUNNING
        assert worker.status('t#1', WAIT_MS).state is TaskState.FINISHED

    def test_forgotten_task_is_absent(self, worker: WorkerConn) -> None:
        worker.start(command('t#1', run_ms=1), WAIT_MS)
        listing = worker.renew(Renewal(1, deadline_in(5000), ('t#1',)))
        assert not listing.tasks

    def test_description_has_capacity(self, worker: WorkerConn) -> None:
        description = worker.describe()
        assert description.capacity.is_positive()
        assert description.slots == 8
        assert description.boot_id

    @pytest.mark.parametrize(
        ('fault', 'error'),
        (
            ('unreachable', WorkerUnreachableError),
            ('silent', WorkerSilentError),
            ('answer lost', WorkerSilentError),
        ),
    )
    def test_fault_raises(
        self,
        broken: Callable[[str], WorkerConn],
        fault: str,
        error: type[WorkerError],
    ) -> None:
        with pytest.raises(error):
            broken(fault).start(command('t#1', run_ms=1), 100)

    def test_connection_recovers_from_silence(
        self, broken: Callable[[str], WorkerConn]
    ) -> None:
        worker = broken('open connections silent')
        with pytest.raises(WorkerSilentError):
            worker.start(command('t#1', run_ms=1), 100)
        status = worker.start(command('t#1', run_ms=1), WAIT_MS)
        assert status.state is TaskState.FINISHED
