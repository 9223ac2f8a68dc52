"""The thread of a leader that carries out maintenance waves.

The store records each machine before the first order for it, and once its
maintenance has started, so that the next leader resumes each wave and counts
what this one may have begun. An order without a reply is sent again; the
platform replies the same way if the maintenance has already started.
"""

from collections.abc import Iterable
from typing import Final

from gentianpulley.background import BackgroundLoop
from gentianpulley.cluster.draining import (
    drain_workers,
    is_drained,
    mark_leaving,
)
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
    restore_withdrawn_wave,
)
from gentianpulley.cluster.wave_records import UNKNOWN_PROGRESS, WaveRecords
from gentianpulley.cluster.timing import MAX_ORDER_DELAY_MS
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
        wave_records: WaveRecords,
        maintenance_ms: int,
    ) -> None:
        """Serve one leader term; machines are down for `maintenance_ms`."""
        super().__init__('upkeep', PASS_INTERVAL_S, scheduler_service.log)
        self._service = scheduler_service
        self._machine_provider = machine_provider
        self._wave_records = wave_records
        self._maintenance_ms = maintenance_ms
        self._waves: dict[int, MaintenanceWave] = {}
        self._closed: dict[int, MaintenanceWave] = {}
        self._has_loaded = False
        self._held_until_ms = 0
        self._has_drains = False
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
        if not self._waves and not self._has_withdrawn_machines():
            self._return_workers()
            return
        listed_ms = now_ms()
        machines = self._machine_provider.list_machines()
        drains = [
            drain
            for number, wave in (*self._closed.items(), *self._waves.items())
            for drain in wave.update_machines(
                machines, listed_ms, now_ms(), self._down_elsewhere(number)
            )
        ]
        self._delete_old_records()
        self._has_drains = True
        for wave in tuple(self._waves.values()):
            if wave.is_completed:
                self._complete(wave)
        service = self._service
        if not self._may_end_work():
            with service.lock:
                mark_leaving(service.scheduler, drains)
            return
        with service.lock:
            orders = drain_workers(service.scheduler, drains, now_ms())
        service.dispatch(orders)
        for wave in tuple(self._waves.values()):
            self._advance(wave, drains)

    def _return_workers(self) -> None:
        """Use all workers again once no wave is left."""
        if self._has_drains:
            with self._service.lock:
                mark_leaving(self._service.scheduler, ())
            self._has_drains = False

    def _may_end_work(self) -> bool:
        """Return whether stops and orders may be given now.

        Another leader may let a different task of the same step go. So they are
        given only while none can lead, and not before the stops of the previous
        one have taken effect, as listings do not show them. After a damaged
        record, no order whose sending is unknown can arrive any more by then.
        """
        at_ms = now_ms()
        term = self._service.term
        return (
            at_ms > term.since_ms + term.timing.stop_ms
            and not self._is_held()
            and self._service.leadership.is_exclusive(at_ms)
        )

    def _drained_machines(self, drains: list[Drain]) -> frozenset[str]:
        """Return the machines that may go down as things are now."""
        at_ms = now_ms()
        with self._service.lock:
            return frozenset(
                drain.machine_id
                for drain in drains
                if is_drained(self._service.scheduler, drain, at_ms)
            )

    def _update_waves(self, requests: Iterable[WaveRequest]) -> None:
        """Open new and changed waves, and close those that were withdrawn."""
        if not self._has_loaded:
            self._load()
        requested = {request.number: request for request in requests}
        for number in self._waves.keys() - requested.keys():
            self._closed[number] = self._waves.pop(number)
        for number in self._closed.keys() - requested.keys():
            self._closed[number].withdraw(now_ms())
        for number, request in requested.items():
            wave = self._waves.get(number) or self._closed.get(number)
            if wave is None or wave.is_withdrawn or wave.request != request:
                self._open(request)

    def _load(self) -> None:
        """Restore all waves; those that are still requested are resumed."""
        loaded = self._wave_records.load()
        at_ms = now_ms()
        for number, progress in loaded.items():
            self._closed[number] = restore_withdrawn_wave(
                number, progress, self._maintenance_ms, at_ms
            )
        if UNKNOWN_PROGRESS in loaded.values():
            # Until then, what is not known may begin, or not be over.
            self._held_until_ms = (
                at_ms + MAX_ORDER_DELAY_MS + self._maintenance_ms
            )
        self._has_loaded = True

    def _open(self, request: WaveRequest) -> None:
        """Open a wave that is new, was withdrawn or has changed."""
        number = request.number
        self._machine_provider.report_wave(
            number, self._wave_records.store, is_completed=False
        )
        wave = self._waves.get(number) or self._closed.pop(number, None)
        if wave is None:
            wave = create_wave(request, self._maintenance_ms)
        wave.replace_request(request, now_ms())
        self._waves[number] = wave

    def _has_withdrawn_machines(self) -> bool:
        """Return whether machines may be down for withdrawn waves."""
        return any(
            wave.is_withdrawn and wave.down_machines
            for wave in self._closed.values()
        )

    def _is_held(self) -> bool:
        """Return whether a damaged record may stand for a machine down."""
        return now_ms() <= self._held_until_ms

    def _delete_old_records(self) -> None:
        """Delete the records of withdrawn waves for which nothing is down."""
        if self._is_held():
            return
        for number, wave in tuple(self._closed.items()):
            if wave.is_withdrawn and not wave.down_machines:
                self._wave_records.delete(number)
                self._closed.pop(number)

    def _advance(self, wave: MaintenanceWave, drains: list[Drain]) -> None:
        """Send the next order of a wave, and report its completion."""
        number = wave.request.number
        order = wave.next_order(
            self._drained_machines(drains),
            self._service.term.token,
            now_ms(),
            self._down_elsewhere(number),
        )
        self._wave_records.save(number, wave.progress)
        if order is None:
            return
        # The write may have taken long.
        if order.machine_id not in self._drained_machines(drains):
            return
        if not self._may_end_work():
            return
        outcome = self._machine_provider.begin_maintenance(order)
        self._service.log.upkeep(order.machine_id, order.wave, outcome.name)
        if outcome is MaintenanceOutcome.FENCED:
            self._service.resign('a maintenance order was fenced off')
            return
        wave.record_outcome(order, outcome, now_ms())
        self._wave_records.save(number, wave.progress)
        if wave.is_completed:
            self._complete(wave)

    def _down_elsewhere(self, number: int) -> frozenset[str]:
        """Return the machines that are down for other waves than this one."""
        waves = {**self._closed, **self._waves}
        return frozenset(
            machine_id
            for other, wave in waves.items()
            if other != number
            for machine_id in wave.down_machines
        )

    def _complete(self, wave: MaintenanceWave) -> None:
        number = wave.request.number
        self._wave_records.save(number, wave.progress)
        self._machine_provider.report_wave(
            number, self._wave_records.store, is_completed=True
        )
        self._closed[number] = wave
        self._waves.pop(number, None)
