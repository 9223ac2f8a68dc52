"""Guards of the scheduler on the users' platform, each switched off.

As in `tests.guards`, every function replaces something from the outside.
"""

from collections.abc import Callable
from typing import Any

from gentianpulley.cluster import (
    pacing,
    relay_payloads,
    relay_server,
    relayed_link,
    run_tracker,
)
from gentianpulley.cluster.office import Office, Tenure
from gentianpulley.cluster.relay_table import RelayTable
from gentianpulley.errors import WorkerUnreachableError
from gentianpulley.task_follower import MAX_RUN_TRIES, TaskFollower


def replace(owner: Any, name: str, member: Any) -> None:
    """Replace a member of a class or module."""
    setattr(owner, name, member)


def certainty() -> None:
    """Take up new jobs whether or not the leader's key may be gone."""
    replace(Tenure, 'is_certain', lambda tenure, _: not tenure.is_over())


def earlier_sending() -> None:
    """Take any refusal of a start as proof for all its sendings."""
    replace(run_tracker, 'UNPROVED', frozenset())


def look_before_start() -> None:
    """Send what waits for a silent worker without a look."""

    def take_back(office: Any, order: Any) -> bool:
        office._sinks[order.worker_id]._send(order, 0)
        return True

    replace(Office, 'take_back', take_back)


def payload_digest() -> None:
    """Take any payload under a job's id for that of the job."""
    replace(relay_payloads, 'payload_digest', lambda _: b'x')
    replace(relayed_link, 'payload_digest', lambda _: b'x')


def relay_deadline() -> None:
    """Relay an order however late it is."""
    replace(relay_server, 'has_passed', lambda _: False)


def relay_direct() -> None:
    """Use a relay again at once after it has failed."""
    replace(relayed_link, 'DIRECT_MS', 0)


def relay_silence() -> None:
    """Take the silence of a relay for proof that nothing was sent."""
    replace(relayed_link, 'WorkerSilentError', WorkerUnreachableError)


def relay_starts() -> None:
    """Start through relays however long the store has not been heard."""
    replace(RelayTable, 'may_start', lambda _: True)


def rests() -> None:
    """Pace by the model alone."""
    replace(pacing, 'rests', lambda *_: False)


def silent_sending() -> None:
    """Take the answer to any sending of an order for the answer to all."""

    def send(follower: Any, route: Any, order: Any, wait_ms: int) -> Any:
        report = None
        for _ in range(MAX_RUN_TRIES):
            report = report or follower._send_once(route, order, wait_ms)
        return report

    replace(TaskFollower, '_send', send)


CLUSTER_GUARDS: dict[str, Callable[[], None]] = {
    'certainty': certainty,
    'earlier-sending': earlier_sending,
    'look-before-start': look_before_start,
    'payload-digest': payload_digest,
    'relay-deadline': relay_deadline,
    'relay-direct': relay_direct,
    'relay-silence': relay_silence,
    'relay-starts': relay_starts,
    'rests': rests,
    'silent-sending': silent_sending,
}
