"""Adapter for the advice service: queries over HTTP with JSON bodies."""

from typing import Final

import msgspec

from gentianpulley.cluster.advice import AdviceService, Permit, AdviceQuery
from gentianpulley.deadline import deadline_in
from gentianpulley.errors import (
    AdviceError,
    HttpSilentError,
    HttpUnreachableError,
)
from gentianpulley.http_conn import HttpAddress, HttpResponse, HttpConn
from gentianpulley.json_decoding import decode_json
from gentianpulley.messages import advice_query_failed
from gentianpulley.platform.task_names import step_name
from gentianpulley.platform.wire import (
    ADVICE_DECODER,
    WireAdviceQuery,
)

RESPONSE_MARGIN_MS: Final = 1000
"""Maximum delay of a response beyond the time that the policy of the service
states: a query of the previous leader may still be in flight."""

_OK: Final = 200


class HttpAdviceService(AdviceService):
    """Sends queries over one keep-alive connection."""

    def __init__(self, address: HttpAddress) -> None:
        """Connect on the first query."""
        self._conn = HttpConn(address, 1)

    def query(self, query: AdviceQuery) -> tuple[Permit, ...]:
        """Return the permits; raises `AdviceError` if there is no response."""
        response = self._call(query)
        if response.status != _OK:
            raise AdviceError(advice_query_failed(response.status))
        try:
            rows = decode_json(ADVICE_DECODER, response.body).permits
        except msgspec.DecodeError as exc:
            raise AdviceError(str(exc)) from exc
        return tuple(Permit(worker_id, ticket) for worker_id, ticket in rows)

    def _call(self, query: AdviceQuery) -> HttpResponse:
        policy = query.policy
        work_ms = policy.decide_ms + policy.each_ms * len(query.worker_ids)
        wire = WireAdviceQuery(step_name(query.step_id), query.worker_ids)
        try:
            return self._conn.call(
                'POST',
                '/gentianpulley/advise',
                deadline_in(int(work_ms) + RESPONSE_MARGIN_MS),
                msgspec.json.encode(wire),
            )
        except (HttpUnreachableError, HttpSilentError) as exc:
            raise AdviceError(exc.text) from exc


def create_adviser(address: HttpAddress | None) -> AdviceService | None:
    """Return the advice service of a cluster, or None if it has none."""
    return HttpAdviceService(address) if address else None
