"""A caller of a soak test that uses keys of customers, good and bad ones.

It also adds and withdraws keys, as operators do.
"""

import json
import random
from dataclasses import dataclass
from typing import Final

from soak.callers import (
    ID_BITS,
    PAUSE_S,
    Answer,
    Caller,
    JobPlan,
    StepPlan,
    Story,
)
from soak.key_ring import CUSTOMERS, HeldKey, unknown_key
from soak.site import SoakSite

CHANGE_SHARE: Final = 0.1
SUBMIT_SHARE: Final = 0.5
BAD_KEY_SHARE: Final = 0.5
OWN_SHARE: Final = 0.5
METHODS: Final = ('GET', 'GET', 'POST', 'DELETE')


@dataclass(frozen=True, slots=True)
class KeyCall:
    """A call with a key; `owner` is whose job it was about, empty for none."""

    key: HeldKey
    owner: str
    answer: Answer


class KeyCaller(Caller):
    """Calls the queue that needs keys."""

    def __init__(self, site: SoakSite, seed: int) -> None:
        """Start without jobs."""
        super().__init__(site, seed)
        self.key_calls: list[KeyCall] = []
        self._owners: dict[str, str] = {}

    def ask(self, story: Story) -> str:
        """Return the state of a job, asked with a key of its customer.

        No key is sent for a job that was accepted with an unknown key.
        """
        owner = self._owners.get(story.plan.job_id, '')
        keys = (*self._site.key_ring.in_force(owner), unknown_key(''))
        return self._call_with(keys[0], story)

    def _run(self) -> None:
        while not self._stopping.wait(self._rng.uniform(*PAUSE_S)):
            if self._rng.random() < CHANGE_SHARE:
                self._site.change_keys(self._rng)
            elif not self._owners or self._rng.random() < SUBMIT_SHARE:
                self._submit_with(self._draw_key())
            else:
                self._call_about(self._rng.choice(sorted(self._owners)))

    def _submit_with(self, key: HeldKey) -> None:
        story = Story(_draw_job(self._rng))
        self.stories.append(story)
        self._call_with(key, story, 'POST')
        if story.accepted_s and key.customer:
            self._owners[story.plan.job_id] = key.customer

    def _call_about(self, job_id: str) -> None:
        """Call about a job that was accepted, as its customer or another."""
        story = next(
            each for each in self.stories if each.plan.job_id == job_id
        )
        owner = self._owners[job_id]
        others = [name for name in CUSTOMERS if name != owner]
        is_own = self._rng.random() < OWN_SHARE
        customer = owner if is_own else self._rng.choice(others)
        key = self._rng.choice(self._site.key_ring.in_force(customer))
        self._call_with(key, story, self._rng.choice(METHODS))

    def _call_with(
        self, key: HeldKey, story: Story, method: str = 'GET'
    ) -> str:
        """Make a call; one with a key of another customer is no job's call."""
        owner = self._owners.get(story.plan.job_id, '')
        is_own = owner in {'', key.customer}
        subject = story if is_own else Story(story.plan)
        answer = self.call(subject, method, key.text)
        self.key_calls.append(KeyCall(key, owner, answer))
        return answer.state

    def _draw_key(self) -> HeldKey:
        """Return a key in force, or else an unknown or withdrawn one."""
        ring = self._site.key_ring
        if self._rng.random() >= BAD_KEY_SHARE:
            customer = self._rng.choice(CUSTOMERS)
            return self._rng.choice(ring.in_force(customer))
        unknown = unknown_key(f'{self._rng.getrandbits(ID_BITS):016x}')
        latest = ring.withdrawn()[-1:]
        return self._rng.choice((unknown, *latest))


def _draw_job(rng: random.Random) -> JobPlan:
    job_id = f'{rng.getrandbits(ID_BITS):016x}'
    payload = json.dumps({'ms': rng.randint(20, 300), 'of': job_id})
    steps = (StepPlan(1, 1000),)
    return JobPlan(job_id, f'/owned/{job_id}', payload, steps)
