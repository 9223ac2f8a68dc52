"""Adapter of the machines: the platform's interface over HTTP with JSON."""

from types import MappingProxyType
from typing import Final
from urllib.parse import quote

import msgspec

from gentianpulley.cluster.leader_store import LeaderStore
from gentianpulley.cluster.machines import (
    MachineInfo,
    MachineProvider,
    MachineState,
    MaintenanceOrder,
    MaintenanceOutcome,
)
from gentianpulley.deadline import deadline_in
from gentianpulley.errors import (
    HttpSilentError,
    HttpUnreachableError,
    MachineParkError,
)
from gentianpulley.http_conn import HttpAddress, HttpResponse, HttpConn
from gentianpulley.messages import machine_list_failed
from gentianpulley.platform.wire import (
    MACHINES_DECODER,
    REFUSAL_DECODER,
    WireMachine,
    WireMachines,
    WireMaintenanceRequest,
    WireWaveStatus,
)
from gentianpulley.store import Put, Transaction

CALL_TIMEOUT_MS: Final = 2000
"""The platform may be slow; a quarter second was usual of its store then."""

WAVE_STATUS_PREFIX: Final = 'status/wave/'

_OK: Final = 200
_BAD_REQUEST: Final = 400
_CONFLICT: Final = 409
_REASONS: Final = MappingProxyType(
    {
        'fence': MaintenanceOutcome.FENCED,
        'busy': MaintenanceOutcome.BUSY,
        'wave': MaintenanceOutcome.NOT_IN_WAVE,
    }
)
_STATES: Final = MappingProxyType({each.value: each for each in MachineState})


class HttpMachineProvider(MachineProvider):
    """One keep-alive connection to the platform."""

    def __init__(self, address: HttpAddress, holder: str) -> None:
        """Connect at the first call; `holder` names this instance."""
        self._conn = HttpConn(address, 1)
        self._holder = holder

    def list_machines(self) -> tuple[MachineInfo, ...]:
        """Return all machines, page by page."""
        found: list[MachineInfo] = []
        token = ''
        while True:
            page = self._page(token)
            found.extend(map(_machine_facts, page.machines))
            token = page.next_token or ''
            if not token:
                break
        return tuple(found)

    def report_wave(
        self, wave: int, store: LeaderStore, *, is_completed: bool
    ) -> None:
        """Write how a wave stands where operators read it."""
        state = 'completed' if is_completed else 'running'
        body = msgspec.json.encode(WireWaveStatus(state))
        put = Put(f'{WAVE_STATUS_PREFIX}{wave}', body)
        store.commit(Transaction((), (put,)))

    def begin_maintenance(self, order: MaintenanceOrder) -> MaintenanceOutcome:
        """Take a machine down; failures are verdicts."""
        wire = WireMaintenanceRequest(order.machine_id, order.wave)
        headers = (
            ('X-Lease-Holder', self._holder),
            ('X-Fence-Token', str(order.token)),
        )
        try:
            answer = self._conn.call(
                'POST',
                '/gentianpulley/machine-upkeep',
                deadline_in(CALL_TIMEOUT_MS),
                msgspec.json.encode(wire),
                headers,
            )
        except HttpUnreachableError:
            return MaintenanceOutcome.REFUSED
        except HttpSilentError:
            return MaintenanceOutcome.LOST
        return _verdict(answer)

    def _page(self, token: str) -> WireMachines:
        path = '/gentianpulley/machines'
        if token:
            path = f'{path}?page_token={quote(token, safe="")}'
        try:
            answer = self._conn.call('GET', path, deadline_in(CALL_TIMEOUT_MS))
        except (HttpUnreachableError, HttpSilentError) as exc:
            raise MachineParkError(exc.text) from exc
        if answer.status != _OK:
            raise MachineParkError(machine_list_failed(answer.status))
        try:
            return MACHINES_DECODER.decode(answer.body)
        except msgspec.DecodeError as exc:
            raise MachineParkError(str(exc)) from exc


def create_machine_provider(
    address: HttpAddress | None, holder: str
) -> MachineProvider | None:
    """Return the machines of a site, None where they are not offered."""
    return HttpMachineProvider(address, holder) if address else None


def _machine_facts(wire: WireMachine) -> MachineInfo:
    state = _STATES.get(wire.state, MachineState.DOWN)
    return MachineInfo(wire.machine_id, state, wire.worker_id or '')


def _verdict(answer: HttpResponse) -> MaintenanceOutcome:
    if answer.status == _OK:
        return MaintenanceOutcome.BEGUN
    if answer.status == _BAD_REQUEST:
        return MaintenanceOutcome.NO_MACHINE
    if answer.status != _CONFLICT:
        return MaintenanceOutcome.REFUSED
    try:
        reason = REFUSAL_DECODER.decode(answer.body).reason
    except msgspec.DecodeError:
        # The status says that nothing was done; the next try tells why.
        return MaintenanceOutcome.REFUSED
    return _REASONS.get(reason, MaintenanceOutcome.REFUSED)
