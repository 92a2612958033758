"""Settings, events and actions of the request policy; types only.

Times are whole microseconds on one monotonic clock. Backends, requests, customers and timers are
identified by opaque integers."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class Repeat(Enum):
    """Whether a request may be executed more than once."""

    SAFE = "safe"  # idempotent: a repeat costs only the work
    KEYED = "keyed"  # the backends of one scope deduplicate repeats for a limited time
    UNSAFE = "unsafe"  # not idempotent: a repeat takes effect again


class Scope(Enum):
    """The set of backends that share one store of deduplication keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt, or a call to the counter, ended, and whether it may have been executed."""

    OK = "ok"
    ERROR = "error"  # may have been executed
    FULL = "full"  # rejected for lack of capacity; not executed
    TIMEOUT = "timeout"  # may have been executed, or may still be running
    CONNECT_FAILED = "connect failed"  # not executed
    RESET = "reset"  # may have been executed
    CANCELLED = "cancelled"  # may have been executed
    MOOT = "moot"  # not sent


class BackendState(Enum):
    """The state of an endpoint as reported by discovery."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """The kind of an endpoint list update."""

    DELTA = "delta"  # only the endpoints that changed
    FULL = "full"
    CACHED = "cached"  # the last known full list, possibly stale
    FAILED = "failed"  # the query failed; no entries


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request: its latency target (`aim`), deadline and value. Times in us."""

    name: str
    aim: int  # latency target: an answer within it earns the full value
    deadline: int
    repeat: Repeat
    value: float = 1.0
    late_value: float = 0.0
    scope: Scope = Scope.ALL
    # How long backends deduplicate a keyed request, from the first attempt that may have been
    # executed.
    dedup_window: int = 0
    stream: bool = False
    target_stretch: float = 0.0
    max_endpoints: int = 0  # backends that one request may reach; 0: only `max_attempts` applies


@dataclass(frozen=True, slots=True)
class Plan:
    """A customer's plan: quota (rate and burst), hard rate limit (`ceiling_*`), concurrency cap."""

    name: str
    rate: float  # quota units per second for each customer; 0: no rate quota
    burst: float  # capacity of the customer's token bucket, in quota units
    max_in_flight: int = 0  # concurrent attempts; 0: no cap
    price: float = 1.0
    overage_value: float = 0.0  # share of a request's value earned for service beyond the quota
    overage_cost: float = 0.0  # share of a request's value that this service costs
    ceiling_rate: float = 0.0  # hard rate limit, units per second; 0: none
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    # Units, one per ingress, that all ingresses together may accumulate for isolated operation
    # while they are connected to a strict counter. If there are more ingresses than this, each
    # accumulates only after it has lost contact.
    savings_limit: float = math.inf


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a request: attempts, hedging, cancellation, retry advice. Times in us."""

    max_attempts: int = 1
    may_duplicate: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_message_peers: bool = False
    advises_retry: bool = True  # rejections carry retry-after
    max_retry_after: int = 0  # the longest retry-after that clients honour
    connect_timeout: int = 250_000
    max_open: int = 0
    # An attempt without an answer is awaited rather than retried: the connections report
    # unreachable backends.
    awaits_silent_attempts: bool = False
    # A rejection states that the request was not executed, and when to retry.
    refusal_means_not_run: bool = False


@dataclass(frozen=True, slots=True)
class Safety:
    """Limits of the endpoints: drain, slow start (`cold_share`, `ramp_time`), overload. In us."""

    answer_slack: int
    drain_grace: int
    cold_share: float  # share of its capacity that an endpoint has at the start of slow start
    ramp_time: int  # slow-start window: the endpoint has its full capacity after it
    overload_multiple: float  # load above this multiple of the present capacity ...
    overload_duration: int  # ... for this long makes the endpoint fail
    ask_within: int = 0


@dataclass(frozen=True, slots=True)
class CounterLimits:
    """How the shared quota counter may be used. Times in us."""

    allowed: bool = False
    timeout: int = 0
    price: float = 0.0
    # Calls that all ingresses together make within one timeout: more than a healthy counter queues.
    max_calls_in_flight: float = 64.0
    # Share of a bucket's remaining units that a lease may take ahead of demand; 0: derived from
    # the number of ingresses of the customer.
    lease_ahead_share: float = 0.0
    # While the counter is reachable, only leased units are spent, and none is reported afterwards.
    strict: bool = False
    lease_expiry: int = 0  # the counter counts leased units as spent after this; 0: never


@dataclass(frozen=True, slots=True)
class Settings:
    """The deployment's settings. `tick` is in us."""

    ingress_index: int
    fleet_size: int  # number of ingresses in front of these backends
    zone: int
    tick: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    limits: Limits
    safety: Safety
    counter: CounterLimits
    must_subscribe: bool = False  # endpoint list updates require a subscription
    load_fields: tuple[str, ...] = ()  # names of the values in a load report
    post_paid: bool = False  # the actual units are reported with the answer
    cross_zone_price: float = 0.0
    waste_price: float = 0.0
    probe_price: float = 0.0


@dataclass(frozen=True, slots=True)
class ListedBackend:
    """An endpoint as listed by discovery. Times in us."""

    id: int
    state: BackendState
    zone: int
    cell: int
    kind: int
    weight: float
    started: int  # start time; 0: long ago
    key: int = 0  # identifier that is the same at every ingress; 0: `id` is
    service: int = 0  # the service, where backends serve different ones
    region: int = 0
    slots: int = 0  # requests processed concurrently; 0: unknown
    warmup_until: int = 0


# Events


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A complete request, or the head of one with a streamed body, has arrived from a client."""

    request: int
    cls: int
    plan: int
    customer: int
    units: float
    time_left: int
    first_ingress: int = 0
    spread: int = 1  # number of ingresses that receive this customer's requests
    is_retry: bool = False
    body_streaming: bool = False  # the body is still arriving, and is forwarded as it arrives
    service: int = 0
    regions: frozenset[int] | None = None  # regions that may serve it; None: all
    priority: int = 0  # 0: highest


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; `latency` in us."""

    request: int
    attempt: int
    backend: int
    outcome: Outcome
    latency: int
    final: bool  # the request is complete
    load: tuple[float, ...] = ()
    billed: float = 0.0
    # Part of a streamed body was sent with this attempt: no other attempt can send it.
    body_consumed: bool = False


@dataclass(frozen=True, slots=True)
class BodyCompleted:
    """The last byte of a streamed body has arrived: the request's time limit starts now."""

    request: int
    time_left: int


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first part of a streamed answer has arrived; `latency` in us."""

    request: int
    attempt: int
    backend: int
    latency: int


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has closed its connection."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of a request has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class CountAnswered:
    """A call to the counter has succeeded or failed; `latency` in us."""

    name: int
    outcome: Outcome
    total: float
    latency: int
    # Units left in the token bucket, if the counter keeps it; negative: overdrawn.
    left: float | None = None


@dataclass(frozen=True, slots=True)
class BackendsListed:
    """Discovery has sent an endpoint list update."""

    kind: ListKind
    version: int
    backends: tuple[ListedBackend, ...]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings. Classes and plans keep their numbers; removed ones keep their place, because
    open requests complete under the settings they began with."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class MaintenanceChanged:
    """Operators have put a backend into maintenance or taken it out, regardless of its listed
    state."""

    backend: int
    in_maintenance: bool


@dataclass(frozen=True, slots=True)
class PredecessorLoad:
    """Attempts still in flight from the process that this one takes over from. Both together act
    as one ingress."""

    attempts: dict[int, int]  # by backend
    customers: dict[int, int]


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A health check has completed; `latency` in us."""

    backend: int
    outcome: Outcome
    latency: int
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another ingress."""

    sender: int
    data: bytes


Event = (
    RequestArrived
    | AttemptEnded
    | BodyCompleted
    | StreamStarted
    | ClientGone
    | TimerFired
    | CountAnswered
    | BackendsListed
    | SettingsChanged
    | MaintenanceChanged
    | PredecessorLoad
    | ProbeAnswered
    | PeerMessage
)


# Actions

# A unit of a budget that all ingresses share: the budget's kind, and its service or backend.
BudgetUnit = tuple[str, int]


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to this endpoint. Times in us."""

    request: int
    backend: int
    timeout: int  # 0: until the client disconnects
    # The first byte must be written by then, because the admission expires; 0: no limit.
    send_by: int = 0
    # Budget units that must be granted before the attempt is written.
    budget_units: tuple[BudgetUnit, ...] = ()


@dataclass(frozen=True, slots=True)
class Refuse:
    """Reject the request for good, stating that a retry by the client is safe."""

    request: int
    retry_after: int = 0  # us; 0: no advice
    over_quota: bool = True  # False: no capacity, or no backend


@dataclass(frozen=True, slots=True)
class Fail:
    """Fail the request for good, without a statement on whether it was executed."""

    request: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt whose answer is no longer needed."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send `TimerFired` at this time, in us."""

    token: int
    at: int


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add units to a named total of the counter; `ttl` in us."""

    name: int
    amount: float
    ttl: int
    customer: int = 0
    reported: float = 0.0  # part of `amount` that is already spent


@dataclass(frozen=True, slots=True)
class Probe:
    """Check an endpoint's health."""

    backend: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    backend: int


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message to one other ingress, or to all."""

    peer: int | None  # None: all peers
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to endpoint list updates, or unsubscribe."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Request the full endpoint list from discovery."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    SendAttempt
    | Refuse
    | Fail
    | CancelAttempt
    | SetTimer
    | AddToCounter
    | Probe
    | CloseIdle
    | SendToPeer
    | Subscribe
    | FetchList
    | Log
)
