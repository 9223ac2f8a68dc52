"""The interface to the platform's list of instances.

The list is updated with a delay: an instance may have left or be leaving
before the list shows it.
"""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from gentianpulley.http_conn import HttpAddress


class Role(enum.StrEnum):
    """The kind of process that an instance runs."""

    ENTRY = 'entry'
    WORKER = 'worker'


class Presence(enum.Enum):
    """The state of an instance according to the list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One entry of the instance list.

    `http` is the address of its HTTP server and `peer` the address of its
    peer service, which is None for workers.
    """

    name: str
    role: Role
    failure_domain: str
    presence: Presence
    http: HttpAddress
    peer: HttpAddress | None


class InstanceList(ABC):
    """Reads the instances registered with the platform."""

    @abstractmethod
    def read(self) -> tuple[ListedInstance, ...]:
        """Return all listed instances; raises `InstanceListError`."""
