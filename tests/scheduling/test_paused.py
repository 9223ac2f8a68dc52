"""A process that was paused acts on no permission that has run out.

Each case pauses the process between the read of a deadline and the send.
"""

import threading
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Final

import pytest

from gentianpulley.cluster.advice import AdviceQuery, AdviceService, Permit
from gentianpulley.cluster.advice_loop import AdviceLoop
from gentianpulley.cluster.scheduler import Scheduler
from gentianpulley.cluster.scheduler_service import Leadership, SchedulerService
from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.cluster.worker_protocol import (
    Listing,
    OrderContext,
    PaceOrder,
    PollOrder,
    RunKey,
    StartOrder,
    StartReply,
    StartVerdict,
    StopOrder,
    WorkerClient,
)
from gentianpulley.cluster.worker_session import open_session
from gentianpulley.counters import create_counters
from gentianpulley.deadline import deadline_in, now_ms
from gentianpulley.errors import WorkerFencedError
from gentianpulley.jobs.spec import TaskId
from gentianpulley.logs import EventLog
from standins.grid_site import wait_until
from tests.scheduling.harness import (
    JOB_ID,
    TIMING,
    create_harness,
    job,
    step,
)
from tests.scheduling.paused_process import (
    PausableClock,
    install_clock,
    pause_after,
    pause_before,
)
from tests.scheduling.test_advice import POLICY, _advised

PAUSE_MS: Final = 10_000
"""Longer than a leader may act, and than any lease."""

SETTLE_S: Final = 0.3
POLL_S: Final = 0.02
KEY: Final = RunKey(TaskId(JOB_ID, 0, 0, 0), 1)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> PausableClock:
    """Return the clock of the process."""
    return install_clock(monkeypatch)


class ClockedLink(WorkerClient):
    """A worker whose time passes while the process is paused.

    It refuses starts whose lease is over. `accepted` are the orders that took
    effect, and `sent` all that were sent to it.
    """

    def __init__(self) -> None:
        """Start without a lease."""
        self.sent: list[str] = []
        self.accepted: list[str] = []
        self.polls = 0
        self.lease_deadline_ms = 0
        self.is_fenced_off = False

    async def poll(self, order: PollOrder) -> Listing:
        """Renew the lease."""
        threading.Event().wait(POLL_S)
        self._check_fence()
        self.polls += 1
        self._renew(order.lease_deadline_worker_ms)
        return Listing(now_ms())

    async def start(
        self, order: StartOrder, context: OrderContext
    ) -> StartReply:
        """Start a run in time."""
        self.sent.append('start')
        if self.is_fenced_off:
            return StartReply(StartVerdict.FENCED, now_ms())
        if context.lease_deadline_worker_ms <= now_ms():
            return StartReply(StartVerdict.TOO_LATE, now_ms())
        self._renew(context.lease_deadline_worker_ms)
        self.accepted.append('start')
        return StartReply(StartVerdict.ACCEPTED, now_ms())

    async def stop(self, order: StopOrder, context: OrderContext) -> None:
        """Stop a run."""
        self.sent.append('stop')
        self._check_fence()
        self.accepted.append('stop')

    async def pace(self, order: PaceOrder, context: OrderContext) -> None:
        """Slow a run down."""
        self.sent.append('pace')
        self._check_fence()
        self.accepted.append('pace')

    def close(self) -> None:
        """Do nothing."""

    def _check_fence(self) -> None:
        if self.is_fenced_off:
            raise WorkerFencedError('fence')

    def _renew(self, deadline_worker_ms: int) -> None:
        self.lease_deadline_ms = max(self.lease_deadline_ms, deadline_worker_ms)


class LedWorker:
    """A leader's session with one worker, which has answered polls."""

    def __init__(self) -> None:
        """Let the worker get a lease."""
        harness = create_harness()
        harness.at_ms = now_ms()
        harness.add_worker('w')
        harness.scheduler.add_job(job(step()))
        self.link = ClockedLink()
        self.leadership = Leadership(
            deadline_in(TIMING.leadership_ms), deadline_in(TIMING.leadership_ms)
        )
        self.service = SchedulerService(
            harness.scheduler, self.leadership, create_counters(), EventLog()
        )
        self.worker = harness.scheduler.workers['w']
        self.session = open_session(self.service, self.worker, self.link)
        self.service.attach('w', self.session)
        wait_until(lambda: self.link.polls > 1 and self.link.lease_deadline_ms)

    def close(self) -> None:
        """End the session."""
        self.leadership.resign('closed')
        self.service.close()


@pytest.fixture
def led(clock: PausableClock) -> Iterator[LedWorker]:
    """Return a worker under a leader."""
    running = LedWorker()
    yield running
    running.close()


Hook = Callable[[pytest.MonkeyPatch, Callable[[], None]], None]


def _hook(place: Any, owner: Any, name: str) -> Hook:
    return lambda monkeypatch, pause: place(monkeypatch, owner, name, pause)


@pytest.mark.proof('permission-read')
@pytest.mark.parametrize('kind', ['start', 'stop', 'pace'])
def test_an_order_queued_before_a_pause_is_not_sent(
    led: LedWorker, clock: PausableClock, kind: str
) -> None:
    """A plan reads the permission; its orders are sent after the pause."""
    orders: dict[str, Sequence[Order]] = {
        'start': led.service.scheduler.plan(now_ms()),
        'stop': [StopOrder('w', KEY)],
        'pace': [PaceOrder('w', KEY, 40)],
    }
    clock.pause(PAUSE_MS)
    led.service.dispatch(orders[kind])
    threading.Event().wait(SETTLE_S)
    assert not led.link.sent


@pytest.mark.proof('permission-read')
def test_a_plan_that_a_pause_interrupts_orders_nothing(
    led: LedWorker, clock: PausableClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    pause_after(monkeypatch, Scheduler, 'plan', lambda: clock.pause(PAUSE_MS))
    led.service.plan()
    threading.Event().wait(SETTLE_S)
    assert not led.link.sent


@pytest.mark.proof('recent-poll')
def test_a_start_that_a_pause_delays_before_its_claim_is_not_sent(
    led: LedWorker, clock: PausableClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    pause_before(
        monkeypatch,
        SchedulerService,
        'claim_start_send',
        lambda: clock.pause(PAUSE_MS),
    )
    led.service.plan()
    threading.Event().wait(SETTLE_S)
    assert not led.link.sent


@pytest.mark.proof('lease-end')
@pytest.mark.parametrize(
    'hook',
    [
        _hook(pause_after, SchedulerService, 'claim_start_send'),
        _hook(pause_after, SchedulerService, 'start_context'),
        _hook(pause_before, ClockedLink, 'start'),
    ],
    ids=['before its lease is read', 'with its lease', 'sent'],
)
def test_a_start_delayed_by_a_pause_is_refused_by_its_worker(
    led: LedWorker,
    clock: PausableClock,
    monkeypatch: pytest.MonkeyPatch,
    hook: Hook,
) -> None:
    """The permission was read before the pause, so the order goes out."""
    lease_deadline_ms = now_ms() + TIMING.lease_ms
    hook(monkeypatch, lambda: clock.pause(PAUSE_MS))
    led.service.plan()
    threading.Event().wait(SETTLE_S)
    assert not led.link.accepted
    assert led.link.lease_deadline_ms <= lease_deadline_ms


@pytest.mark.proof('lease-end')
@pytest.mark.parametrize(
    'hook',
    [
        _hook(pause_before, SchedulerService, 'poll_order'),
        _hook(pause_after, SchedulerService, 'poll_order'),
    ],
    ids=['before its lease is read', 'with its lease'],
)
def test_a_poll_delayed_by_a_pause_gives_no_lease_after_it(
    led: LedWorker,
    clock: PausableClock,
    monkeypatch: pytest.MonkeyPatch,
    hook: Hook,
) -> None:
    polls = led.link.polls
    latest_ms = now_ms() + TIMING.lease_ms + PAUSE_MS // 2
    hook(monkeypatch, lambda: clock.pause(PAUSE_MS))
    wait_until(lambda: led.link.polls > polls)
    threading.Event().wait(SETTLE_S)
    assert led.link.lease_deadline_ms < latest_ms


@pytest.mark.proof('fence-heeded')
@pytest.mark.parametrize('kind', ['start', 'stop', 'pace', 'poll'])
def test_a_leader_that_meets_its_successor_after_a_pause_resigns(
    led: LedWorker, kind: str
) -> None:
    """Stops and paces carry no deadline; the worker knows the next token."""
    orders: dict[str, Sequence[Order]] = {
        'start': led.service.scheduler.plan(now_ms()),
        'stop': [StopOrder('w', KEY)],
        'pace': [PaceOrder('w', KEY, 40)],
        'poll': [],
    }
    led.link.is_fenced_off = True
    led.service.dispatch(orders[kind])
    wait_until(led.leadership.is_over, 2)
    sent = len(led.link.sent)
    led.service.dispatch([StopOrder('w', KEY), PaceOrder('w', KEY, 40)])
    threading.Event().wait(SETTLE_S)
    assert len(led.link.sent) == sent
    assert not led.link.accepted


class PausingAdvice(AdviceService):
    """An advice service whose answers are read after a pause."""

    def __init__(self, clock: PausableClock) -> None:
        """Pause for longer than a ticket is valid."""
        self._clock = clock

    def query(self, query: AdviceQuery) -> tuple[Permit, ...]:
        """Permit every worker."""
        self._clock.pause(POLICY.valid_ms)
        return tuple(Permit(each, 'ticket') for each in query.worker_ids)


@pytest.mark.proof('query-time')
def test_a_ticket_counts_from_before_a_pause(clock: PausableClock) -> None:
    harness = create_harness('w1')
    harness.scheduler.add_job(_advised(1))
    leadership = Leadership(deadline_in(PAUSE_MS), deadline_in(PAUSE_MS))
    service = SchedulerService(
        harness.scheduler, leadership, create_counters(), EventLog()
    )
    loop = AdviceLoop(service, PausingAdvice(clock))
    assert loop._send_next_query()
    assert not harness.scheduler.plan(now_ms())
