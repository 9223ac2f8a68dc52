"""The thread of a leader that queries the advice service."""

from typing import Final

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.advice import AdviceService
from gentianpulley.cluster.scheduler_service import SchedulerService
from gentianpulley.deadline import now_ms
from gentianpulley.errors import AdviceError

IDLE_INTERVAL_S: Final = 0.04
"""Pause while there are no queries; a new job waits at most this long."""

RETRY_DELAY_S: Final = 0.2
"""Pause after a query without a reply."""


class AdviceLoop(BackgroundLoop):
    """Sends one query after the other, the most urgent first."""

    def __init__(
        self, scheduler_service: SchedulerService, advice_service: AdviceService
    ) -> None:
        """Query for one scheduler service until its leadership is over."""
        super().__init__('advice', IDLE_INTERVAL_S, scheduler_service.log)
        self._service = scheduler_service
        self._advice_service = advice_service

    def step(self) -> None:
        """Send queries until there are none left."""
        while not self._service.leadership.is_over():
            if not self._send_next_query():
                return
        self.stop()

    def _send_next_query(self) -> bool:
        """Send the next query; return whether one was answered."""
        service = self._service
        queried_ms = now_ms()
        with service.lock:
            advice_query = service.scheduler.next_advice_query(queried_ms)
        if advice_query is None:
            return False
        try:
            permits = self._advice_service.query(advice_query)
        except AdviceError as exc:
            service.log.dependency('advice', 'no answer', exc.text)
            self.pause(RETRY_DELAY_S)
            return False
        with service.lock:
            service.scheduler.store_advice(advice_query, permits, queried_ms)
        service.log.advised(
            advice_query.step_id.job_id,
            len(advice_query.worker_ids),
            len(permits),
        )
        service.plan_requested.set()
        return True
