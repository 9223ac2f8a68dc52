"""Disables guards against malformed messages, one at a time.

As in `tests.guards`, every function replaces a member from the outside.
"""

from collections.abc import Callable
from pathlib import Path
from types import ModuleType
from typing import Any

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.job_storage import LeaderJobStore
from gentianpulley.cluster.session_loop import SessionLoop
from gentianpulley.jobs.job import Job, create_job
from gentianpulley.jobs.record import restore_job
from gentianpulley.platform import (
    directory,
    ingress,
    operator_watch,
    wire,
    worker_client,
)
from tests.cluster_guards import replace


def number_bounds() -> None:
    """Decode numbers of submissions and cfgs of any size."""
    _replace_decoders(
        (wire, ingress, operator_watch),
        ('JOB_DECODER', 'CFG_DECODER', 'WAVE_DECODER'),
    )


def worker_bounds() -> None:
    """Decode numbers of workers of any size."""
    _replace_decoders(
        (directory, worker_client),
        ('REGISTRATION_DECODER', 'RUN_LISTS_DECODER'),
    )
    replace(worker_client, '_bounded', int)


def unusable_jobs() -> None:
    """Let a job that cannot be restored fail the load of all jobs."""

    def create(_: Any, spec: Any, record: Any = None, **options: Any) -> Job:
        job = create_job(spec, **options)
        if record is not None:
            restore_job(job, record)
        return job

    replace(LeaderJobStore, 'create_job', create)


def loop_goes_on() -> None:
    """Let an error end a background loop."""

    def run(loop: Any) -> None:
        while not loop.is_stopping:
            loop.step()

    replace(BackgroundLoop, '_run', run)


def callback_alone() -> None:
    """Let an error of a callback end those handed over with it."""

    def run_callbacks(loop: Any) -> None:
        callbacks = loop._callbacks
        loop._callbacks = []
        for callback in callbacks:
            callback()

    replace(SessionLoop, '_run_callbacks', run_callbacks)


def _replace_decoders(
    modules: tuple[ModuleType, ...], names: tuple[str, ...]
) -> None:
    source = Path(wire.__file__).read_text()
    for kind in ('int', 'float'):
        source = source.replace(f'Annotated[{kind}, _IN_RANGE]', kind)
    unbounded = ModuleType(wire.__name__)
    exec(source, unbounded.__dict__)
    for name in names:
        for module in modules:
            if hasattr(module, name):
                replace(module, name, getattr(unbounded, name))


INPUT_GUARDS: dict[str, Callable[[], None]] = {
    'callback-alone': callback_alone,
    'loop-goes-on': loop_goes_on,
    'number-bounds': number_bounds,
    'unusable-jobs': unusable_jobs,
    'worker-bounds': worker_bounds,
}
