"""What the list service knows: every server with the version of its last change. Pure: calls in,
records out.

A record holds all that one version changed, so that a state is its records applied in order.
Versions grow by one and are never used again; a promotion raises the epoch and leaps over what a
deposed leader may give."""

from __future__ import annotations

import re
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, field, replace
from hashlib import sha256
from typing import Any

Span = tuple[int, int, int]  # an epoch: its number, its first version, its last
# a call: its id, its digest, the version answered, the one it is in
Write = tuple[str, str, int, int]

LEAP = 1 << 32  # versions that a promotion passes over: more than a deposed leader can give
MAX_SERVERS = 10_000
MAX_SPANS = 64
NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
HOST = re.compile(r"[A-Za-z0-9._:\[\]-]{1,255}")
WORD = re.compile(r"[\x21-\x7e]{0,64}")


class Refused(Exception):
    """A call that changes nothing, with the status that tells why and what the answer holds."""

    def __init__(self, status: int, error: str, **more: Any) -> None:
        super().__init__(error)
        self.status, self.answer = status, {"error": error, **more}


class Broken(Exception):
    """Data that no service wrote like this."""


@dataclass(frozen=True, slots=True)
class Server:
    name: str
    address: str
    zone: str = ""
    type: str = ""
    group: int = 0
    status: str = "up"
    weight: float = 1.0
    since_ms: int = 0
    lease_ms: int = 0
    version: int = 0

    def listed(self, extended: bool) -> dict[str, Any]:
        """As discovery names it; `extended` readers also get what older ones would ignore."""
        raw = asdict(self)
        del raw["lease_ms"]
        if not extended:
            del raw["version"]
        return raw


def _whole(value: Any, least: int, most: int) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and least <= value <= most


def _address(value: Any) -> bool:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    sound = HOST.fullmatch(host) and port.isascii() and port.isdecimal() and len(port) <= 5
    return bool(sound) and 0 < int(port) < 65536


def server_from(name: str, body: Mapping[str, Any], leases: tuple[int, int]) -> Server:
    """A registration, checked as a whole: `body` as it came, `leases` the terms allowed."""
    if not NAME.fullmatch(name):
        raise Refused(400, "name: 1 to 64 of letters, digits, '.', '_' and '-'")
    wrong = sorted(
        body.keys() - {"address", "zone", "type", "group", "weight", "since_ms", "lease_ms"}
    )
    if wrong:
        raise Refused(400, f"{wrong[0]}: not known here")
    weight = body.get("weight", 1.0)
    checks = {
        "address": _address(body.get("address")),
        "zone": isinstance(body.get("zone", ""), str)
        and bool(WORD.fullmatch(body.get("zone", ""))),
        "type": isinstance(body.get("type", ""), str)
        and bool(WORD.fullmatch(body.get("type", ""))),
        "group": _whole(body.get("group", 0), 0, 1 << 31),
        "weight": isinstance(weight, int | float)
        and not isinstance(weight, bool)
        and 0 < weight <= 1e6,
        "since_ms": _whole(body.get("since_ms", 0), 0, 1 << 53),
        "lease_ms": _whole(body.get("lease_ms"), *leases),
    }
    if bad := [key for key, sound in checks.items() if not sound]:
        allowed = f" (from {leases[0]} to {leases[1]})" if bad[0] == "lease_ms" else ""
        raise Refused(400, f"{bad[0]}: missing or not sound{allowed}")
    return Server(**{**body, "name": name, "weight": float(weight)})


@dataclass(frozen=True, slots=True)
class Call:
    """A write. `id` makes it idempotent; `expected` is the version the server must have (0:
    none)."""

    kind: str  # register, drain, remove
    name: str
    server: Server | None = None
    id: str = ""
    expected: int | None = None

    def digest(self) -> str:
        fields = asdict(self.server) if self.server else {}
        told = f"{self.kind} {self.name} {self.expected} {sorted(fields.items())}"
        return sha256(told.encode()).hexdigest()[:16]


@dataclass(frozen=True, slots=True)
class Record:
    """One version: what it set and removed, which call asked for it, and the epoch it begins, if
    any."""

    index: int
    epoch: int
    servers: tuple[Server, ...] = ()
    removed: tuple[tuple[str, int], ...] = ()  # with the version that did so
    writes: tuple[Write, ...] = ()
    spans: tuple[Span, ...] | None = None  # the epochs past, where this record is of a new one

    def raw(self) -> dict[str, Any]:
        raw: dict[str, Any] = {"i": self.index, "e": self.epoch}
        if self.servers:
            raw["set"] = [asdict(s) for s in self.servers]
        if self.removed:
            raw["gone"] = self.removed
        if self.writes:
            raw["writes"] = self.writes
        if self.spans is not None:
            raw["spans"] = self.spans
        return raw


def record_from(raw: Any) -> Record:
    try:
        return Record(
            int(raw["i"]),
            int(raw["e"]),
            tuple(Server(**s) for s in raw.get("set", ())),
            tuple((str(n), int(v)) for n, v in raw.get("gone", ())),
            tuple(
                (str(id), str(digest), int(v), int(at))
                for id, digest, v, at in raw.get("writes", ())
            ),
            tuple((int(a), int(b), int(c)) for a, b, c in raw["spans"]) if "spans" in raw else None,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise Broken(f"a record that cannot be read: {error!r}") from None


@dataclass(slots=True)
class State:
    lineage: str  # one for each data folder ever begun: versions of two cannot be compared
    epoch: int = 1
    index: int = 0
    floor: int = 0  # what has changed since an older version is no longer known
    history: int = 1024  # removals and writes that are remembered
    servers: dict[str, Server] = field(default_factory=dict)
    # name: the version that removed it
    gone: OrderedDict[str, int] = field(default_factory=OrderedDict)
    writes: OrderedDict[str, Write] = field(default_factory=OrderedDict)  # by id
    spans: tuple[Span, ...] = ()  # the epochs past

    def copy(self) -> State:
        return replace(
            self, servers=dict(self.servers), gone=self.gone.copy(), writes=self.writes.copy()
        )

    @property
    def begun(self) -> int:
        """The first version of this epoch."""
        return self.spans[-1][2] + LEAP if self.spans else 0

    # Writes.

    def decide(self, call: Call) -> tuple[Record | None, int]:
        """The record that carries the call out (None: nothing changes) and the version to answer
        with."""
        if call.id and (done := self.writes.get(call.id)):
            if done[1] != call.digest():
                raise Refused(409, "this id stands for another call")
            return None, done[2]
        held = self.servers.get(call.name)
        version = held.version if held else 0
        if call.expected is not None and call.expected != version:
            raise Refused(409, "conflict: another version is held", version=version)
        if call.kind == "register":
            assert call.server
            changed: Server | None = self._register(held, call.server)
        elif held is None:
            raise Refused(404, "no such server")
        else:
            changed = replace(held, status="draining") if call.kind == "drain" else None
        index = self.index + 1
        same = changed is not None and changed == held
        if same and not call.id:
            return None, version
        answered = version if same else index
        writes = ((call.id, call.digest(), answered, index),) if call.id else ()
        if same:
            return Record(index, self.epoch, writes=writes), answered
        if changed:
            return Record(
                index, self.epoch, (replace(changed, version=index),), writes=writes
            ), answered
        return Record(index, self.epoch, removed=((call.name, index),), writes=writes), answered

    def _register(self, held: Server | None, wanted: Server) -> Server:
        if held is None:
            if len(self.servers) >= MAX_SERVERS:
                raise Refused(503, "the list is full")
            return wanted
        if wanted.since_ms < held.since_ms:
            raise Refused(409, "an older start than the one held", version=held.version)
        again = wanted.since_ms == held.since_ms and wanted.address == held.address
        # Who drains goes on draining until it has started anew: a drain that was told holds.
        return replace(wanted, status=held.status if again else "up", version=held.version)

    def promoted(self) -> Record:
        spans = (*self.spans, (self.epoch, self.begun, self.index))[-MAX_SPANS:]
        return Record(self.index + LEAP, self.epoch + 1, spans=spans)

    def apply(self, record: Record) -> None:
        if record.index <= self.index or record.epoch < self.epoch:
            raise Broken(
                f"version {record.index} of epoch {record.epoch} after {self.index} of {self.epoch}"
            )
        if record.epoch > self.epoch and record.spans is None:
            raise Broken(f"epoch {record.epoch} with no beginning")
        if record.spans is not None:
            self.epoch, self.spans = record.epoch, record.spans
        self.index = record.index
        for name, version in record.removed:  # before what is set: a name may have come back
            self.servers.pop(name, None)
            self.gone[name] = version
            self.gone.move_to_end(name)
        for server in record.servers:
            self.servers[server.name] = server
        for write in record.writes:
            self.writes[write[0]] = write
        while len(self.gone) > self.history:
            _, self.floor = self.gone.popitem(last=False)
        while len(self.writes) > self.history:
            self.writes.popitem(last=False)

    # Reads.

    def knows(self, since: int, epoch: int | None) -> bool:
        """Whether what has changed since that version can be told."""
        if not (self.floor <= since <= self.index) or since == 0:
            return False
        for number, _, last in self.spans:
            if since <= last:
                return epoch is None or epoch == number
        return since >= self.begun and (epoch is None or epoch == self.epoch)

    def changes(self, since: int) -> tuple[list[Server], list[str], list[str]]:
        """Servers set since, names removed since, and names that were removed and have come back
        since."""
        names = [name for name, version in self.gone.items() if version > since]
        servers = sorted(
            (s for s in self.servers.values() if s.version > since), key=lambda s: s.version
        )
        return (
            servers,
            [n for n in names if n not in self.servers],
            [n for n in names if n in self.servers],
        )

    # As a whole: for the snapshot, and for followers.

    def dump(self) -> dict[str, Any]:
        return {
            "lineage": self.lineage,
            "epoch": self.epoch,
            "index": self.index,
            "floor": self.floor,
            "servers": [asdict(s) for s in self.servers.values()],
            "gone": list(self.gone.items()),
            "spans": self.spans,
            "writes": list(self.writes.values()),
        }


def state_from(raw: Any, history: int) -> State:
    try:
        pairs: Iterable[Any] = raw["gone"]
        state = State(
            str(raw["lineage"]),
            int(raw["epoch"]),
            int(raw["index"]),
            int(raw["floor"]),
            history,
            {s["name"]: Server(**s) for s in raw["servers"]},
            OrderedDict((str(n), int(v)) for n, v in pairs),
            OrderedDict(
                (str(w[0]), (str(w[0]), str(w[1]), int(w[2]), int(w[3]))) for w in raw["writes"]
            ),
            tuple((int(a), int(b), int(c)) for a, b, c in raw["spans"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise Broken(f"a list that cannot be read: {error!r}") from None
    while len(state.gone) > history:  # kept by a service with a longer one
        _, state.floor = state.gone.popitem(last=False)
    return state
