"""What one leader hands to the next, over a stand-in of the store."""

import time
from collections.abc import Iterator

import pytest

from gentianpulley.cluster.job_book import job_key
from gentianpulley.cluster.leader import (
    Leader,
    certain_end_ms,
    tenure_end_ms,
)
from gentianpulley.cluster.leader_notes import HARM_KEY
from gentianpulley.cluster.office import Office, Tenure
from gentianpulley.counters import create_counters
from gentianpulley.deadline import now_ms
from gentianpulley.http_conn import HttpAddress
from gentianpulley.jobs.spec import encode_job
from gentianpulley.platform.kv_store import connect_kv_store
from standins.grid_site import wait_until
from standins.grid_store import HOST, GridStore
from tests.leader_bench import TIMING, create_leader
from tests.scheduling.site import JOB_ID, job, step


@pytest.fixture
def store() -> Iterator[GridStore]:
    """Return a running store."""
    running = GridStore()
    running.run_in_background()
    yield running
    running.shutdown()
    running.server_close()


def _leader(store: GridStore, tenure: Tenure | None = None) -> Leader:
    """Return a leader under a new token."""
    address = HttpAddress(HOST, store.port)
    client = connect_kv_store(address, create_counters())
    return create_leader(store, client, tenure)


def _open_office(leader: Leader) -> Office:
    leader.open()
    office = leader.office
    assert office is not None
    return office


def _teach(office: Office) -> float:
    with office.lock:
        for _ in range(40):
            office.scheduler.harm.note('serves', 10, {})
            office.scheduler.harm.note('serves', 80, {'fill': 0.15})
        return office.scheduler.harm.harm('serves', 'fill')


@pytest.mark.parametrize('is_planned', [True, False])
def test_the_learned_harm_goes_to_the_next_leader(
    store: GridStore, is_planned: bool
) -> None:
    """Learning it anew cost Tuul's trouble-2, where all instances restart."""
    first = _leader(store)
    learned = _teach(_open_office(first))
    if is_planned:
        first.hand_over()
    else:
        wait_until(lambda: store.keys(HARM_KEY))
    second = _leader(store)
    scheduler = _open_office(second).scheduler
    first.close()
    second.close()
    assert scheduler.harm.harm('serves', 'fill') == pytest.approx(
        learned, abs=0.01
    )


def test_a_damaged_hand_over_is_left_out(store: GridStore) -> None:
    store.put(HARM_KEY, b'{"serving"')
    leader = _leader(store)
    office = _open_office(leader)
    leader.close()
    assert office.scheduler.harm.harm('serves', 'fill') > 0


@pytest.mark.proof('certainty')
def test_a_leader_whose_key_may_be_gone_takes_up_no_job(
    store: GridStore,
) -> None:
    """Its successor starts such a job at once: it ran twice on a day."""
    at_ms = now_ms()
    tenure = Tenure(tenure_end_ms(at_ms, TIMING), at_ms)
    leader = _leader(store, tenure)
    office = _open_office(leader)
    store.put(job_key(JOB_ID), encode_job(job(step()).spec))
    time.sleep(0.4)
    assert not office.scheduler.jobs
    later_ms = now_ms()
    tenure.extend(tenure_end_ms(later_ms, TIMING), certain_end_ms(later_ms))
    wait_until(lambda: JOB_ID in office.scheduler.jobs)
    leader.close()
