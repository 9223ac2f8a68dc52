"""Messages of the platform, decoded once into descriptively named fields.

A field states its wire name if that differs; a comment explains wire names
that are misleading. Fields omitted from a message are 0, false or empty.
"""

from typing import Annotated, Any, Final, TypeAlias

from msgspec import Meta, Struct, field
from msgspec.json import Decoder

_NUMBER_BITS: Final = 63

MAX_NUMBER: Final = (1 << _NUMBER_BITS) - 1
"""Sums and products of numbers up to this stay in the range of a float."""

_IN_RANGE: Final = Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)

BoundedInt: TypeAlias = Annotated[int, _IN_RANGE]
BoundedFloat: TypeAlias = Annotated[float, _IN_RANGE]

# The store.


class WireItem(Struct, frozen=True):
    """An entry of the store, or a deletion in a list of events."""

    key: str
    value: str = ''
    revision: int = 0
    # "lease" is 0 for an item that is not bound to a lease.
    lease: int = 0
    is_removed: bool = field(name='removed', default=False)
    # The store's revision, in the response to a read of one key.
    store_revision: int = field(name='current_rev', default=0)


class WireRange(Struct, frozen=True):
    """One page of items below a prefix."""

    items: tuple[WireItem, ...] = ()
    is_truncated: bool = field(name='truncated', default=False)
    store_revision: int = field(name='current_rev', default=0)


class WireEvents(Struct, frozen=True):
    """Changes up to a revision of the store."""

    events: tuple[WireItem, ...] = ()
    store_revision: int = field(name='current_rev', default=0)


class WirePrecondition(Struct, frozen=True):
    """A precondition: the key is at this revision; 0 means absent."""

    key: str
    revision: int


class WirePut(Struct, frozen=True, omit_defaults=True):
    """A value to write, encoded as base64."""

    key: str
    value: str
    lease: int = 0


class WireTransaction(Struct, frozen=True):
    """Writes that are applied atomically."""

    # "expected_rev" is a list of preconditions, not one revision.
    guards: tuple[WirePrecondition, ...] = field(name='expected_rev')
    puts: tuple[WirePut, ...] = ()
    deletes: tuple[str, ...] = ()


class WireCommit(Struct, frozen=True):
    """The response to writes: the revision, or the conflicting items."""

    revision: int = 0
    items: tuple[WireItem, ...] = ()


class WireLease(Struct, frozen=True):
    """A lease of the store."""

    ttl_ms: int
    lease: int = 0


class WireLeaseRequest(Struct, frozen=True):
    """Requests a lease."""

    ttl_ms: int


# Workers.


class WireCapacity(Struct, frozen=True):
    """A worker's capacity; "cpu" is in thousandths of a core."""

    cpu: BoundedInt = 0
    mem_mb: BoundedInt = 0
    gpus: BoundedInt = 0


class WireRegistration(Struct, frozen=True):
    """The registration that a worker writes under its id."""

    service: str
    addr: str
    zone: str
    state: str
    capacity: WireCapacity = WireCapacity()
    labels: tuple[str, ...] = ()
    # How much longer the worker will be slow, not how long it has been cold.
    cold_ms: BoundedInt = field(name='cold_left_ms', default=0)
    # While the worker drains: the minimum time until it leaves.
    leaves_ms: BoundedInt = field(name='remaining_ms', default=0)
    born_ms: int = field(name='born', default=0)
    # Counts the writes of one lifetime.
    seq: BoundedInt = 0


class WireStart(Struct, frozen=True, omit_defaults=True):
    """Starts a run."""

    task: str
    run: int
    payload: str = field(name='task_spec')
    # By the worker's own clock; renews the lease of all its runs.
    lease_worker_ms: int = field(name='deadline_ms')
    token: int = field(name='fence_token')
    checkpoint: str = ''
    ticket: str = ''


class WireStop(Struct, frozen=True):
    """Stops a run, or prevents it from starting."""

    task: str
    run: int
    token: int = field(name='fence_token')


class WirePace(Struct, frozen=True):
    """Sets the speed of a run, in percent of full speed."""

    task: str
    run: int
    percent: int
    token: int = field(name='fence_token')


class WireLeaseRenewal(Struct, frozen=True, omit_defaults=True):
    """Renews the lease, acknowledges ends of runs and requests both lists."""

    token: int = field(name='fence_token')
    # The worker may discard ends up to this number.
    acked_number: int = field(name='acked_upto')
    lease_worker_ms: int = field(name='deadline_ms', default=0)
    wait_ms: int = 0


class WireRunLists(Struct, frozen=True):
    """A worker's run lists.

    Rows of `running` are [task, run, checkpoint, progress, measurement], those
    of `ended` are [number, task, run, how, checkpoint]. The platform's
    documentation calls both the progress and the pace "percent"; a worker does
    not list the pace.
    """

    clock_ms: BoundedInt = 0
    born_ms: int = field(name='born', default=0)
    running: tuple[tuple[Any, ...], ...] = ()
    ended: tuple[tuple[Any, ...], ...] = ()


class WireWorkerResponse(Struct, frozen=True):
    """A worker's response to an order."""

    clock_ms: BoundedInt = 0
    born_ms: int = field(name='born', default=0)
    reason: str = ''


# The advice service.


class WireAdviceQuery(Struct, frozen=True):
    """Queries which workers may run a step."""

    # Steps are named ID.K.STEP, and their tasks ID.K.STEP.INDEX.
    step: str
    worker_ids: tuple[str, ...] = field(name='workers')


class WireAdviceResponse(Struct, frozen=True):
    """The workers that may run the step: rows of worker id and ticket."""

    # "good" does not refer to the health of the workers.
    permits: tuple[tuple[str, str], ...] = field(name='good', default=())


# Machines.


class WireMachine(Struct, frozen=True):
    """A machine, its state and its worker."""

    machine_id: str = field(name='machine')
    state: str = ''
    # The id of the machine's worker, not of the machine itself.
    worker_id: str | None = field(name='id', default='')


class WireMachines(Struct, frozen=True):
    """One page of machines."""

    machines: tuple[WireMachine, ...] = ()
    next_token: str | None = None


class WireMaintenanceRequest(Struct, frozen=True):
    """Takes a machine down for maintenance in a wave."""

    machine_id: str = field(name='machine')
    wave: int


class WireRefusal(Struct, frozen=True):
    """Why a maintenance order for a machine was not executed."""

    reason: str = ''


class WireWave(Struct, frozen=True):
    """A maintenance wave requested by operators."""

    # The number of the wave.
    wave: BoundedInt
    machine_ids: tuple[str, ...] = field(name='machines')
    within_s: BoundedFloat
    at_most: BoundedInt


class WireWaveStatus(Struct, frozen=True):
    """The status of a maintenance wave."""

    state: str


# Jobs.


class WireStep(Struct, frozen=True):
    """One step of a submitted job."""

    count: BoundedInt = 0
    cpu: BoundedInt = 0
    mem_mb: BoundedInt = 0
    gpus: BoundedInt = 0
    estimated_ms: BoundedInt = field(name='est_runtime_ms', default=0)
    after: tuple[BoundedInt, ...] = ()
    is_gang: bool = field(name='gang', default=False)
    same_rack: bool = False
    # One label, although the wire name is a plural.
    required_label: str = field(name='constraints', default='')
    # The rack that holds the data, not an affinity to other tasks.
    data_rack: str = field(name='affinity', default='')
    # The maximum number of the step's tasks on one worker, not an exclusion.
    max_per_worker: BoundedInt = field(name='anti_affinity', default=0)
    may_copy: bool = field(name='speculative', default=False)
    checkpoints: bool = field(name='checkpointing', default=False)
    is_endless: bool = field(name='long_running', default=False)
    fills_spare: bool = field(name='fills', default=False)
    image: str = ''
    tail_target_ms: BoundedFloat = field(name='target_ms', default=0)
    may_miss: BoundedInt = 0


class WireJob(Struct, frozen=True):
    """A submitted job."""

    steps: tuple[WireStep, ...] = field(name='phases')
    payload: str = field(name='task_spec', default='')
    # Due times are in ms since 1970.
    first_due_ms: BoundedInt = field(name='first_ms', default=0)
    interval_ms: BoundedInt = 0
    occurrences: BoundedInt = field(name='times', default=0)


# The operators' documents.


class WireAdvicePolicy(Struct, frozen=True):
    """Response times and ticket validity of a queue's advice service."""

    decide_ms: BoundedFloat = 0
    each_ms: BoundedFloat = 0
    valid_ms: BoundedInt = 0


class WireRoute(Struct, frozen=True):
    """A route, which defines a queue of jobs."""

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: BoundedInt = 0
    target_latency_ms: BoundedInt = 0
    priority: BoundedInt = 0
    max_attempts: BoundedInt = 1
    stretch: BoundedFloat = 1
    advice: WireAdvicePolicy | None = None
    # Calls on a public queue need no key of a customer.
    is_public: bool = field(name='public', default=False)


class WireTenant(Struct, frozen=True):
    """A customer."""

    name: str = ''
    keys: tuple[str, ...] = field(name='api_keys', default=())
    # Has no defined meaning; unlike the priority of a route it is not used.
    priority: BoundedInt = 0
    weight: BoundedInt = 0
    # The maximum of what runs at once; a resource of 0 has no limit.
    ceiling: WireCapacity = field(name='at_most', default=WireCapacity())


class WireService(Struct, frozen=True):
    """A pool of workers."""

    name: str
    rejects_overload: bool = False
    spare: bool = False


class WireLimits(Struct, frozen=True):
    """Limits on HTTP requests."""

    max_header_bytes: BoundedInt = 16_384
    max_body_bytes: BoundedInt = 262_144
    header_timeout_ms: BoundedInt = 3000
    idle_timeout_ms: BoundedInt = 15_000


class WireCfg(Struct, frozen=True):
    """A complete cfg."""

    version: int
    routes: tuple[WireRoute, ...] = ()
    services: tuple[WireService, ...] = ()
    limits: WireLimits = WireLimits()
    customers: tuple[WireTenant, ...] = field(name='tenants', default=())


REGISTRATION_DECODER = Decoder(WireRegistration)
RUN_LISTS_DECODER = Decoder(WireRunLists)
ADVICE_DECODER = Decoder(WireAdviceResponse)
MACHINES_DECODER = Decoder(WireMachines)
REFUSAL_DECODER = Decoder(WireRefusal)
WAVE_DECODER = Decoder(WireWave)
WORKER_RESPONSE_DECODER = Decoder(WireWorkerResponse)
JOB_DECODER = Decoder(WireJob)
CFG_DECODER = Decoder(WireCfg)
