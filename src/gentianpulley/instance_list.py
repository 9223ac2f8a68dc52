"""The interface to the platform's list of instances.

The list lags behind reality: an instance may be gone or leaving before the
list says so.
"""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from gentianpulley.http_conn import HttpAddress


class Role(enum.StrEnum):
    """What an instance runs."""

    ENTRY = 'entry'
    WORKER = 'worker'


class Presence(enum.Enum):
    """What the list says about an instance."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One instance as listed.

    `http` is the address of its HTTP server and `peer` that of its peer
    service, which workers do not have.
    """

    name: str
    role: Role
    failure_domain: str
    presence: Presence
    http: HttpAddress
    peer: HttpAddress | None


class InstanceList(ABC):
    """Reads the instances that the platform knows."""

    @abstractmethod
    def read(self) -> tuple[ListedInstance, ...]:
        """Return all listed instances; raises `InstanceListError`."""
