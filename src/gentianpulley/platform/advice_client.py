"""Adapter of the advice service: questions over HTTP with JSON bodies."""

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
from gentianpulley.messages import advice_query_failed
from gentianpulley.platform.task_names import step_name
from gentianpulley.platform.wire import (
    ADVICE_DECODER,
    WireAdviceQuery,
)

RESPONSE_MARGIN_MS: Final = 1000
"""How much later than it says the service answers at the latest: a question of
the leader before may still be under way."""

_OK: Final = 200


class HttpAdviceService(AdviceService):
    """Asks over one keep-alive connection."""

    def __init__(self, address: HttpAddress) -> None:
        """Connect at the first question."""
        self._conn = HttpConn(address, 1)

    def query(self, query: AdviceQuery) -> tuple[Permit, ...]:
        """Return the permits; raises `AdviceError` without an answer."""
        answer = self._call(query)
        if answer.status != _OK:
            raise AdviceError(advice_query_failed(answer.status))
        try:
            rows = ADVICE_DECODER.decode(answer.body).permits
        except msgspec.DecodeError as exc:
            raise AdviceError(str(exc)) from exc
        return tuple(Permit(worker_id, ticket) for worker_id, ticket in rows)

    def _call(self, question: AdviceQuery) -> HttpResponse:
        policy = question.policy
        work_ms = policy.decide_ms + policy.each_ms * len(question.worker_ids)
        wire = WireAdviceQuery(step_name(question.step_id), question.worker_ids)
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
    """Return the adviser of a site, None where it has none."""
    return HttpAdviceService(address) if address else None
