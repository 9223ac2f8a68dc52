"""The thread of a leader that carries out waves of upkeep.

What has begun is kept in the store, so that a successor goes on where the
wave stands. An order without an answer is sent again: the platform answers
alike if the upkeep has begun.
"""

from collections.abc import Iterable
from typing import Final

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.draining import drain_workers, is_drained
from gentianpulley.cluster.handover_state import HandoverState
from gentianpulley.cluster.leader_store import DeposedError
from gentianpulley.cluster.machines import (
    MachineProvider,
    MaintenanceOutcome,
    WaveRequest,
)
from gentianpulley.cluster.scheduler_service import SchedulerService
from gentianpulley.cluster.maintenance import (
    Drain,
    MaintenanceWave,
    create_wave,
)
from gentianpulley.deadline import now_ms
from gentianpulley.errors import MachineParkError, StoreError

PASS_INTERVAL_S: Final = 0.2
"""Pause between two looks at the machines of an open wave; each one reads
their list, and an upkeep lasts seconds."""

RETRY_DELAY_S: Final = 0.5
"""Pause after a call that failed."""


class MaintenanceLoop(BackgroundLoop):
    """Carries out the waves that operators ask for."""

    def __init__(
        self,
        scheduler_service: SchedulerService,
        park: MachineProvider,
        handover_state: HandoverState,
        upkeep_ms: int,
    ) -> None:
        """Serve one reign; an upkeep lasts `upkeep_ms` milliseconds."""
        super().__init__('upkeep', PASS_INTERVAL_S, scheduler_service.log)
        self._office = scheduler_service
        self._park = park
        self._notes = handover_state
        self._upkeep_ms = upkeep_ms
        self._waves: dict[int, MaintenanceWave] = {}
        self._completed: set[int] = set()
        self.wave_requests: tuple[WaveRequest, ...] = ()

    def step(self) -> None:
        """Do what can be done now, until the tenure is over."""
        if self._office.leadership.is_over():
            self.stop()
            return
        try:
            self._pass()
        except DeposedError as exc:
            self._office.resign(exc.text)
        except (MachineParkError, StoreError) as exc:
            self._office.log.dependency('machines', 'no answer', exc.text)
            self.pause(RETRY_DELAY_S)

    def _pass(self) -> None:
        self._take_requests(self.wave_requests)
        if not self._waves:
            return
        asked_ms = now_ms()
        machines = self._park.list_machines()
        clearings = [
            clearing
            for wave in self._waves.values()
            for clearing in wave.update_machines(machines, asked_ms, now_ms())
        ]
        clear = self._clear(clearings)
        for wave in tuple(self._waves.values()):
            self._advance(wave, clear)

    def _clear(self, clearings: list[Drain]) -> frozenset[str]:
        """Empty the workers of these machines; returns the clear machines."""
        office = self._office
        at_ms = now_ms()
        with office.lock:
            orders = drain_workers(office.scheduler, clearings, at_ms)
            clear = frozenset(
                clearing.machine_id
                for clearing in clearings
                if is_drained(office.scheduler, clearing, at_ms)
            )
        office.dispatch(orders)
        return clear

    def _take_requests(self, requests: Iterable[WaveRequest]) -> None:
        """Open new waves and close those that operators took back."""
        asked = {request.number: request for request in requests}
        for number in self._waves.keys() - asked.keys():
            self._waves.pop(number)
        for number, request in asked.items():
            is_known = number in self._waves or number in self._completed
            if not is_known:
                wave = create_wave(request, self._upkeep_ms)
                wave.restore(self._notes.load_wave(number))
                self._park.report_wave(
                    number, self._notes.store, is_completed=False
                )
                self._waves[number] = wave

    def _advance(self, wave: MaintenanceWave, clear: frozenset[str]) -> None:
        """Send the next order of a wave, and report its end."""
        if wave.is_completed:
            self._complete(wave)
            return
        at_ms = now_ms()
        order = wave.next_order(clear, self._office.term.token, at_ms)
        if order is None or not self._office.may_act(at_ms):
            return
        verdict = self._park.begin_maintenance(order)
        self._office.log.upkeep(order.machine_id, order.wave, verdict.name)
        if verdict is MaintenanceOutcome.FENCED:
            self._office.resign('an upkeep was fenced off')
            return
        wave.record_outcome(order, verdict, now_ms())
        if verdict is MaintenanceOutcome.BEGUN:
            self._notes.save_wave(order.wave, wave.started_machines)
        if wave.is_completed:
            self._complete(wave)

    def _complete(self, wave: MaintenanceWave) -> None:
        number = wave.request.number
        self._park.report_wave(number, self._notes.store, is_completed=True)
        self._completed.add(number)
        self._waves.pop(number, None)
