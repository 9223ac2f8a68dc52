"""Messages of the platform, decoded once into names that say what they hold.

Each structure states the wire name where it differs; a comment stands where
the wire name misleads. Fields that a message leaves out hold 0, false or
empty values.
"""

from typing import Any

from msgspec import Struct, field
from msgspec.json import Decoder

# The store.


class WireItem(Struct, frozen=True):
    """An item of the store, or a deletion in a list of events."""

    key: str
    value: str = ''
    revision: int = 0
    # "lease" is 0 for an item that stays.
    lease: int = 0
    is_removed: bool = field(name='removed', default=False)
    # The store's revision, in the answer to a read of one key.
    store_revision: int = field(name='current_rev', default=0)


class WireRange(Struct, frozen=True):
    """One page of items."""

    items: tuple[WireItem, ...] = ()
    is_truncated: bool = field(name='truncated', default=False)
    store_revision: int = field(name='current_rev', default=0)


class WireEvents(Struct, frozen=True):
    """Changes up to a revision of the store."""

    events: tuple[WireItem, ...] = ()
    store_revision: int = field(name='current_rev', default=0)


class WirePrecondition(Struct, frozen=True):
    """A condition: the key is at this revision, 0 for an absent key."""

    key: str
    revision: int


class WirePut(Struct, frozen=True, omit_defaults=True):
    """A value to be written, as base64."""

    key: str
    value: str
    lease: int = 0


class WireTransaction(Struct, frozen=True):
    """All-or-nothing writes."""

    # "expected_rev" holds rows of conditions, not one revision.
    guards: tuple[WirePrecondition, ...] = field(name='expected_rev')
    puts: tuple[WirePut, ...] = ()
    deletes: tuple[str, ...] = ()


class WireCommit(Struct, frozen=True):
    """The answer to writes: the revision, or the items in the way."""

    revision: int = 0
    items: tuple[WireItem, ...] = ()


class WireLease(Struct, frozen=True):
    """A lease of the store."""

    ttl_ms: int
    lease: int = 0


class WireLeaseRequest(Struct, frozen=True):
    """Asks for a lease."""

    ttl_ms: int


# Workers.


class WireCapacity(Struct, frozen=True):
    """A worker's room; "cpu" counts thousandths of a core."""

    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0


class WireRegistration(Struct, frozen=True):
    """What a worker writes about itself under its id."""

    service: str
    addr: str
    zone: str
    state: str
    capacity: WireCapacity = WireCapacity()
    labels: tuple[str, ...] = ()
    # How much longer the worker is slow, not how long it has been cold.
    cold_ms: int = field(name='cold_left_ms', default=0)
    # While it drains: the least time until it leaves.
    leaves_ms: int = field(name='remaining_ms', default=0)
    born_ms: int = field(name='born', default=0)


class WireStart(Struct, frozen=True, omit_defaults=True):
    """Starts a run."""

    task: str
    run: int
    payload: str = field(name='task_spec')
    # On the worker's own clock; it renews the lease of all that runs there.
    lease_worker_ms: int = field(name='deadline_ms')
    token: int = field(name='fence_token')
    checkpoint: str = ''
    ticket: str = ''


class WireStop(Struct, frozen=True):
    """Stops a run, or bars it."""

    task: str
    run: int
    token: int = field(name='fence_token')


class WirePace(Struct, frozen=True):
    """Sets the share at which a run works."""

    task: str
    run: int
    percent: int
    token: int = field(name='fence_token')


class WireLeaseRenewal(Struct, frozen=True, omit_defaults=True):
    """Renews the lease, acknowledges ends and asks for both lists."""

    token: int = field(name='fence_token')
    # Ends up to this number may be forgotten.
    acked_number: int = field(name='acked_upto')
    lease_worker_ms: int = field(name='deadline_ms', default=0)
    wait_ms: int = 0


class WireRunLists(Struct, frozen=True):
    """A worker's answer: rows of [task, run, checkpoint, progress, gauge] and
    of [number, task, run, how, checkpoint].

    The pages call the progress "percent", as they do the pace; a worker does
    not list the pace."""

    clock_ms: int = 0
    born_ms: int = field(name='born', default=0)
    running: tuple[tuple[Any, ...], ...] = ()
    ended: tuple[tuple[Any, ...], ...] = ()


class WireWorkerResponse(Struct, frozen=True):
    """A worker's answer to an order."""

    clock_ms: int = 0
    born_ms: int = field(name='born', default=0)
    reason: str = ''


# The advice service.


class WireAdviceQuery(Struct, frozen=True):
    """Asks which workers may run a step."""

    # A step is named ID.K.STEP, a task of it ID.K.STEP.INDEX.
    step: str
    worker_ids: tuple[str, ...] = field(name='workers')


class WireAdviceResponse(Struct, frozen=True):
    """The workers that may run it: rows of id and ticket."""

    # "good" says nothing of the workers' condition.
    permits: tuple[tuple[str, str], ...] = field(name='good', default=())


# Machines.


class WireMachine(Struct, frozen=True):
    """One machine."""

    machine_id: str = field(name='machine')
    state: str = ''
    # The id of the machine's worker, not of the machine.
    worker_id: str | None = field(name='id', default='')


class WireMachines(Struct, frozen=True):
    """One page of machines."""

    machines: tuple[WireMachine, ...] = ()
    next_token: str | None = None


class WireMaintenanceRequest(Struct, frozen=True):
    """Takes a machine down for the upkeep of a wave."""

    machine_id: str = field(name='machine')
    wave: int


class WireRefusal(Struct, frozen=True):
    """Why an order to a machine was not carried out."""

    reason: str = ''


class WireWave(Struct, frozen=True):
    """Operators ask for the upkeep of machines."""

    # The number of the wave.
    wave: int
    machine_ids: tuple[str, ...] = field(name='machines')
    within_s: float
    at_most: int


class WireWaveStatus(Struct, frozen=True):
    """How a wave stands."""

    state: str


# Jobs.


class WireStep(Struct, frozen=True):
    """One step of a submission."""

    count: int = 0
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0
    estimated_ms: int = field(name='est_runtime_ms', default=0)
    after: tuple[int, ...] = ()
    is_gang: bool = field(name='gang', default=False)
    same_rack: bool = False
    # One label, although the wire name is a plural.
    required_label: str = field(name='constraints', default='')
    # The rack where the data lies, not a liking for other tasks.
    data_rack: str = field(name='affinity', default='')
    # A bound on tasks of the step on one worker, not an exclusion.
    max_per_worker: int = field(name='anti_affinity', default=0)
    may_copy: bool = field(name='speculative', default=False)
    checkpoints: bool = field(name='checkpointing', default=False)
    is_endless: bool = field(name='long_running', default=False)
    fills_spare: bool = field(name='fills', default=False)
    image: str = ''
    tail_target_ms: float = field(name='target_ms', default=0)
    may_miss: int = 0


class WireJob(Struct, frozen=True):
    """A submission."""

    steps: tuple[WireStep, ...] = field(name='phases')
    payload: str = field(name='task_spec', default='')
    # Due times count from 1970.
    first_due_ms: int = field(name='first_ms', default=0)
    interval_ms: int = 0
    occurrences: int = field(name='times', default=0)


# The operators' documents.


class WireAdvicePolicy(Struct, frozen=True):
    """How the advice service of a queue answers."""

    decide_ms: float = 0
    each_ms: float = 0
    valid_ms: int = 0


class WireRoute(Struct, frozen=True):
    """A route is a queue of jobs."""

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: int = 0
    target_latency_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1
    advice: WireAdvicePolicy | None = None


class WireService(Struct, frozen=True):
    """A pool of workers."""

    name: str
    rejects_overload: bool = False
    spare: bool = False


class WireLimits(Struct, frozen=True):
    """Limits on requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


class WireCfg(Struct, frozen=True):
    """A whole configuration."""

    version: int
    routes: tuple[WireRoute, ...] = ()
    services: tuple[WireService, ...] = ()
    limits: WireLimits = WireLimits()


REGISTRATION_DECODER = Decoder(WireRegistration)
RUN_LISTS_DECODER = Decoder(WireRunLists)
ADVICE_DECODER = Decoder(WireAdviceResponse)
MACHINES_DECODER = Decoder(WireMachines)
REFUSAL_DECODER = Decoder(WireRefusal)
WAVE_DECODER = Decoder(WireWave)
WORKER_RESPONSE_DECODER = Decoder(WireWorkerResponse)
JOB_DECODER = Decoder(WireJob)
CFG_DECODER = Decoder(WireCfg)
