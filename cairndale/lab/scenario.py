"""Scenarios: TOML files with a checked schema. A range `[least, most]` is drawn anew for each seed.

Each parameter's description states its unit and its origin: `site` (the platform's site file),
`bench` (the bench's
page), `protocol`, `brief`, or `guess` where no document tells it.
"""

from __future__ import annotations

import difflib
import tomllib
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct, UnsetType

from cairndale.ingress.cli.checked import about, convert, described_keys, join_key

S = TypeVar("S", bound=Struct)
SHIPPED = Path(__file__).parent / "scenarios"
NonNegative = Annotated[float, Meta(ge=0)]
Positive = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Spread = Annotated[list[NonNegative], Meta(min_length=2, max_length=2)]
Range = NonNegative | Spread


class ScenarioError(Exception):
    """All that is wrong with a scenario: one line an error, `file: key: reason`."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


def span(least: float, most: float) -> Any:
    """The default of a range."""
    return msgspec.field(default_factory=lambda: [least, most])


class Fleet(Struct, forbid_unknown_fields=True):
    gateways: Annotated[
        int, Meta(ge=1, le=256), about("processes; site: 3 to 4, bench: up to 200")
    ] = 3
    servers: Annotated[
        int, Meta(ge=1, le=256), about("machines; site: 9 to 14, bench: up to 200")
    ] = 9
    zones: Annotated[list[str], Meta(min_length=1), about("names; site [net]")] = msgspec.field(
        default_factory=lambda: ["room-a", "room-b", "room-c"]
    )


class ServerModel(Struct, forbid_unknown_fields=True):
    cores: Annotated[int, Meta(ge=1), about("cores; site [[tier.kind]]")] = 3
    speed: Annotated[Range, about("work done in a second by one core, s; site")] = span(0.85, 1.1)
    slots_per_core: Annotated[Range, about("requests in work at once, a core; site")] = span(2, 6)
    queue_per_core: Annotated[Range, about("requests waiting, a core; site")] = span(8.2, 33)
    thrash: Annotated[
        Range, about("capacity lost for each `thrash_at` held beyond it; size site, form guess")
    ] = span(0.033, 0.3)
    thrash_at: Annotated[
        Range, about("requests held, a core, from which capacity falls; site, form guess")
    ] = span(3, 8)
    cold_from: Annotated[Range, about("share of its capacity at a start; site")] = span(0.18, 0.43)
    cold_s: Annotated[Range, about("s until warm, at the latest; site")] = span(5.9, 15)
    warm_requests: Annotated[
        Range, about("requests a core until warm, if that is earlier; guess")
    ] = span(40, 80)
    error_rate: Annotated[Range, about("share of requests that fail after their work; site")] = (
        span(0, 0.0005)
    )
    cancel: Annotated[Literal["none", "queued"], about("what a cancel stops; site")] = "queued"
    drops_expired: Annotated[bool, about("overdue work is not begun; site")] = True
    cap_per_core: Annotated[Range, about("connections held, a core; site [tier.conn]")] = span(
        420, 880
    )
    full_tax: Annotated[Range, about("capacity lost with a full table of connections; site")] = (
        span(0.03, 0.15)
    )
    handshake_us: Annotated[Range, about("us of work for a new connection; site")] = span(670, 1900)
    handshake_rtts: Annotated[
        Range, about("ways there and back before a new connection's first request; site")
    ] = span(1, 3)
    idle_s: Annotated[Positive, about("s after which an idle connection is closed; site")] = 30
    connect_timeout_ms: Annotated[Positive, about("ms; site")] = 250


class CounterModel(Struct, forbid_unknown_fields=True):
    per_s: Annotated[Range, about("calls a second by all parts; site [fam]")] = span(620, 840)
    parts: Annotated[Annotated[int, Meta(ge=1)], about("parts, split by name; site: 2 to 3")] = 3
    ms: Annotated[Range, about("ms for a call beside the way; site")] = span(0.32, 1.9)
    queue_timeouts: Annotated[
        Range, about("length of a part's line, in time-outs; bench [fam]")
    ] = span(0.4, 3)
    timeout_ms: Annotated[Positive, about("ms after which a caller gives up; site")] = 30
    back_s: Annotated[
        Range, about("s until it is back elsewhere, empty, when its zone is lost; site")
    ] = span(3.1, 7.7)


class DiscoveryModel(Struct, forbid_unknown_fields=True):
    use: Annotated[
        Literal["agent", "list-service"], about("what tells in a live run; bench: agent")
    ] = "agent"
    add_s: Annotated[Range, about("s until a start is listed; site")] = span(0.42, 2)
    notice_s: Annotated[Range, about("s until an end is listed; site")] = span(1.1, 4.8)
    silent_notice_s: Annotated[Range, about("s until a silent end is listed; site")] = span(5.9, 14)
    period_ms: Annotated[Range, about("ms that changes are gathered; site")] = span(160, 1100)
    spread_ms: Annotated[Range, about("ms between the first and the last gateway told; site")] = (
        span(98, 380)
    )
    per_s: Annotated[
        NonNegative, about("gateways told a second at the most; 0: no bound; guess")
    ] = 0


class NetworkModel(Struct, forbid_unknown_fields=True):
    same_ms: Annotated[Range, about("ms one way in a zone; site [net]")] = span(0.1, 0.24)
    cross_ms: Annotated[Range, about("ms one way between zones; site")] = span(0.7, 1.3)
    client_ms: Annotated[Range, about("ms one way between client and gateway; site")] = span(
        0.24, 1.2
    )
    jitter: Annotated[
        Range, about("share of a way that varies; site, form guess (exponential)")
    ] = span(0.064, 0.35)
    front_notice_s: Annotated[
        Range, about("s that requests go on coming to a dead gateway; site [front]")
    ] = span(1.4, 3.8)


class ClientModel(Struct, forbid_unknown_fields=True):
    retries: Annotated[
        Range, about("tries after the first; the whole part counts; site [clients]")
    ] = span(1, 2.99)
    try_share: Annotated[
        Range, about("share of the deadline after which a try is given up; site")
    ] = span(0.5, 1)
    fixed_wait: Annotated[
        Share, about("share of days on which clients wait before a retry; site: none or fixed")
    ] = 0.5
    backoff_ms: Annotated[Range, about("ms of that wait; site")] = span(60, 480)
    honour: Annotated[Range, about("share of clients that heed Retry-After; site")] = span(
        0.62, 0.98
    )
    max_retry_after_ms: Annotated[Positive, about("ms that a client heeds at the most; site")] = 500
    impatient: Annotated[
        Range, about("share of tries given up within the aim; site, form guess")
    ] = span(0, 0.01)


class Traffic(Struct, forbid_unknown_fields=True):
    load: Annotated[
        Range, about("share of the servers' capacity asked inside the quotas; site [load]")
    ] = span(0.43, 0.64)
    calm_use: Annotated[Range, about("share of the rate that most members ask; site [fam]")] = span(
        0.28, 0.48
    )
    full: Annotated[Range, about("share of members that ask nearly all; site")] = span(0.13, 0.24)
    heavy: Annotated[Range, about("share of members that ask far more; site")] = span(0.073, 0.13)
    heavy_x: Annotated[Range, about("times the rate that these ask; site")] = span(2.1, 4.7)
    spiky: Annotated[Range, about("share of members with spikes; site")] = span(0.1, 0.24)
    spike_x: Annotated[Range, about("times the rate in a spike; site")] = span(2.6, 6.7)
    spike_s: Annotated[Range, about("s of a spike; site")] = span(1.1, 4.1)
    spike_every_s: Annotated[Range, about("s between spikes; site")] = span(10, 21)
    skew: Annotated[
        Range, about("exponent of a member's weights over its gateways; site, form guess")
    ] = span(0.39, 1.1)
    shift_s: Annotated[Range, about("s after which the weights move; site")] = span(8.4, 20)
    elsewhere: Annotated[
        Range, about("share of retries through another gateway; site, meaning guess")
    ] = span(0.063, 0.65)
    swing: Annotated[
        Range, about("share by which all traffic swings; site [load], form guess (sine)")
    ] = span(0.052, 0.13)
    body_bytes: Annotated[Range, about("bytes of an answer; guess")] = span(200, 2000)
    large_share: Annotated[Share, about("share of answers of `large_bytes`; live only; guess")] = 0
    large_bytes: Annotated[
        int, Meta(ge=0), about("bytes of a large answer; later page: up to 32 MB")
    ] = 4_000_000


class PlanModel(Struct, forbid_unknown_fields=True):
    name: str
    share: Annotated[Share, about("share of the load inside the quotas; site [[tenant]]")]
    rate: Annotated[Range, about("units a second for each member; site [[fam.plan]]")]
    burst_s: Annotated[Range, about("s of the rate that may be used at once; site")]
    price: Annotated[NonNegative, about("times the class's worth; site")] = 1.0
    over_worth: Annotated[
        NonNegative, about("share of the worth earned beyond the quota; site")
    ] = 0.0
    over_cost: Annotated[NonNegative, about("share of the worth it costs; site")] = 0.0
    spread: Annotated[Range, about("share of the gateways that a member comes through; site")] = (
        span(0.5, 1)
    )
    ceiling: Annotated[
        Range, about("times rate and burst that all gateways may send on; 0: none; site")
    ] = 0.0


class ClassModel(Struct, forbid_unknown_fields=True):
    name: str
    work_ms: Annotated[Range, about("ms of one core's work, mean; site [[class]]")] = span(130, 220)
    cv: Annotated[Range, about("standard deviation over mean, lognormal; site")] = span(0.51, 1.4)
    aim_ms: Annotated[Positive, about("ms within which an answer earns; site")] = 1200
    deadline_ms: Annotated[Positive, about("ms that a client waits over all its tries; site")] = (
        4000
    )
    share: Annotated[Share, about("share of the requests; site")] = 1.0
    worth: Annotated[NonNegative, about("worth of an answer; site")] = 1.0


class Limits(Struct, forbid_unknown_fields=True):
    max_attempts: Annotated[int, Meta(ge=1, le=100), about("attempts a try; site [allow]")] = 6
    second_copies: Annotated[bool, about("two attempts at once; site")] = True
    cancel: Annotated[bool, about("attempts may be given up; site")] = True
    retry_after: Annotated[bool, about("advice reaches clients; site")] = True
    max_open: Annotated[
        int, Meta(ge=0), about("requests open in a gateway; wire page's example")
    ] = 20_000
    sockets: Annotated[
        int, Meta(ge=64), about("descriptors of a gateway; deployment: at most 1024 on scored days")
    ] = 1024
    memory_mb: Annotated[Positive, about("MB of a gateway; deployment: 32 to 192")] = 192


class Rules(Struct, forbid_unknown_fields=True):
    drain_grace_ms: Annotated[
        Positive, about("ms from the word to the last send; site [rules]")
    ] = 250
    fall_multiple: Annotated[Positive, about("times a cold server's capacity; site")] = 3
    fall_ms: Annotated[Positive, about("ms of that until it falls; site")] = 3000
    answer_slack_ms: Annotated[
        NonNegative, about("ms past a try's time for its answer; bench: half a second")
    ] = 500
    socket_slack_ms: Annotated[
        NonNegative, about("ms that live time limits are longer; protocol")
    ] = 50
    ceiling_slack: Annotated[NonNegative, about("share of the ceiling's burst; brief")] = 0.1


class Prices(Struct, forbid_unknown_fields=True):
    cross_zone: Annotated[
        NonNegative, about("points for an attempt across zones a request; site")
    ] = 0.021
    waste: Annotated[NonNegative, about("points for work wasted over work asked; site")] = 0.16
    late_fail: Annotated[NonNegative, about("points for all failing after the aim; site")] = 0.022
    counter: Annotated[NonNegative, about("points for a call a request; site")] = 0.005


class Goal(Struct, forbid_unknown_fields=True):
    whole: Annotated[Share, about("weight of the whole run; site [goal]")] = 0.65
    worst_window: Annotated[Share, about("weight of the worst 10 s; site")] = 0.2
    worst_plan: Annotated[Share, about("weight of the worst plan; site")] = 0.15


Kind = Literal[
    "burst",
    "hot_member",
    "scan",
    "gateways_killed",
    "gateways_stopped",
    "rolling_restart",
    "upgrade",
    "zone_cut",
    "zone_lost",
    "servers_lost",
    "slow_servers",
    "fast_errors",
    "release",
    "drain",
    "discovery_down",
    "counter_down",
    "counter_spoilt",
    "resets",
    "reload",
]
NEEDS_PART = {
    "gateways_killed",
    "gateways_stopped",
    "rolling_restart",
    "upgrade",
    "servers_lost",
    "slow_servers",
    "fast_errors",
    "release",
    "drain",
}


class Trouble(Struct, forbid_unknown_fields=True):
    kind: Kind
    at_s: Annotated[NonNegative, about("s from the start")]
    len_s: Annotated[NonNegative, about("s that it lasts")] = 5
    part: Annotated[Share, about("share of the gateways or servers; at least one")] = 0.3
    size: Annotated[
        NonNegative, about("share of traffic, of failures, of speed lost, of answers: by kind")
    ] = 0.5
    keys: Annotated[int, Meta(ge=1), about("members, for hot_member")] = 1
    zone: Annotated[str, about("its name, for zone_cut and zone_lost; empty: the last one")] = ""
    server: Annotated[str, about("one server's name in place of a part, as s-4")] = ""
    step_s: Annotated[NonNegative, about("s between steps, for release and rolling_restart")] = 0.5
    set: Annotated[
        dict[str, Any],
        about("settings that a reload changes: max_attempts; rate, burst: times each"),
    ] = msgspec.field(default_factory=dict)


class Scenario(Struct, forbid_unknown_fields=True):
    name: str
    title: str = ""
    length_s: Annotated[Positive, about("s")] = 45
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    server: ServerModel = msgspec.field(default_factory=ServerModel)
    counter: CounterModel = msgspec.field(default_factory=CounterModel)
    discovery: DiscoveryModel = msgspec.field(default_factory=DiscoveryModel)
    network: NetworkModel = msgspec.field(default_factory=NetworkModel)
    clients: ClientModel = msgspec.field(default_factory=ClientModel)
    traffic: Traffic = msgspec.field(default_factory=Traffic)
    limits: Limits = msgspec.field(default_factory=Limits)
    rules: Rules = msgspec.field(default_factory=Rules)
    prices: Prices = msgspec.field(default_factory=Prices)
    goal: Goal = msgspec.field(default_factory=Goal)
    plan: list[PlanModel] = msgspec.field(
        default_factory=lambda: [
            PlanModel("basis", 0.66, [0.86, 1.5], [3.3, 5.9], 1.3, 0.0, 0.6, [0.5, 1], [1.6, 2.6]),
            PlanModel("verein", 0.34, [5.7, 9.9], [1.8, 3.0], 1.4, 0.2, 0.0, [0.5, 1]),
        ]
    )
    class_: list[ClassModel] = msgspec.field(
        name="class", default_factory=lambda: [ClassModel("profile")]
    )
    trouble: list[Trouble] = msgspec.field(default_factory=list)


def _ranges(struct: Struct, where: str = "") -> Iterator[tuple[str, list[float]]]:
    for field in msgspec.structs.fields(struct):
        value, key = getattr(struct, field.name), join_key(where, field.encode_name)
        if isinstance(value, Struct):
            yield from _ranges(value, key)
        elif isinstance(value, list) and value and isinstance(value[0], Struct):
            for number, entry in enumerate(value):
                yield from _ranges(entry, f"{key}[{number}]")
        elif field.name not in ("zones",) and isinstance(value, list) and len(value) == 2:
            yield key, value


def _crossed(s: Scenario) -> Iterator[str]:
    """What no single key shows."""
    for key, (least, most) in _ranges(s):
        if least > most:
            yield f"{key}: found {[least, most]}: the least comes first"
    if len(set(s.fleet.zones)) < len(s.fleet.zones):
        yield f"fleet.zones: found {s.fleet.zones}: a name stands twice"
    for what, shares in (
        ("plan", [p.share for p in s.plan]),
        ("class", [c.share for c in s.class_]),
    ):
        if not shares or abs(sum(shares) - 1) > 1e-6:
            yield f"{what}: the shares make {sum(shares):g}, 1 is wanted"
    names = {f"s-{n}" for n in range(s.fleet.servers)}
    for number, trouble in enumerate(s.trouble):
        where = f"trouble[{number}]"
        if trouble.at_s + trouble.len_s > s.length_s:
            end = trouble.at_s + trouble.len_s
            yield f"{where}.len_s: ends at {end:g} s, after the run's {s.length_s:g} s"
        if trouble.zone and trouble.zone not in s.fleet.zones:
            yield f"{where}.zone: {trouble.zone!r} is not there; fleet.zones has {s.fleet.zones}"
        if trouble.server and trouble.server not in names:
            yield (
                f"{where}.server: {trouble.server!r} is not there; s-0 to "
                f"s-{s.fleet.servers - 1} are"
            )
        if trouble.kind in NEEDS_PART and trouble.part == 0 and not trouble.server:
            yield f"{where}.part: 0 leaves nothing for {trouble.kind} to happen to"
        for key, value in trouble.set.items():
            if key not in ("max_attempts", "rate", "burst"):
                yield f"{where}.set.{key}: not known; max_attempts, rate and burst are"
            elif isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
                yield f"{where}.set.{key}: found {value!r}, a number over 0 is wanted"


def checked(text: str, where: str, kind: type[S], crossed: Callable[[S], Iterable[str]]) -> S:
    """A TOML text as a struct; `crossed` says what no single key shows. Raises ScenarioError with
    every error at once."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError([f"{where}: {error}"]) from None
    errors: list[str] = []
    found: S | UnsetType = convert(raw, kind, "", errors)
    if isinstance(found, kind):
        errors += crossed(found)
    if errors or not isinstance(found, kind):
        raise ScenarioError([f"{where}: {e}" for e in errors])
    return found


def text_at(path: Path, name: str, known: list[str]) -> str:
    """The file's text; ScenarioError says which known name may be meant."""
    try:
        return path.read_text()
    except OSError as error:
        near = difflib.get_close_matches(name, known, 1)
        hint = f"; {near[0]!r} is meant?" if near else ""
        raise ScenarioError([f"{name}: {error.strerror or error}{hint}"]) from None


def parse(text: str, where: str) -> Scenario:
    """Raises ScenarioError with every error at once."""
    return checked(text, where, Scenario, _crossed)


def path_of(name: str) -> Path:
    path = SHIPPED / f"{name}.toml"
    return path if path.is_file() else Path(name)


def load(name: str) -> Scenario:
    """A shipped scenario by its name, or a file by its path."""
    path = path_of(name)
    return parse(text_at(path, name, shipped()), path.name)


def shipped() -> list[str]:
    return sorted(path.stem for path in SHIPPED.glob("*.toml"))


def parameters(kind: type[Struct] = Scenario) -> Iterator[tuple[str, str, str]]:
    """Key, default, and what its description says, for every parameter that has one."""
    for key, _, default, text in described_keys(kind):
        yield key, "-" if default is msgspec.NODEFAULT else str(default), text
