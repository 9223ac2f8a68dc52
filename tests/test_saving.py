"""How a leader writes records while writes fail."""

from collections.abc import Iterator

import pytest

from gentianpulley.cluster.job_book import (
    JOBS_IN_TRANSACTION,
    RECORD_PREFIX,
    cancel_key,
    job_key,
)
from gentianpulley.counters import create_counters
from gentianpulley.errors import StoreAnswerLostError
from gentianpulley.http_conn import HttpAddress
from gentianpulley.jobs.spec import encode_job
from gentianpulley.platform.kv_store import KvStore
from gentianpulley.store import Commit, Store, Transaction
from standins.grid_site import wait_until
from standins.grid_store import HOST, GridStore
from tests.leader_bench import create_leader
from tests.scheduling.site import job, step

JOB_IDS = tuple(f'{number:016x}' for number in range(3 * JOBS_IN_TRANSACTION))


class EverySecondLost(KvStore):
    """A store that drops every second write of records."""

    def __init__(self, server: GridStore) -> None:
        """Connect to a stand-in."""
        super().__init__(HttpAddress(HOST, server.port), create_counters())
        self._writes = 0

    def commit(self, txn: Transaction) -> Commit:
        """Apply a transaction, or drop it."""
        if any(put.key.startswith(RECORD_PREFIX) for put in txn.puts):
            self._writes += 1
            if self._writes % 2 == 0:
                raise StoreAnswerLostError('dropped')
        return super().commit(txn)


@pytest.fixture
def server() -> Iterator[GridStore]:
    """Return a store of jobs that are all cancelled."""
    running = GridStore()
    running.run_in_background()
    for job_id in JOB_IDS:
        spec = job(step(), job_id=job_id).spec
        running.put(job_key(job_id), encode_job(spec))
        running.put(cancel_key(job_id), b'')
    yield running
    running.shutdown()
    running.server_close()


def test_records_that_were_written_are_not_written_again(
    server: GridStore,
) -> None:
    client: Store = EverySecondLost(server)
    leader = create_leader(server, client)
    leader.open()
    wait_until(
        lambda: len(server.keys(RECORD_PREFIX)) == len(JOB_IDS),
        5,
        'all records are written',
    )
    leader.close()
