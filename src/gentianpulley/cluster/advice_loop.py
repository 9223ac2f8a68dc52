"""The thread of a leader that asks the advice service."""

from typing import Final

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.advice import AdviceService
from gentianpulley.cluster.scheduler_service import SchedulerService
from gentianpulley.deadline import now_ms
from gentianpulley.errors import AdviceError

IDLE_INTERVAL_S: Final = 0.04
"""Pause while nothing has to be asked; a new job waits as long at most."""

RETRY_DELAY_S: Final = 0.2
"""Pause after a question without an answer."""


class AdviceLoop(BackgroundLoop):
    """Asks one question after the other, the most urgent first."""

    def __init__(
        self, scheduler_service: SchedulerService, adviser: AdviceService
    ) -> None:
        """Ask for the sake of one office, until its tenure is over."""
        super().__init__('advice', IDLE_INTERVAL_S, scheduler_service.log)
        self._office = scheduler_service
        self._adviser = adviser

    def step(self) -> None:
        """Ask until there is nothing to ask."""
        while not self._office.leadership.is_over():
            if not self._ask_next():
                return
        self.stop()

    def _ask_next(self) -> bool:
        """Ask the next question; returns whether one was answered."""
        office = self._office
        asked_ms = now_ms()
        with office.lock:
            question = office.scheduler.next_advice_query(asked_ms)
        if question is None:
            return False
        try:
            permits = self._adviser.query(question)
        except AdviceError as exc:
            office.log.dependency('advice', 'no answer', exc.text)
            self.pause(RETRY_DELAY_S)
            return False
        with office.lock:
            office.scheduler.store_advice(question, permits, asked_ms)
        office.log.advised(
            question.step_id.job_id, len(question.worker_ids), len(permits)
        )
        office.plan_requested.set()
        return True
