"""The keys of `ironledge.toml`, as msgspec structs. Values carry their units (`"250ms"`)."""

from __future__ import annotations

import math
import re
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from cairndale.ingress.cli.checked import about

TIME_UNITS_US = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
SIZE_UNITS_BYTES = {
    "B": 1,
    "KiB": 1 << 10,
    "MiB": 1 << 20,
    "GiB": 1 << 30,
    "kB": 1000,
    "MB": 10**6,
    "GB": 10**9,
}
SOURCE_KINDS = ("header", "cookie", "query", "constant")


class Duration(int):
    """Microseconds; `"250ms"` in a file."""


class Size(int):
    """Bytes; `"64MiB"` in a file."""


class Address(str):
    """`HOST:PORT`."""


class Source(str):
    """Where a value is found in a request: `header:NAME`, `cookie:NAME`, `query:NAME` or
    `constant:VALUE`."""


def _quantity(value: Any, units: dict[str, int], example: str) -> int:
    match = (
        re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)", value)
        if isinstance(value, str)
        else None
    )
    if match is None or match[2] not in units:
        raise ValueError(f"expected a number with a unit, as {example!r} ({', '.join(units)})")
    quantity = float(match[1]) * units[match[2]]
    if not math.isfinite(quantity) or quantity > 2**53:
        raise ValueError(f"too large; expected a number with a unit, as {example!r}")
    return round(quantity)


def decode_hook(kind: type, value: Any) -> Any:
    """Decodes the types above for msgspec."""
    if kind is Duration:
        return Duration(_quantity(value, TIME_UNITS_US, "250ms"))
    if kind is Size:
        return Size(_quantity(value, SIZE_UNITS_BYTES, "64MiB"))
    if kind is Address:
        host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
        if not (host and colon and port.isascii() and port.isdecimal() and int(port) < 65536):
            raise ValueError("expected HOST:PORT, as '127.0.0.1:8080'")
        return Address(value)
    if kind is Source:
        source_kind, colon, name = value.partition(":") if isinstance(value, str) else ("", "", "")
        if source_kind not in SOURCE_KINDS or not name:
            raise ValueError("expected header:NAME, cookie:NAME, query:NAME or constant:VALUE")
        return Source(value)
    raise NotImplementedError(kind)


def to_builtins(value: Any) -> Any:
    """A value as it is written in a file: quantities get the largest unit that divides them."""
    if isinstance(value, Duration):
        unit = next(
            (u for u in ("h", "m", "s", "ms") if value and value % TIME_UNITS_US[u] == 0), "us"
        )
        return f"{value // TIME_UNITS_US[unit]}{unit}"
    if isinstance(value, Size):
        unit = next(
            (u for u in ("GiB", "MiB", "KiB") if value and value % SIZE_UNITS_BYTES[u] == 0), "B"
        )
        return f"{value // SIZE_UNITS_BYTES[unit]}{unit}"
    if isinstance(value, Struct):
        fields = ((f, getattr(value, f.name)) for f in msgspec.structs.fields(value))
        return {f.encode_name: to_builtins(v) for f, v in fields if v is not None}
    if isinstance(value, list):
        return [to_builtins(v) for v in value]
    if isinstance(value, dict):
        return {k: to_builtins(v) for k, v in value.items()}
    return str(value) if isinstance(value, str) else value


NonNegative = Annotated[float, Meta(ge=0)]
Positive = Annotated[float, Meta(gt=0)]
# `$` would also match before a line break at the end.
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[!-~]+(?![\s\S])")]


class Fleet(Struct, forbid_unknown_fields=True):
    """`[fleet]`: the ingresses that share quotas, and this one's place among them."""

    gateways: Annotated[
        int, Meta(ge=1, le=4096), about("number of ingresses that share these quotas and servers")
    ] = 1
    number: Annotated[int, Meta(ge=0), about("number of this ingress among them, from 0")] = 0
    zones: Annotated[list[Name], Meta(min_length=1), about("names of the zones")] = msgspec.field(
        default_factory=lambda: ["here"]
    )
    zone: Annotated[str, about("zone of this ingress; empty: the first of `zones`")] = ""


class Limits(Struct, forbid_unknown_fields=True):
    """`[limits]`: what this process may use, and how it treats attempts."""

    memory: Annotated[Size, about("memory limit of this process")] = Size(192 << 20)
    sockets: Annotated[
        int, Meta(ge=64, le=1 << 20), about("limit of its open file descriptors")
    ] = 1024
    max_open: Annotated[
        int, Meta(ge=0), about("concurrent open requests; further ones are rejected")
    ] = 20_000
    max_attempts: Annotated[
        int, Meta(ge=1, le=100), about("attempts per request, including the first")
    ] = 3
    second_copies: Annotated[
        bool,
        about(
            "whether a slow attempt is hedged by a second one, in classes that are safe to repeat"
        ),
    ] = False
    cancel: Annotated[bool, about("whether attempts that are no longer needed are cancelled")] = (
        True
    )
    connect_timeout: Annotated[
        Duration, about("timeout for establishing a connection to a server")
    ] = Duration(250_000)
    idle: Annotated[Duration, about("time after which servers close an idle connection")] = (
        Duration(15_000_000)
    )
    retry_after: Annotated[bool, about("whether rejected clients are told when to retry")] = True
    max_retry_after: Annotated[Duration, about("the longest wait that clients are told")] = (
        Duration(1_000_000)
    )


class Server(Struct, forbid_unknown_fields=True):
    """`[[server]]`: a server that needs no discovery."""

    name: Annotated[Name, about("name of the server; the same at every ingress")]
    address: Annotated[Address, about("address at which it listens")]
    zone: Annotated[str, about("zone of the server; empty: the first of `fleet.zones`")] = ""
    weight: Annotated[
        Positive, about("its share of the traffic, relative to the other servers' weights")
    ] = 1.0


class RequestClass(Struct, forbid_unknown_fields=True):
    """`[[class]]`: requests of one kind, recognized by their path."""

    name: Annotated[Name, about("name of the request class")]
    path: Annotated[
        str,
        Meta(pattern="^/"),
        about("prefix of its requests' paths; the longest matching prefix wins"),
    ] = "/"
    aim: Annotated[Duration, about("latency target")] = Duration(1_000_000)
    deadline: Annotated[Duration, about("the longest that a client waits for an answer")] = (
        Duration(10_000_000)
    )
    repeat: Annotated[
        Literal["safe", "unsafe"],
        about(
            "safe: a request may be sent again although an earlier attempt may have been executed"
        ),
    ] = "unsafe"


class Plan(Struct, forbid_unknown_fields=True):
    """`[[plan]]`: the quota and rate limit of each customer on this plan."""

    name: Annotated[Name, about("name of the plan")]
    rate: Annotated[
        NonNegative,
        about("quota units per second for each customer, over all ingresses; 0: no quota"),
    ]
    burst: Annotated[
        NonNegative, about("quota units that may be used at once: the size of the token bucket")
    ]
    at_once: Annotated[int, Meta(ge=0), about("concurrent requests per customer; 0: no limit")] = 0
    ceiling_rate: Annotated[
        NonNegative, about("hard rate limit, in quota units per second; 0: none")
    ] = 0.0
    ceiling_burst: Annotated[
        NonNegative, about("burst size of the hard rate limit, in quota units")
    ] = 0.0


class RequestSources(Struct, forbid_unknown_fields=True):
    """`[request]`: where the properties of a request are found in it."""

    customer: Annotated[
        Source, about("source of the customer's name; a request without it belongs to `anonymous`")
    ] = Source("header:X-Api-Key")
    plan: Annotated[
        Source, about("source of the plan's name, for customers that `customers` does not list")
    ] = Source("constant:default")
    timeout: Annotated[
        Source, about("source of the client's timeout (as 500m or 500000u, or a constant as 5s)")
    ] = Source("header:Request-Timeout")
    units: Annotated[Source, about("source of the request's cost in quota units")] = Source(
        "constant:1"
    )


class Discovery(Struct, forbid_unknown_fields=True):
    """`[discovery]`: the service that lists the servers."""

    address: Annotated[
        Address, about("address of the platform's discovery, or of the list service's `reads`")
    ]
    more: Annotated[list[Address], about("further addresses of the list service")] = msgspec.field(
        default_factory=list
    )
    shrink: Annotated[
        float,
        Meta(ge=0, le=1),
        about("largest share of the servers that one endpoint list may remove at once"),
    ] = 0.5
    hold: Annotated[Duration, about("how long servers missing beyond that share are kept")] = (
        Duration(60_000_000)
    )


class Counter(Struct, forbid_unknown_fields=True):
    """`[counter]`: the shared counter of quota units."""

    address: Annotated[
        Address,
        about(
            "address of the counter that all ingresses share; "
            "without it, quotas apply to this ingress alone"
        ),
    ]
    timeout: Annotated[Duration, about("timeout of a call")] = Duration(30_000)


class Pool(Struct, forbid_unknown_fields=True):
    """`[pool]`: the connection pools to the servers."""

    age: Annotated[Duration, about("maximum age of a connection")] = Duration(600_000_000)
    requests: Annotated[int, Meta(ge=1), about("maximum number of requests on a connection")] = (
        10_000
    )
    queue: Annotated[int, Meta(ge=0, le=4096), about("attempts that may wait for one server")] = 64
    warm: Annotated[int, Meta(ge=0, le=64), about("connections opened in advance; 0: none")] = 0
    server_share: Annotated[
        float,
        Meta(ge=0.05, le=0.6),
        about("share of the descriptors that is reserved for connections to servers"),
    ] = 0.3


Level = Literal["debug", "info", "warning", "error"]


class Log(Struct, forbid_unknown_fields=True):
    """`[log]`: structured logs."""

    form: Annotated[Literal["text", "json"], about("key=value for people, or JSON lines")] = "text"
    level: Annotated[Level, about("lowest level of the events that are written")] = "info"
    levels: Annotated[
        dict[str, Level], about('levels of single parts, as `"net.discovery" = "warning"`')
    ] = msgspec.field(default_factory=dict)
    file: Annotated[str, about("log file, which SIGUSR1 reopens; empty: standard error")] = ""
    access: Annotated[
        float, Meta(ge=0, le=1), about("share of the requests that get a line in the access log")
    ] = 0.0
    customers: Annotated[
        bool, about("whether the access log has customers in clear text; otherwise they are hashed")
    ] = False
    queue: Annotated[
        int,
        Meta(ge=1, le=10**6),
        about("events that may wait to be written; further ones are dropped"),
    ] = 10_000


class MetricsOptions(Struct, forbid_unknown_fields=True):
    """`[metrics]`: the metrics endpoint."""

    on: Annotated[
        bool, about("whether the operators' address serves `GET /metrics`, in Prometheus' format")
    ] = False


class Config(Struct, forbid_unknown_fields=True):
    """The whole file."""

    listen: Annotated[Address, about("address at which clients connect")] = Address(
        "127.0.0.1:8080"
    )
    ops: Annotated[
        Address | None, about("address for operators' calls; without it there are none")
    ] = None
    name: Annotated[Name, about("name of this ingress")] = "ironledge"
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    limits: Limits = msgspec.field(default_factory=Limits)
    request: RequestSources = msgspec.field(default_factory=RequestSources)
    discovery: Discovery | None = None
    counter: Counter | None = None
    pool: Pool = msgspec.field(default_factory=Pool)
    log: Log = msgspec.field(default_factory=Log)
    metrics: MetricsOptions = msgspec.field(default_factory=MetricsOptions)
    server: list[Server] = msgspec.field(default_factory=list)
    class_: list[RequestClass] = msgspec.field(
        name="class", default_factory=lambda: [RequestClass("all")]
    )
    plan: list[Plan] = msgspec.field(default_factory=lambda: [Plan("default", 10.0, 20.0)])
    customers: Annotated[
        dict[str, str], about("plan of each listed customer, by the customer's name in a request")
    ] = msgspec.field(default_factory=dict)
