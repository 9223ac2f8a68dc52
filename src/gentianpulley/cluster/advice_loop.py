"""The thread of a leader that asks the advice service."""

from threading import Event
from typing import Final

from gentianpulley.cluster.advice import Adviser
from gentianpulley.cluster.office import Office
from gentianpulley.deadline import now_ms
from gentianpulley.errors import AdviceError

IDLE_S: Final = 0.02
"""Pause while nothing has to be asked; a new job waits as long at most."""

RETRY_S: Final = 0.2
"""Pause after a question without an answer."""


class AdviceLoop:
    """Asks one question after the other, the most urgent first."""

    def __init__(self, office: Office, adviser: Adviser) -> None:
        """Ask for the sake of one office."""
        self._office = office
        self._adviser = adviser

    def run(self) -> None:
        """Ask until the tenure is over."""
        while not self._office.tenure.is_over():
            Event().wait(self._ask_next())

    def _ask_next(self) -> float:
        """Ask the next question; returns how long to pause, in seconds."""
        office = self._office
        asked_ms = now_ms()
        with office.lock:
            question = office.scheduler.next_question(asked_ms)
        if question is None:
            return IDLE_S
        try:
            permits = self._adviser.ask(question)
        except AdviceError as exc:
            office.log.dependency('advice', 'no answer', exc.text)
            return RETRY_S
        with office.lock:
            office.scheduler.note_advice(question, permits, asked_ms)
        office.log.advised(
            question.step_id.job_id, len(question.worker_ids), len(permits)
        )
        office.work_came.set()
        return 0
