"""Faults of the store and concurrent actions of operators."""

from typing import Final

from soak.fault import Fault
from soak.site import NEW_ROUTE
from standins.grid_worker import EventKind

MOST_LOST: Final = 6
EVACUATED: Final = 'a'


class StoreFault(Fault):
    """The store fails for all instances in some way."""

    def strike(self) -> str:
        """Inject a random store fault."""
        lost = self.rng.randint(1, MOST_LOST)
        kinds = (
            {'down': 1},
            {'silent': 1},
            {'silent_watches': 1},
            {'lose_answers': lost},
            {'drop_requests': lost},
            {'late': lost},
        )
        self._faults = self.rng.choice(kinds)
        self.site.store.faults.update(self._faults)
        return f'{self._faults}'

    def heal(self) -> None:
        """Remove the store fault."""
        for name in self._faults:
            self.site.store.faults.pop(name, None)


class ForgottenHistory(Fault):
    """The store discards its history."""

    def strike(self) -> str:
        """Discard the history."""
        self.site.store.forget_history()
        return 'store'

    def heal(self) -> None:
        """Do nothing."""


class Evacuation(Fault):
    """Operators take a failure domain out of service and return it."""

    def strike(self) -> str:
        """Take the failure domain out of service."""
        self.site.store.put(f'op/evacuate/{EVACUATED}', {})
        self._record_event(EventKind.CLOSED)
        return EVACUATED

    def heal(self) -> None:
        """Return the failure domain to service."""
        self.site.store.remove(f'op/evacuate/{EVACUATED}')
        self._record_event(EventKind.OPENED)

    def _record_event(self, kind: EventKind) -> None:
        for linked in self.site.workers:
            if linked.worker.zone == EVACUATED:
                linked.worker.note(kind)


class CfgChange(Fault):
    """Operators add a route and remove it again."""

    def strike(self) -> str:
        """Add the route."""
        self.site.write_cfg(NEW_ROUTE)
        return 'cfg'

    def heal(self) -> None:
        """Remove the route."""
        self.site.write_cfg()
