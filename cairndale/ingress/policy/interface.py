"""Settings, events and actions of a gateway: types only.

Times are whole microseconds; `now` and every moment are on one clock that never goes back. An
opaque integer names a backend, a request, a customer, a timer."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class Repeat(Enum):
    """What a second run of a request would do."""

    SAFE = "safe"  # nothing worse than the work
    KEYED = "keyed"  # backends of one scope drop repeats for a while
    UNSAFE = "unsafe"  # takes effect again


class Scope(Enum):
    """The backends that share one memory of keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt, or a call to the counter, has ended; whether it may have run."""

    OK = "ok"
    ERROR = "error"  # may have run
    FULL = "full"  # turned away unseen
    TIMEOUT = "timeout"  # may have run, may still run
    CONNECT_FAILED = "connect failed"  # never ran
    RESET = "reset"  # may have run
    CANCELLED = "cancelled"  # may have run
    MOOT = "moot"  # never sent


class BackendState(Enum):
    """What discovery says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a word of discovery is: the whole list, changes of it, or a failure."""

    DELTA = "delta"  # only what changed
    FULL = "full"
    CACHED = "cached"  # whole, as last held, perhaps old
    FAILED = "failed"  # asking failed; no entries


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request: its latency target (`aim`), its deadline and its worth. Times in us."""

    name: str
    aim: int  # an answer within this earns the full worth
    deadline: int
    repeat: Repeat
    value: float = 1.0
    late_value: float = 0.0
    scope: Scope = Scope.ALL
    dedup_window: int = 0  # how long keyed backends remember, from the first send that may have run
    stream: bool = False
    target_stretch: float = 0.0
    max_endpoints: int = 0  # backends that one request may reach; 0: as the limits say


@dataclass(frozen=True, slots=True)
class Plan:
    """What a customer has bought: a quota (rate, burst), a hard ceiling, a cap on concurrency."""

    name: str
    rate: float  # units a second for each customer; 0: no rate quota
    burst: float  # units the customer's store holds
    max_in_flight: int = 0  # attempts out at once; 0: no cap
    price: float = 1.0
    overage_value: float = 0.0  # share of the worth earned beyond the quota
    overage_cost: float = 0.0  # share of the worth it costs
    ceiling_rate: float = 0.0  # hard ceiling; 0: none
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    # Units, one for each, that all gateways together may have saved up while in touch with a strict
    # counter; where they would be more, each begins to save once it has lost touch.
    savings_limit: float = math.inf


@dataclass(frozen=True, slots=True)
class Limits:
    """What a request may use: attempts, hedging, cancelling, advice to retry. Times in us."""

    max_attempts: int = 1
    may_duplicate: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_message_peers: bool = False
    advises_retry: bool = True  # clients are shown retry-after
    max_retry_after: int = 0  # the longest wait a client follows
    connect_timeout: int = 250_000
    max_open: int = 0
    # a silent attempt is waited for: the links tell of a backend that is gone
    awaits_silent_attempts: bool = False
    refusal_means_not_run: bool = (
        False  # a refusal says that the request has not run, and when to come back
    )


@dataclass(frozen=True, slots=True)
class Safety:
    """What endpoints bear: drains, slow start (`cold_share`, `ramp_time`), peaks. Times in us."""

    answer_slack: int
    drain_grace: int
    cold_share: float  # a starting backend can do at least this part
    ramp_time: int  # and all of it after this long
    overload_multiple: float  # more than this times its present capacity ...
    overload_duration: int  # ... for this long tips it over
    ask_within: int = 0


@dataclass(frozen=True, slots=True)
class CounterLimits:
    """How the shared counter may be used. Times in us."""

    allowed: bool = False
    timeout: int = 0
    price: float = 0.0
    # calls in its time-out by all gateways: more than a healthy one has waiting
    max_calls_in_flight: float = 64.0
    # of a store's room that a lease may take ahead; 0: by the gateways a customer has
    lease_ahead_share: float = 0.0
    # while it is in touch no unit is spent but those it leased, and none is told of later
    strict: bool = False
    lease_expiry: int = 0  # us after which the counter takes leased units for spent; 0: never


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a policy is told of the deployment. `tick` is in us."""

    ingress_index: int
    fleet_size: int  # gateways in front of these backends
    zone: int
    tick: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    limits: Limits
    safety: Safety
    counter: CounterLimits
    must_subscribe: bool = False  # the backend list has to be subscribed to
    load_fields: tuple[str, ...] = ()  # names of the values in a load report
    post_paid: bool = False  # true units come with the answer
    cross_zone_price: float = 0.0
    waste_price: float = 0.0
    probe_price: float = 0.0


@dataclass(frozen=True, slots=True)
class ListedBackend:
    """An endpoint, as discovery lists it. Times in us."""

    id: int
    state: BackendState
    zone: int
    cell: int
    kind: int
    weight: float
    started: int  # 0: long ago
    key: int = 0  # the same at every gateway; 0: its id is
    service: int = 0  # what it serves, where backends differ in that
    region: int = 0
    slots: int = 0  # requests that it works on at once; 0: unknown
    warmup_until: int = 0


# Events


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A whole request has come from a client, or the head of one whose body comes in parts."""

    request: int
    cls: int
    plan: int
    customer: int
    units: float
    time_left: int
    first_ingress: int = 0
    spread: int = 1  # gateways this customer's requests can come through
    is_retry: bool = False
    body_streaming: bool = False  # its body is still coming, and is passed on as it comes
    service: int = 0
    regions: frozenset[int] | None = None  # where it may be served; None: everywhere
    priority: int = 0  # 0 is highest


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; `latency` in us."""

    request: int
    attempt: int
    backend: int
    outcome: Outcome
    latency: int
    final: bool  # the request is over
    load: tuple[float, ...] = ()
    billed: float = 0.0
    # some of a body that came in parts has gone to it: no other attempt can have it
    body_consumed: bool = False


@dataclass(frozen=True, slots=True)
class BodyCompleted:
    """The last byte of a body that came in parts: the request's time counts from here."""

    request: int
    time_left: int


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """An answer that is passed on in parts has begun; `latency` in us."""

    request: int
    attempt: int
    backend: int
    latency: int


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has ended its connection."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set for a request is due."""

    token: int


@dataclass(frozen=True, slots=True)
class CountAnswered:
    """The counter has answered a call, or has failed to; `latency` in us."""

    name: int
    outcome: Outcome
    total: float
    latency: int
    # in the store, where the counter keeps that; under 0: past its allowance
    left: float | None = None


@dataclass(frozen=True, slots=True)
class BackendsListed:
    """Discovery has said which endpoints there are."""

    kind: ListKind
    version: int
    backends: tuple[ListedBackend, ...]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings from now on. Classes and plans keep their numbers; those dropped keep their
    place, as open requests end by the rules they began with."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class MaintenanceChanged:
    """Operators take a backend out of service or put it back, whatever the list says of it
    meanwhile."""

    backend: int
    in_maintenance: bool


@dataclass(frozen=True, slots=True)
class PredecessorLoad:
    """Attempts out from the process that this one takes over from; together they are one
    gateway."""

    attempts: dict[int, int]  # by backend
    customers: dict[int, int]


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A health check has ended; `latency` in us."""

    backend: int
    outcome: Outcome
    latency: int
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Another ingress has sent something."""

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

# of a whole that all gateways share: its kind, and the service or backend it is of
BudgetUnit = tuple[str, int]


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to this endpoint; `timeout` and `until` in us."""

    request: int
    backend: int
    timeout: int  # 0: until the client quits
    # its first byte is written by then or never: what it was admitted by ends; 0: any time
    send_by: int = 0
    # the shared wholes of which it must be dealt one before it is written
    budget_units: tuple[BudgetUnit, ...] = ()


@dataclass(frozen=True, slots=True)
class Refuse:
    """A final no that promises the client a new try does no harm."""

    request: int
    retry_after: int = 0  # 0: no advice
    over_quota: bool = True  # the quota; else there was no room, or no backend


@dataclass(frozen=True, slots=True)
class Fail:
    """A final failure that promises nothing about effects."""

    request: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Give an attempt up: its answer is not wanted any longer."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Wake the policy at this time, in us."""

    token: int
    at: int


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add units to a name of the counter; `ttl` in us."""

    name: int
    amount: float
    ttl: int
    customer: int = 0
    reported: float = 0.0  # of the amount: units that are spent already


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
    """Send something to one other ingress, or to all."""

    peer: int | None  # None: every peer
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for changes from now on, or no longer."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask discovery for the whole list."""


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
