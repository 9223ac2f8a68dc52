"""Adapter for machines: the platform's HTTP interface with JSON bodies."""

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
from gentianpulley.json_decoding import decode_json
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
"""Allows for a slow platform, whose store takes a quarter second then."""

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
    """Calls the platform over one keep-alive connection."""

    def __init__(self, address: HttpAddress, holder: str) -> None:
        """Connect on the first call; `holder` is the name of this instance."""
        self._conn = HttpConn(address, 1)
        self._holder = holder

    def list_machines(self) -> tuple[MachineInfo, ...]:
        """Return all machines, reading page by page."""
        machines: list[MachineInfo] = []
        token = ''
        while True:
            page = self._page(token)
            machines.extend(map(_machine_info, page.machines))
            token = page.next_token or ''
            if not token:
                break
        return tuple(machines)

    def report_wave(
        self, wave: int, store: LeaderStore, *, is_completed: bool
    ) -> None:
        """Write the status of a wave to the key that operators read."""
        state = 'completed' if is_completed else 'running'
        body = msgspec.json.encode(WireWaveStatus(state))
        put = Put(f'{WAVE_STATUS_PREFIX}{wave}', body)
        store.commit(Transaction((), (put,)))

    def begin_maintenance(self, order: MaintenanceOrder) -> MaintenanceOutcome:
        """Take a machine down; a failed call is returned as an outcome."""
        wire = WireMaintenanceRequest(order.machine_id, order.wave)
        headers = (
            ('X-Lease-Holder', self._holder),
            ('X-Fence-Token', str(order.token)),
        )
        try:
            response = self._conn.call(
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
        return _outcome(response)

    def _page(self, token: str) -> WireMachines:
        path = '/gentianpulley/machines'
        if token:
            path = f'{path}?page_token={quote(token, safe="")}'
        try:
            response = self._conn.call(
                'GET', path, deadline_in(CALL_TIMEOUT_MS)
            )
        except (HttpUnreachableError, HttpSilentError) as exc:
            raise MachineParkError(exc.text) from exc
        if response.status != _OK:
            raise MachineParkError(machine_list_failed(response.status))
        try:
            return decode_json(MACHINES_DECODER, response.body)
        except msgspec.DecodeError as exc:
            raise MachineParkError(str(exc)) from exc


def create_machine_provider(
    address: HttpAddress | None, holder: str
) -> MachineProvider | None:
    """Return the cluster's machine provider, or None if it has none."""
    return HttpMachineProvider(address, holder) if address else None


def _machine_info(wire: WireMachine) -> MachineInfo:
    state = _STATES.get(wire.state, MachineState.DOWN)
    return MachineInfo(wire.machine_id, state, wire.worker_id or '')


def _outcome(response: HttpResponse) -> MaintenanceOutcome:
    if response.status == _OK:
        return MaintenanceOutcome.BEGUN
    if response.status == _BAD_REQUEST:
        return MaintenanceOutcome.NO_MACHINE
    if response.status != _CONFLICT:
        return MaintenanceOutcome.REFUSED
    try:
        reason = decode_json(REFUSAL_DECODER, response.body).reason
    except msgspec.DecodeError:
        # The status says that nothing was done; the next attempt returns the
        # reason.
        return MaintenanceOutcome.REFUSED
    return _REASONS.get(reason, MaintenanceOutcome.REFUSED)
