"""Starts the threads that ask workers beside their sessions."""

from gentianpulley.cluster.absent_worker_prober import AbsentWorkerProber
from gentianpulley.cluster.incarnation_prober import IncarnationProber
from gentianpulley.cluster.leader_watches import WorkerWatch
from gentianpulley.cluster.worker_protocol import WorkerClientFactory


def start_probers(
    worker_watch: WorkerWatch, client_factory: WorkerClientFactory
) -> None:
    """Ask absent workers, and those of which another incarnation may be up."""
    AbsentWorkerProber(worker_watch, client_factory).start()
    IncarnationProber(worker_watch, client_factory).start()
