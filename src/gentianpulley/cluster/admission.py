"""Whether to accept a job, given what the leader can carry.

Answers the pattern in which more arrives than the leader carries. A job that
begins too late to be on time falls behind all that come after it, and is
carried only once the load falls. Refused at once, it can return while its time
lasts. Which jobs are refused is drawn by lot: the wait is known seconds late,
and a bound on it would accept and refuse all in turns.

Accepted whatever waits: endless jobs, which are of use from whenever they
begin, and jobs with times, as the wait of now says nothing of when they are
due.
"""

import random
from dataclasses import dataclass
from typing import Final

from gentianpulley.cluster.backlog import (
    Backlog,
    Line,
    LineWait,
    slack_of,
)
from gentianpulley.deadline import MS_PER_SECOND
from gentianpulley.jobs.spec import JobSpec

FRESH_MS: Final = 4000
"""How long a published wait holds: two writes and two reads a second apart, one
of which fails, and a read that is stale by a second."""

LONGEST_RETURN_S: Final = 5
"""A caller that returns later cannot be served within most objectives."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a job is accepted, and why not.

    It would wait for `wait_ms` and can wait for `slack_ms`; `age_ms` is that
    of the published wait. `return_s` is when room is expected.
    """

    is_accepted: bool
    wait_ms: int = 0
    slack_ms: int = 0
    age_ms: int = 0
    return_s: int = 0


ACCEPTED: Final = Verdict(is_accepted=True)


class BacklogView:
    """What an instance knows of the backlog.

    Trusted once it was seen to change, so that what a dead leader left is not,
    and for a short time after each change. This needs no common clock.
    """

    def __init__(self) -> None:
        """Know nothing."""
        self._revision = 0
        self._backlog = Backlog()
        self._changed_ms = 0

    def note(self, backlog: Backlog, revision: int, now_ms: int) -> None:
        """Take what was read; a read may be older than the one before."""
        if revision <= self._revision:
            return
        self._changed_ms = now_ms if self._revision else 0
        self._revision = revision
        self._backlog = backlog

    def age_ms(self, now_ms: int) -> int:
        """Return how long ago the last change was seen."""
        return now_ms - self._changed_ms

    def current(self, now_ms: int) -> Backlog:
        """Return the backlog, an empty one if it is unknown or old."""
        if self.age_ms(now_ms) > FRESH_MS:
            return Backlog()
        return self._backlog


def judge(
    spec: JobSpec, view: BacklogView, now_ms: int, chance: float
) -> Verdict:
    """Decide on a new job; `chance` is drawn for it between 0 and 1."""
    if spec.is_endless() or spec.schedule.occurrences:
        return ACCEPTED
    line = fullest_line(spec, view.current(now_ms))
    slack_ms = slack_of(spec)
    if chance < line.share:
        return ACCEPTED
    return Verdict(
        is_accepted=False,
        wait_ms=line.wait_ms,
        slack_ms=slack_ms,
        age_ms=view.age_ms(now_ms),
        return_s=min(LONGEST_RETURN_S, 1 + line.wait_ms // MS_PER_SECOND),
    )


def fullest_line(spec: JobSpec, backlog: Backlog) -> LineWait:
    """Return the fullest line of the steps that a job begins with."""
    queue = spec.policy.queue
    lines = [
        backlog.find(Line(queue, step.fills_spare))
        for step in spec.steps
        if not step.after
    ]
    return min(lines, key=lambda each: each.share)


def spread_return_s(return_s: int) -> int:
    """Return when to return, so that callers do not come back together."""
    return random.randint(return_s, 2 * return_s)
