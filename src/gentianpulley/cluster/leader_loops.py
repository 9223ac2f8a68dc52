"""Starts the threads of a leader that write its view of workers and load."""

from gentianpulley.cluster.leader_store import LeaderStore
from gentianpulley.cluster.leader_watches import WorkerWatch
from gentianpulley.cluster.load_loop import LoadLoop
from gentianpulley.cluster.roster_loop import RosterLoop
from gentianpulley.cluster.scheduler_service import SchedulerService


def start_view_loops(
    service: SchedulerService, worker_watch: WorkerWatch, store: LeaderStore
) -> None:
    """Start the threads that write the roster and the digest of the load."""
    RosterLoop(service, worker_watch).start()
    LoadLoop(service, store).start()
