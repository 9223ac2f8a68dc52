"""The thread of a leader that carries out maintenance waves.

The store records which machines have started, so that the next leader resumes
each wave. An order without a reply is sent again; the platform replies the same
way if the maintenance has already started.
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
"""Pause between two passes over the machines of an open wave. Each pass reads
the list of machines, and the maintenance of a machine takes seconds."""

RETRY_DELAY_S: Final = 0.5
"""Pause after a failed call."""


class MaintenanceLoop(BackgroundLoop):
    """Carries out the maintenance waves that operators request."""

    def __init__(
        self,
        scheduler_service: SchedulerService,
        machine_provider: MachineProvider,
        handover_state: HandoverState,
        maintenance_ms: int,
    ) -> None:
        """Serve one leader term; machines are down for `maintenance_ms`."""
        super().__init__('upkeep', PASS_INTERVAL_S, scheduler_service.log)
        self._service = scheduler_service
        self._machine_provider = machine_provider
        self._handover_state = handover_state
        self._maintenance_ms = maintenance_ms
        self._waves: dict[int, MaintenanceWave] = {}
        self._completed: set[int] = set()
        self.wave_requests: tuple[WaveRequest, ...] = ()

    def step(self) -> None:
        """Run one pass, or stop once the leadership is over."""
        if self._service.leadership.is_over():
            self.stop()
            return
        try:
            self._pass()
        except DeposedError as exc:
            self._service.resign(exc.text)
        except (MachineParkError, StoreError) as exc:
            self._service.log.dependency('machines', 'no answer', exc.text)
            self.pause(RETRY_DELAY_S)

    def _pass(self) -> None:
        self._update_waves(self.wave_requests)
        if not self._waves:
            return
        listed_ms = now_ms()
        machines = self._machine_provider.list_machines()
        drains = [
            drain
            for wave in self._waves.values()
            for drain in wave.update_machines(machines, listed_ms, now_ms())
        ]
        drained = self._drain(drains)
        for wave in tuple(self._waves.values()):
            self._advance(wave, drained)

    def _drain(self, drains: list[Drain]) -> frozenset[str]:
        """Drain the workers of machines; return the drained machines."""
        service = self._service
        at_ms = now_ms()
        with service.lock:
            orders = drain_workers(service.scheduler, drains, at_ms)
            drained = frozenset(
                drain.machine_id
                for drain in drains
                if is_drained(service.scheduler, drain, at_ms)
            )
        service.dispatch(orders)
        return drained

    def _update_waves(self, requests: Iterable[WaveRequest]) -> None:
        """Open new waves and close those that operators withdrew."""
        requested = {request.number: request for request in requests}
        for number in self._waves.keys() - requested.keys():
            self._waves.pop(number)
        for number, request in requested.items():
            is_existing = number in self._waves or number in self._completed
            if not is_existing:
                wave = create_wave(request, self._maintenance_ms)
                wave.restore(self._handover_state.load_wave(number))
                self._machine_provider.report_wave(
                    number, self._handover_state.store, is_completed=False
                )
                self._waves[number] = wave

    def _advance(self, wave: MaintenanceWave, drained: frozenset[str]) -> None:
        """Send the next order of a wave, and report its completion."""
        if wave.is_completed:
            self._complete(wave)
            return
        at_ms = now_ms()
        order = wave.next_order(drained, self._service.term.token, at_ms)
        if order is None or not self._service.may_act(at_ms):
            return
        outcome = self._machine_provider.begin_maintenance(order)
        self._service.log.upkeep(order.machine_id, order.wave, outcome.name)
        if outcome is MaintenanceOutcome.FENCED:
            self._service.resign('a maintenance order was fenced off')
            return
        wave.record_outcome(order, outcome, now_ms())
        if outcome is MaintenanceOutcome.BEGUN:
            self._handover_state.save_wave(order.wave, wave.started_machines)
        if wave.is_completed:
            self._complete(wave)

    def _complete(self, wave: MaintenanceWave) -> None:
        number = wave.request.number
        self._machine_provider.report_wave(
            number, self._handover_state.store, is_completed=True
        )
        self._completed.add(number)
        self._waves.pop(number, None)
