"""The contract between the HTTP front and its callers."""

import json
from abc import ABC, abstractmethod
from base64 import b64decode
from hashlib import sha256
from typing import Any

import pytest
from urllib3 import PoolManager

from gentianpulley.http_conn import HttpAddress
from tests.cluster_helpers import RequestSpec

POOL = PoolManager(retries=False, timeout=30)
OUTCOMES = frozenset(('done', 'not-run', 'unknown', 'pending'))


def call(address: HttpAddress, method: str, path: str, body: Any = None) -> Any:
    """Call the front and return its decoded JSON response."""
    encoded = None if body is None else json.dumps(body).encode()
    resp = POOL.request(method, f'http://{address}{path}', body=encoded)
    return json.loads(resp.data)


class FrontContract(ABC):
    """Tests for any HTTP front that serves the classes of `tests/cfg`."""

    @pytest.fixture
    @abstractmethod
    def address(self) -> HttpAddress:
        """Return the address of a ready front."""

    @pytest.mark.parametrize('path', ('/healthz', '/readyz', '/metrics'))
    def test_probes_answer(self, address: HttpAddress, path: str) -> None:
        assert POOL.request('GET', f'http://{address}{path}').status == 200

    @pytest.mark.parametrize(
        'work_class', ('fit-preview', 'last-build', 'scaling-run')
    )
    def test_answer_is_whole_and_digested(
        self, address: HttpAddress, work_class: str
    ) -> None:
        task = {'run_ms': 5, 'echo': 'e', 'answer_bytes': 5000}
        spec = RequestSpec(f'c-{work_class}', work_class, task)
        response = call(address, 'POST', '/v1/requests', spec.body())
        body = b64decode(response['answer'])
        assert (response['outcome'], response['code']) == ('done', 0)
        assert response['answer_length'] == len(body) == 5000
        assert response['answer_sha256'] == sha256(body).hexdigest()
        assert response['request_key'] == spec.key

    def test_failed_task_is_done_with_its_own_code(
        self, address: HttpAddress
    ) -> None:
        spec = RequestSpec(
            'c-fails', 'last-build', {'run_ms': 1, 'fails': True}
        )
        response = call(address, 'POST', '/v1/requests', spec.body())
        assert (response['outcome'], response['name']) == (
            'done',
            'TASK_FAILED',
        )

    def test_submit_poll_and_cancel(self, address: HttpAddress) -> None:
        spec = RequestSpec('c-poll', 'scaling-run', {'run_ms': 60_000})
        path = '/v1/requests?wait_ms=0'
        assert call(address, 'POST', path, spec.body())['code'] in {100, 101}
        polled = call(address, 'GET', '/v1/requests/c-poll')
        assert polled['outcome'] == 'pending'
        ended = call(address, 'DELETE', '/v1/requests/c-poll')
        assert ended['outcome'] in {'not-run', 'unknown'}
        again = call(address, 'GET', '/v1/requests/c-poll')
        assert again['outcome'] == ended['outcome']

    def test_many_are_cancelled_in_one_call(self, address: HttpAddress) -> None:
        keys = [f'c-many-{number}' for number in range(5)]
        for key in keys:
            spec = RequestSpec(key, 'scaling-run', {'run_ms': 60_000})
            call(address, 'POST', '/v1/requests?wait_ms=0', spec.body())
        body = {'request_keys': [*keys, 'c-none']}
        responses = call(address, 'POST', '/v1/cancellations', body)
        assert [each['request_key'] for each in responses] == [*keys, 'c-none']
        assert responses[-1]['name'] == 'UNKNOWN_KEY'
        assert all(each['outcome'] in OUTCOMES for each in responses)

    def test_deadline_without_room_is_not_run(
        self, address: HttpAddress
    ) -> None:
        spec = RequestSpec('c-late', task={'run_ms': 1}, deadline_ms=-5)
        response = call(address, 'POST', '/v1/requests', spec.body())
        assert response['outcome'] == 'not-run'
