"""Callers of a soak test: they submit, query and cancel jobs.

A caller keeps its connection to an instance until the connection breaks, even
while the instance stops, and records every response.
"""

import json
import random
import threading
import time
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from types import MappingProxyType
from typing import Any, Final

from soak.site import Instance, SoakSite
from standins.grid_site import key_header

ANSWER_S: Final = 3.5
DEADLINE_MS: Final = 3000
PAUSE_S: Final = (0.05, 0.35)
ID_BITS: Final = 64
PROCESSORS_MILLI: Final = (1000, 2000, 4000)
HOST_NAME: Final = 'fit.example'
COMPLETED: Final = 'completed'
FINAL_STATES: Final = frozenset((COMPLETED, 'failed'))
ACCEPTED: Final = 200
UNAUTHORIZED: Final = 401
FORBIDDEN: Final = 403
GONE: Final = 410
REFUSALS: Final = frozenset((UNAUTHORIZED, FORBIDDEN, 404, 429, 503))
_SETTLING: Final = MappingProxyType(
    {
        'POST': frozenset((ACCEPTED, *REFUSALS)),
        'DELETE': frozenset((ACCEPTED, GONE)),
    }
)
ENDLESS_MS: Final = 10_000_000
ENDLESS_SHARE: Final = 0.12
HOPELESS_SHARE: Final = 0.06
DEADLY_SHARE: Final = 0.02
CANCEL_SHARE: Final = 0.15
LEAVE_SHARE: Final = 0.3
SUBMIT_SHARE: Final = 0.4
MOST_ENDLESS: Final = 1


@dataclass(frozen=True, slots=True)
class StepPlan:
    """Identical tasks; `after` holds the indexes of earlier steps."""

    count: int
    processors_milli: int
    after: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class JobPlan:
    """A job that a caller submits."""

    job_id: str
    path: str
    payload: str
    steps: tuple[StepPlan, ...]
    is_endless: bool = False
    is_hopeless: bool = False
    is_deadly: bool = False

    @property
    def task_count(self) -> int:
        """Return the number of tasks of the job."""
        return sum(step.count for step in self.steps)

    @property
    def expected_end(self) -> str:
        """Return the final state that the job must reach."""
        may_fail = self.is_hopeless or self.is_deadly
        return 'failed' if may_fail else 'completed'

    def first_tasks(self) -> list[str]:
        """Return the names of the first step's tasks."""
        count = self.steps[0].count
        return [f'{self.job_id}.0.0.{ordinal}' for ordinal in range(count)]

    def body(self) -> bytes:
        """Return the JSON body of the submission."""
        phases = [_phase(step, self.is_endless) for step in self.steps]
        return json.dumps(
            {'task_spec': self.payload, 'phases': phases}
        ).encode()


@dataclass(frozen=True, slots=True)
class Answer:
    """One call as seen by the caller; status 0 means no response."""

    instance: str
    method: str
    sent_s: float
    heard_s: float
    status: int
    state: str = ''


@dataclass
class Story:
    """A job and all responses about it."""

    plan: JobPlan
    answers: list[Answer] = field(default_factory=list)

    @property
    def accepted_s(self) -> float:
        """Return when the job was first accepted, 0 if never."""
        return self._first('POST')

    @property
    def cancelled_s(self) -> float:
        """Return when its cancellation was first accepted, 0 if never."""
        return self._first('DELETE')

    @property
    def denied_s(self) -> float:
        """Return when a cancellation first found no such job, 0 if never."""
        return self._first('DELETE', GONE)

    @property
    def completed_s(self) -> float:
        """Return when it was first reported as completed, 0 if never."""
        heard = [
            each.heard_s for each in self.answers if each.state == COMPLETED
        ]
        return min(heard, default=0)

    @property
    def is_cancel_sent(self) -> bool:
        """Return whether a cancellation was sent."""
        return any(each.method == 'DELETE' for each in self.answers)

    @property
    def is_refused(self) -> bool:
        """Return whether it was sent and every submission was refused."""
        posts = [each for each in self.answers if each.method == 'POST']
        return bool(posts) and all(each.status in REFUSALS for each in posts)

    def was_refused(self, at_s: float) -> bool:
        """Return whether all submissions sent by then were refused."""
        posts = [
            each
            for each in self.answers
            if each.method == 'POST' and each.sent_s <= at_s
        ]
        return bool(posts) and all(each.status in REFUSALS for each in posts)

    def _first(self, method: str, status: int = ACCEPTED) -> float:
        heard = [
            each.heard_s
            for each in self.answers
            if each.method == method and each.status == status
        ]
        return min(heard, default=0)


class Caller:
    """One caller with one connection to each instance."""

    def __init__(self, site: SoakSite, seed: int) -> None:
        """Start without jobs."""
        self.stories: list[Story] = []
        self._site = site
        self._rng = random.Random(seed)
        self._conns: dict[str, HTTPConnection] = {}
        self._cancel_requests = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start calling in a background thread."""
        self._thread.start()

    def finish(self) -> None:
        """Stop submitting, and wait for the call in flight."""
        self._stopping.set()
        self._thread.join()

    def ask(self, story: Story) -> str:
        """Return the state of a job as reported by a random instance."""
        return self.call(story, 'GET').state

    def call(self, story: Story, method: str, key: str = '') -> Answer:
        """Call a random instance about a job, and record the response."""
        instance = self._rng.choice(self._site.instances)
        sent_s = time.monotonic()
        status, state = self._exchange(instance, story.plan, method, key)
        heard_s = time.monotonic()
        answer = Answer(instance.name, method, sent_s, heard_s, status, state)
        story.answers.append(answer)
        return answer

    def _run(self) -> None:
        while not self._stopping.wait(self._rng.uniform(*PAUSE_S)):
            open_stories = [story for story in self.stories if _is_open(story)]
            if self._cancel_requests < self._site.cancel_requests:
                self._cancel_requests = self._site.cancel_requests
                self._cancel_latest(open_stories)
            else:
                self._call_at_random(open_stories)

    def _call_at_random(self, open_stories: list[Story]) -> None:
        if not open_stories or self._rng.random() < SUBMIT_SHARE:
            self._submit(sum(_is_long_running(each) for each in open_stories))
        elif self._rng.random() < CANCEL_SHARE:
            self.call(self._rng.choice(open_stories), 'DELETE')
        else:
            self.call(self._rng.choice(open_stories), 'GET')

    def _cancel_latest(self, open_stories: list[Story]) -> None:
        """Cancel the job that has most likely not started."""
        for story in open_stories[-1:]:
            self.call(story, 'DELETE')

    def _submit(self, long_running: int) -> None:
        plan = draw_job(self._rng)
        while plan.is_endless and long_running >= MOST_ENDLESS:
            plan = draw_job(self._rng)
        story = Story(plan)
        self.stories.append(story)
        method = 'POST'
        while self.call(story, method).status not in _SETTLING[method]:
            if self._rng.random() < LEAVE_SHARE:
                # The caller gives its job up before it learns what became of
                # it.
                method = 'DELETE'
            if self._stopping.wait(self._rng.uniform(*PAUSE_S)):
                return

    def _exchange(
        self, instance: Instance, plan: JobPlan, method: str, key: str
    ) -> tuple[int, str]:
        body = plan.body() if method == 'POST' else None
        headers = {
            'Host': HOST_NAME,
            'X-Deadline-Ms': str(DEADLINE_MS),
            **key_header(key),
        }
        conn = self._conn_to(instance)
        try:
            conn.request(method, plan.path, body, headers)
            resp = conn.getresponse()
            content = resp.read()
        except (OSError, HTTPException):
            self._drop_conn(instance)
            return 0, ''
        state = json.loads(content or b'{}').get('state', '')
        return resp.status, str(state)

    def _conn_to(self, instance: Instance) -> HTTPConnection:
        conn = self._conns.get(instance.name)
        if conn is None:
            front = instance.front
            conn = HTTPConnection(front.host, front.port, timeout=ANSWER_S)
            self._conns[instance.name] = conn
        return conn

    def _drop_conn(self, instance: Instance) -> None:
        conn = self._conns.pop(instance.name, None)
        if conn is not None:
            conn.close()


def draw_job(rng: random.Random) -> JobPlan:
    """Return a random job of one of the kinds that clusters run."""
    kind = rng.random()
    if kind < ENDLESS_SHARE:
        return _long_running_job(rng)
    if kind < ENDLESS_SHARE + HOPELESS_SHARE:
        return _failing_job(rng)
    if kind < ENDLESS_SHARE + HOPELESS_SHARE + DEADLY_SHARE:
        return _deadly_job(rng)
    job_id = _draw_id(rng)
    milli = rng.choice(PROCESSORS_MILLI)
    steps = (
        StepPlan(rng.randint(1, 5), milli),
        StepPlan(rng.randint(1, 3), milli, (0,)),
    )
    payload = json.dumps({'ms': rng.randint(50, 900), 'of': job_id})
    path = rng.choice(('/quick/', '/batch/')) + job_id
    return JobPlan(job_id, path, payload, steps)


def _long_running_job(rng: random.Random) -> JobPlan:
    job_id = _draw_id(rng)
    steps = (StepPlan(rng.randint(1, 3), rng.choice(PROCESSORS_MILLI)),)
    payload = json.dumps({'ms': ENDLESS_MS, 'of': job_id})
    return JobPlan(job_id, f'/batch/{job_id}', payload, steps, is_endless=True)


def _failing_job(rng: random.Random) -> JobPlan:
    job_id = _draw_id(rng)
    steps = (StepPlan(1, rng.choice(PROCESSORS_MILLI)),)
    work = {'ms': rng.randint(20, 200), 'fail': 1, 'of': job_id}
    return JobPlan(
        job_id, f'/quick/{job_id}', json.dumps(work), steps, is_hopeless=True
    )


def _deadly_job(rng: random.Random) -> JobPlan:
    job_id = _draw_id(rng)
    steps = (StepPlan(1, rng.choice(PROCESSORS_MILLI)),)
    work = {'ms': ENDLESS_MS, 'crash': 1, 'of': job_id}
    return JobPlan(
        job_id, f'/batch/{job_id}', json.dumps(work), steps, is_deadly=True
    )


def _draw_id(rng: random.Random) -> str:
    return f'{rng.getrandbits(ID_BITS):016x}'


def _phase(step: StepPlan, is_endless: bool) -> dict[str, Any]:
    phase: dict[str, Any] = {
        'count': step.count,
        'cpu': step.processors_milli,
        'mem_mb': 1,
    }
    if step.after:
        phase['after'] = list(step.after)
    if is_endless:
        phase['long_running'] = True
    return phase


def _is_open(story: Story) -> bool:
    """Return whether a job is accepted, not cancelled and unfinished."""
    if not story.accepted_s or story.is_cancel_sent:
        return False
    return story.answers[-1].state not in FINAL_STATES


def _is_long_running(story: Story) -> bool:
    return story.plan.is_endless
