"""What a leader takes over, and what it leaves to the next one."""

from gentianpulley.cluster.roster import Roster
from gentianpulley.cluster.run_tracker import RunTracker


class Takeover(RunTracker):
    """Follows what runs of earlier leaders may still go on."""

    def roster(
        self, former: frozenset[str], used: frozenset[str], now_ms: int
    ) -> Roster:
        """Return what a successor has to expect of all workers.

        `former` are those of the roster so far, `used` those that are about
        to be sent orders.
        """
        used = used.union(self.workers, self._unanswered)
        left_ms = {}
        for worker_id in former - used:
            # One that was listed may have been born anew since.
            until_ms = self.unsettled.get(
                worker_id, self.reign.handover_until_ms
            )
            if now_ms <= until_ms:
                left_ms[worker_id] = until_ms - now_ms
        return Roster(used, left_ms)
