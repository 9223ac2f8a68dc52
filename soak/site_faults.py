"""Faults of the store, and what operators do meanwhile."""

from typing import Final

from soak.fault import Fault
from soak.site import NEW_ROUTE
from standins.grid_worker import EventKind

MOST_LOST: Final = 6
EVACUATED: Final = 'a'


class StoreFault(Fault):
    """The store fails for all instances in some way."""

    def strike(self) -> str:
        """Let it fail."""
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
        """Mend it."""
        for name in self._faults:
            self.site.store.faults.pop(name, None)


class ForgottenHistory(Fault):
    """The store drops its history."""

    def strike(self) -> str:
        """Drop it."""
        self.site.store.forget_history()
        return 'store'

    def heal(self) -> None:
        """Do nothing."""


class Evacuation(Fault):
    """Operators take a failure domain out and back."""

    def strike(self) -> str:
        """Take it out."""
        self.site.store.put(f'op/evacuate/{EVACUATED}', {})
        self._note(EventKind.CLOSED)
        return EVACUATED

    def heal(self) -> None:
        """Take it back."""
        self.site.store.remove(f'op/evacuate/{EVACUATED}')
        self._note(EventKind.OPENED)

    def _note(self, kind: EventKind) -> None:
        for linked in self.site.workers:
            if linked.worker.zone == EVACUATED:
                linked.worker.note(kind)


class CfgChange(Fault):
    """Operators add a route, and drop it again."""

    def strike(self) -> str:
        """Add it."""
        self.site.write_cfg(NEW_ROUTE)
        return 'cfg'

    def heal(self) -> None:
        """Drop it."""
        self.site.write_cfg()
