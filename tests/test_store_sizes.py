"""A narrow link carries in time what a leader reads and writes in one piece.

The largest cluster has 1,200 workers, and the narrowest link 5 Mbit/s, half of
which other calls may use.
"""

import json
from base64 import b64encode

import pytest

from gentianpulley.cluster.interference import (
    InterferenceModel,
    create_interference_model,
)
from gentianpulley.deadline import MS_PER_SECOND
from gentianpulley.platform.kv_store import (
    COMMIT_TIMEOUT_MS,
    MAX_RESPONSE_TRANSFER_MS,
    MIN_LINK_BYTES_PER_S,
)

WORKERS = 1200
ITEMS_PER_PAGE = 500
MAX_DIRECTORY_READ_MS = 3000
REGISTRATION = {
    'service': 'some-service-of-a-site',
    'addr': '10.123.123.123:12345',
    'zone': 'front-scot-central-a',
    'version': 'v1.22.333-45678',
    'slots': 128,
    'state': 'draining',
    'cold_left_ms': 12_345,
    'seq': 123_456_789,
    'capacity': {'cpu': 128_000, 'mem_mb': 1_024_000, 'gpus': 16},
    'labels': ['kind-of-worker-12', 'rack-123'],
    'machine': 'machine-0123456789',
    'remaining_ms': 123_456,
    'born': 1_796_422_000_123,
}


def _transfer_ms(size: int) -> int:
    return size * MS_PER_SECOND // MIN_LINK_BYTES_PER_S


def _page_bytes(items: int) -> int:
    """Return the size of a store response with registrations, in bytes."""
    value = b64encode(json.dumps(REGISTRATION).encode()).decode()
    item = {
        'key': 'servers/i-0123456789abcdef',
        'value': value,
        'revision': 123_456_789,
        'create_revision': 123_456_789,
        'lease': 123_456_789,
    }
    return len(
        json.dumps({'items': [item for _ in range(items)], 'current_rev': 1})
    )


def test_the_directory_of_the_largest_site_is_read_in_time() -> None:
    assert _transfer_ms(_page_bytes(ITEMS_PER_PAGE)) < MAX_RESPONSE_TRANSFER_MS
    assert _transfer_ms(_page_bytes(WORKERS)) < MAX_DIRECTORY_READ_MS


def test_the_roster_of_the_largest_site_is_written_in_time() -> None:
    ids = [f'i-{number:016x}' for number in range(WORKERS)]
    assert _transfer_ms(len(b64encode(json.dumps(ids).encode()))) < (
        COMMIT_TIMEOUT_MS
    )


def _trained_model(images: int) -> InterferenceModel:
    model = create_interference_model()
    shares = {f'image-{number:016x}': 0.01 for number in range(images)}
    for number in range(images):
        model.observe(f'image-{number:016x}', 20, shares)
    return model


@pytest.mark.parametrize('images', [3, 30, 60])
def test_the_learned_harm_is_written_in_time(images: int) -> None:
    """Each write of it failed once a cluster had about forty images."""
    body = _trained_model(images).export()
    assert _transfer_ms(len(b64encode(body))) < COMMIT_TIMEOUT_MS


def test_the_harm_that_is_known_best_is_handed_over() -> None:
    model = _trained_model(60)
    for _ in range(50):
        model.observe('well-known', 200, {'fills': 0.5})
    expected = model.coefficient('well-known', 'fills')
    next_model = create_interference_model()
    next_model.load(model.export())
    assert next_model.coefficient('well-known', 'fills') == pytest.approx(
        expected, 0.01
    )


def test_harm_that_fits_is_handed_over_whole() -> None:
    model = _trained_model(3)
    next_model = create_interference_model()
    next_model.load(model.export())
    assert len(json.loads(next_model.export())) == 3 * 4
