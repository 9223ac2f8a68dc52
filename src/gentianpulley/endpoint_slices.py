"""Adapter of the instance list to EndpointSlice objects over HTTP with JSON.

Each slice carries one set of ports, so instances with different ports stand
in slices of their own. The label `app` holds the role.
"""

from typing import Final

import msgspec

from gentianpulley.deadline import deadline_in
from gentianpulley.errors import (
    HttpSilentError,
    HttpUnreachableError,
    InstanceListError,
)
from gentianpulley.http_conn import HttpAddress, HttpConn
from gentianpulley.instance_list import (
    InstanceList,
    ListedInstance,
    Presence,
    Role,
)
from gentianpulley.messages import instance_list_refused

LIST_PATH: Final = '/apis/discovery.k8s.io/v1/endpointslices'
CALL_TIMEOUT_MS: Final = 2000
_HTTP_OK: Final = 200


class Conditions(msgspec.Struct, frozen=True):
    """Whether an endpoint takes traffic and whether it is shutting down."""

    ready: bool = True
    serving: bool = True
    terminating: bool = False


class SliceEndpoint(msgspec.Struct, frozen=True):
    """One instance behind the slice's ports."""

    addresses: tuple[str, ...]
    hostname: str
    zone: str
    conditions: Conditions = Conditions()


class SlicePort(msgspec.Struct, frozen=True):
    """A named port."""

    name: str
    port: int


class Metadata(msgspec.Struct, frozen=True):
    """The slice's labels."""

    labels: dict[str, str] = {}


class EndpointSlice(msgspec.Struct, frozen=True):
    """Instances that share one set of ports."""

    metadata: Metadata
    endpoints: tuple[SliceEndpoint, ...] = ()
    ports: tuple[SlicePort, ...] = ()


class EndpointSliceList(msgspec.Struct, frozen=True):
    """The body of a list answer."""

    items: tuple[EndpointSlice, ...] = ()


class EndpointSliceInstanceList(InstanceList):
    """The instance list behind an EndpointSlice API."""

    def __init__(self, address: HttpAddress) -> None:
        """Connect at the first read."""
        self._conn = HttpConn(address, 1)

    def read(self) -> tuple[ListedInstance, ...]:
        """Return all listed instances; raises `InstanceListError`."""
        try:
            answer = self._conn.call(
                'GET', LIST_PATH, deadline_in(CALL_TIMEOUT_MS)
            )
        except (HttpUnreachableError, HttpSilentError) as exc:
            raise InstanceListError(exc.text) from exc
        if answer.status != _HTTP_OK:
            raise InstanceListError(instance_list_refused(answer.status))
        try:
            found = msgspec.json.decode(answer.body, type=EndpointSliceList)
        except msgspec.DecodeError as fault:
            raise InstanceListError(str(fault)) from fault
        return tuple(
            _listed(slice_, endpoint)
            for slice_ in found.items
            for endpoint in slice_.endpoints
            if slice_.metadata.labels.get('app') in set(Role)
        )


def connect_instance_list(address: HttpAddress) -> InstanceList:
    """Return the instance list behind the API at `address`."""
    return EndpointSliceInstanceList(address)


def _listed(slice_: EndpointSlice, endpoint: SliceEndpoint) -> ListedInstance:
    host = endpoint.addresses[0] if endpoint.addresses else ''
    ports = {port.name: HttpAddress(host, port.port) for port in slice_.ports}
    http = ports.get('http')
    if http is None:
        raise InstanceListError(endpoint.hostname)
    conditions = endpoint.conditions
    leaving = conditions.terminating or not conditions.serving
    return ListedInstance(
        name=endpoint.hostname,
        role=Role(slice_.metadata.labels['app']),
        failure_domain=endpoint.zone,
        presence=Presence.LEAVING if leaving else Presence.LIVE,
        http=http,
        peer=ports.get('peer'),
    )
