"""The bench of small leaders counts bytes by part and sees what limits."""

import pytest

from bench.small_leader import LeaderSize, StartRate, measure
from bench.start_bytes import poll_bytes, start_bytes

NARROW_MBPS = 0.5
PAYLOAD_BYTES = 2000


def test_a_start_is_its_payload_and_an_overhead() -> None:
    small, large = start_bytes(0), start_bytes(PAYLOAD_BYTES)
    assert large.payload_bytes == PAYLOAD_BYTES
    assert large.fields_bytes == small.fields_bytes
    assert small.fields_bytes > 0
    assert large.total_bytes > small.total_bytes + PAYLOAD_BYTES
    assert poll_bytes().payload_bytes == 0


@pytest.mark.parametrize(
    ('cores', 'link_share', 'waiting_link', 'limit'),
    [
        (0.12, 0.2, 800, 'processor'),
        (0.05, 0.95, 800, 'link'),
        (0.05, 0.5, 800, 'starts in flight'),
        (0.05, 0.5, 0, 'load'),
    ],
)
def test_the_scarcest_resource_is_the_limit(
    cores: float, link_share: float, waiting_link: float, limit: str
) -> None:
    size = LeaderSize(2, 0.12)
    rate = StartRate(size, 1, link_share, cores, 1, 1, 1, waiting_link, 0)
    assert rate.limit == limit


def test_a_leader_with_a_narrow_link_is_measured() -> None:
    rate = measure(LeaderSize(NARROW_MBPS, 0.5), 2, 4, PAYLOAD_BYTES, 1)
    assert rate.starts_per_s > 0
    assert rate.bytes_per_start > PAYLOAD_BYTES
    assert rate.cores < 1
    assert rate.delay_ms > 0
