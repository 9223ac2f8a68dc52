"""The contract of the instance list."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import pytest

from gentianpulley.errors import InstanceListError
from gentianpulley.http_conn import HttpAddress
from gentianpulley.instance_list import (
    InstanceList,
    ListedInstance,
    Presence,
    Role,
)

ENTRY = ListedInstance(
    name='entry-1',
    role=Role.ENTRY,
    failure_domain='leith',
    presence=Presence.LIVE,
    http=HttpAddress('127.0.0.1', 81),
    peer=HttpAddress('127.0.0.1', 82),
)
WORKER = ListedInstance(
    name='worker-1',
    role=Role.WORKER,
    failure_domain='gorgie',
    presence=Presence.LEAVING,
    http=HttpAddress('127.0.0.1', 83),
    peer=None,
)

FAULTS = ('unreachable', 'refused', 'not json', 'wrong shape')


class InstanceListContract(ABC):
    """Tests for any instance list."""

    @pytest.fixture
    @abstractmethod
    def listing(
        self,
    ) -> Callable[[tuple[ListedInstance, ...]], InstanceList]:
        """Return a factory of instance lists with the given instances."""

    @pytest.fixture
    @abstractmethod
    def broken(self) -> Callable[[str], InstanceList]:
        """Return a factory of instance lists with the named fault."""

    @pytest.mark.parametrize(
        'instances',
        ((), (ENTRY,), (ENTRY, WORKER)),
        ids=('nobody', 'an entry', 'an entry and a leaving worker'),
    )
    def test_instances_are_read(
        self,
        listing: Callable[[tuple[ListedInstance, ...]], InstanceList],
        instances: tuple[ListedInstance, ...],
    ) -> None:
        assert listing(instances).read() == instances

    @pytest.mark.parametrize('fault', FAULTS)
    def test_faults_raise(
        self, broken: Callable[[str], InstanceList], fault: str
    ) -> None:
        with pytest.raises(InstanceListError):
            broken(fault).read()
