"""Instance list adapter that reads EndpointSlice objects as JSON over HTTP.

Each slice has one set of ports, so instances with different ports are in
separate slices. The label `app` holds the role.
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
    """Whether an endpoint accepts traffic and whether it is shutting down."""

    ready: bool = True
    serving: bool = True
    terminating: bool = False


class SliceEndpoint(msgspec.Struct, frozen=True):
    """One instance that serves the ports of the slice."""

    addresses: tuple[str, ...]
    hostname: str
    zone: str
    conditions: Conditions = Conditions()


class SlicePort(msgspec.Struct, frozen=True):
    """A named port."""

    name: str
    port: int


class Metadata(msgspec.Struct, frozen=True):
    """The labels of a slice."""

    labels: dict[str, str] = {}


class EndpointSlice(msgspec.Struct, frozen=True):
    """Instances that share one set of ports."""

    metadata: Metadata
    endpoints: tuple[SliceEndpoint, ...] = ()
    ports: tuple[SlicePort, ...] = ()


class EndpointSliceList(msgspec.Struct, frozen=True):
    """The body of a list response."""

    items: tuple[EndpointSlice, ...] = ()


class EndpointSliceInstanceList(InstanceList):
    """Reads the instance list from an EndpointSlice API."""

    def __init__(self, address: HttpAddress) -> None:
        """Store the address; the first read connects."""
        self._conn = HttpConn(address, 1)

    def read(self) -> tuple[ListedInstance, ...]:
        """Return all listed instances; raises `InstanceListError`."""
        try:
            resp = self._conn.call(
                'GET', LIST_PATH, deadline_in(CALL_TIMEOUT_MS)
            )
        except (HttpUnreachableError, HttpSilentError) as exc:
            raise InstanceListError(exc.text) from exc
        if resp.status != _HTTP_OK:
            raise InstanceListError(instance_list_refused(resp.status))
        try:
            slice_list = msgspec.json.decode(resp.body, type=EndpointSliceList)
        except msgspec.DecodeError as decode_error:
            raise InstanceListError(str(decode_error)) from decode_error
        return tuple(
            _listed_instance(slice_, endpoint)
            for slice_ in slice_list.items
            for endpoint in slice_.endpoints
            if slice_.metadata.labels.get('app') in set(Role)
        )


def connect_instance_list(address: HttpAddress) -> InstanceList:
    """Return an instance list that reads the API at `address`."""
    return EndpointSliceInstanceList(address)


def _listed_instance(
    slice_: EndpointSlice, endpoint: SliceEndpoint
) -> ListedInstance:
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
