"""The state of the list service: each server with the version of its last change. Free of I/O:
takes write requests, returns records.

A record holds everything that one version changed; applying all records in order gives the state.
Each write increments the version, and no version is used twice. A promotion starts a new epoch and
skips the versions that the deposed leader may still assign."""

from __future__ import annotations

import re
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, field, replace
from hashlib import sha256
from typing import Any

EpochSpan = tuple[int, int, int]  # number of an epoch, its first version, its last version
# id of a request, its digest, the version answered, the version of the record that holds it
CompletedWrite = tuple[str, str, int, int]

# versions that a promotion skips: more than a deposed leader can assign
PROMOTION_VERSION_GAP = 1 << 32
MAX_SERVERS = 10_000
MAX_PAST_EPOCHS = 64
NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
HOST_PATTERN = re.compile(r"[A-Za-z0-9._:\[\]-]{1,255}")
LABEL_PATTERN = re.compile(r"[\x21-\x7e]{0,64}")


class RejectedError(Exception):
    """A rejected request, with its HTTP status and the fields of the answer."""

    def __init__(self, status: int, error: str, **details: Any) -> None:
        super().__init__(error)
        self.status, self.answer = status, {"error": error, **details}


# What decoding raises for values of the wrong type, range or length.
DECODING_ERRORS = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError)


class InvalidDataError(Exception):
    """Data, from disk or from a leader, that is malformed or inconsistent with the state."""


@dataclass(frozen=True, slots=True)
class Server:
    """One registered server."""

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

    def listing_entry(self, extended: bool) -> dict[str, Any]:
        """Returns the server's entry in a list; `extended` readers also get its version."""
        entry = asdict(self)
        del entry["lease_ms"]
        if not extended:
            del entry["version"]
        return entry


def _is_integer_in(value: Any, minimum: int, maximum: int) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and minimum <= value <= maximum


def _is_address(value: Any) -> bool:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    valid = HOST_PATTERN.fullmatch(host) and port.isascii() and port.isdecimal() and len(port) <= 5
    return bool(valid) and 0 < int(port) < 65536


def parse_registration(
    name: str, body: Mapping[str, Any], lease_ms_range: tuple[int, int]
) -> Server:
    """Checks the body of a registration; `lease_ms_range` bounds the lease's TTL."""
    if not NAME_PATTERN.fullmatch(name):
        raise RejectedError(400, "name: 1 to 64 of letters, digits, '.', '_' and '-'")
    unknown = sorted(
        body.keys() - {"address", "zone", "type", "group", "weight", "since_ms", "lease_ms"}
    )
    if unknown:
        raise RejectedError(400, f"{unknown[0]}: unknown key")
    weight = body.get("weight", 1.0)
    checks = {
        "address": _is_address(body.get("address")),
        "zone": isinstance(body.get("zone", ""), str)
        and bool(LABEL_PATTERN.fullmatch(body.get("zone", ""))),
        "type": isinstance(body.get("type", ""), str)
        and bool(LABEL_PATTERN.fullmatch(body.get("type", ""))),
        "group": _is_integer_in(body.get("group", 0), 0, 1 << 31),
        "weight": isinstance(weight, int | float)
        and not isinstance(weight, bool)
        and 0 < weight <= 1e6,
        "since_ms": _is_integer_in(body.get("since_ms", 0), 0, 1 << 53),
        "lease_ms": _is_integer_in(body.get("lease_ms"), *lease_ms_range),
    }
    if invalid := [key for key, valid in checks.items() if not valid]:
        allowed = (
            f" (from {lease_ms_range[0]} to {lease_ms_range[1]})"
            if invalid[0] == "lease_ms"
            else ""
        )
        raise RejectedError(400, f"{invalid[0]}: missing or invalid{allowed}")
    return Server(**{**body, "name": name, "weight": float(weight)})


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """A write. `id` makes it idempotent; `expected` is the version that the server must be at
    (0: not registered)."""

    kind: str  # register, drain, remove
    name: str
    server: Server | None = None
    id: str = ""
    expected: int | None = None

    def digest(self) -> str:
        """Returns a hash of the request, to detect an id that is reused for another request."""
        fields = asdict(self.server) if self.server else {}
        canonical = f"{self.kind} {self.name} {self.expected} {sorted(fields.items())}"
        return sha256(canonical.encode()).hexdigest()[:16]


@dataclass(frozen=True, slots=True)
class Record:
    """The changes of one version, the requests behind it, and the epoch that it starts, if any."""

    index: int
    epoch: int
    servers: tuple[Server, ...] = ()
    removed: tuple[tuple[str, int], ...] = ()  # names, each with the version of its removal
    writes: tuple[CompletedWrite, ...] = ()
    past_epochs: tuple[EpochSpan, ...] | None = None  # set if this record starts an epoch

    def to_dict(self) -> dict[str, Any]:
        """Returns the record as it is written to the log and sent to followers."""
        raw: dict[str, Any] = {"i": self.index, "e": self.epoch}
        if self.servers:
            raw["set"] = [asdict(s) for s in self.servers]
        if self.removed:
            raw["gone"] = self.removed
        if self.writes:
            raw["writes"] = self.writes
        if self.past_epochs is not None:
            raw["spans"] = self.past_epochs
        return raw


def decode_record(raw: Any) -> Record:
    """Decodes what `Record.to_dict` returned; raises InvalidDataError if it is malformed."""
    try:
        return Record(
            int(raw["i"]),
            int(raw["e"]),
            tuple(Server(**s) for s in raw.get("set", ())),
            tuple((str(n), int(v)) for n, v in raw.get("gone", ())),
            tuple(
                (str(id), str(digest), int(version), int(index))
                for id, digest, version, index in raw.get("writes", ())
            ),
            tuple((int(a), int(b), int(c)) for a, b, c in raw["spans"]) if "spans" in raw else None,
        )
    except DECODING_ERRORS as error:
        raise InvalidDataError(f"malformed record: {error!r}") from None


@dataclass(slots=True)
class State:
    """The registered servers, and what readers and repeated requests need of the past."""

    # Drawn for each new data folder. Versions of different lineages cannot be compared.
    lineage: str
    epoch: int = 1
    index: int = 0
    compacted_index: int = 0  # changes after an older version than this are not known
    history_limit: int = 1024  # removals and requests that are kept
    servers: dict[str, Server] = field(default_factory=dict)
    # by name: the version of the removal
    removed_versions: OrderedDict[str, int] = field(default_factory=OrderedDict)
    writes: OrderedDict[str, CompletedWrite] = field(default_factory=OrderedDict)  # by request id
    past_epochs: tuple[EpochSpan, ...] = ()

    def copy(self) -> State:
        """Returns a copy that can be changed without changing this state."""
        return replace(
            self,
            servers=dict(self.servers),
            removed_versions=self.removed_versions.copy(),
            writes=self.writes.copy(),
        )

    @property
    def epoch_start(self) -> int:
        """The first version of the current epoch."""
        return self.past_epochs[-1][2] + PROMOTION_VERSION_GAP if self.past_epochs else 0

    # Writes.

    def decide(self, request: WriteRequest) -> tuple[Record | None, int]:
        """Returns the record that carries out the request (None: nothing changes) and the version
        to answer with."""
        if request.id and (completed := self.writes.get(request.id)):
            if completed[1] != request.digest():
                raise RejectedError(409, "request id already used for another request")
            return None, completed[2]
        current = self.servers.get(request.name)
        version = current.version if current else 0
        if request.expected is not None and request.expected != version:
            raise RejectedError(409, "conflict: the server is at another version", version=version)
        if request.kind == "register":
            assert request.server
            changed: Server | None = self._register(current, request.server)
        elif current is None:
            raise RejectedError(404, "no such server")
        else:
            changed = replace(current, status="draining") if request.kind == "drain" else None
        index = self.index + 1
        unchanged = changed is not None and changed == current
        if unchanged and not request.id:
            return None, version
        answered_version = version if unchanged else index
        writes = ((request.id, request.digest(), answered_version, index),) if request.id else ()
        if unchanged:
            return Record(index, self.epoch, writes=writes), answered_version
        if changed:
            return Record(
                index, self.epoch, (replace(changed, version=index),), writes=writes
            ), answered_version
        return Record(
            index, self.epoch, removed=((request.name, index),), writes=writes
        ), answered_version

    def _register(self, current: Server | None, requested: Server) -> Server:
        if current is None:
            if len(self.servers) >= MAX_SERVERS:
                raise RejectedError(503, "the list is full")
            return requested
        if requested.since_ms < current.since_ms:
            raise RejectedError(
                409, "since_ms is older than the registered start", version=current.version
            )
        same_instance = (
            requested.since_ms == current.since_ms and requested.address == current.address
        )
        # Registering again does not end a drain that readers know of; a restart does.
        return replace(
            requested, status=current.status if same_instance else "up", version=current.version
        )

    def promotion_record(self) -> Record:
        """Returns the record that starts the next epoch."""
        past_epochs = (*self.past_epochs, (self.epoch, self.epoch_start, self.index))[
            -MAX_PAST_EPOCHS:
        ]
        return Record(self.index + PROMOTION_VERSION_GAP, self.epoch + 1, past_epochs=past_epochs)

    def apply(self, record: Record) -> None:
        """Applies a record that is newer than the state."""
        if record.index <= self.index or record.epoch < self.epoch:
            raise InvalidDataError(
                f"version {record.index} of epoch {record.epoch} after {self.index} of {self.epoch}"
            )
        if record.epoch > self.epoch and record.past_epochs is None:
            raise InvalidDataError(f"epoch {record.epoch} without the spans of past epochs")
        if record.past_epochs is not None:
            self.epoch, self.past_epochs = record.epoch, record.past_epochs
        self.index = record.index
        for name, version in record.removed:  # before the sets: a server may be registered again
            self.servers.pop(name, None)
            self.removed_versions[name] = version
            self.removed_versions.move_to_end(name)
        for server in record.servers:
            self.servers[server.name] = server
        for write in record.writes:
            self.writes[write[0]] = write
        while len(self.removed_versions) > self.history_limit:
            _, self.compacted_index = self.removed_versions.popitem(last=False)
        while len(self.writes) > self.history_limit:
            self.writes.popitem(last=False)

    # Reads.

    def knows_changes_since(self, since: int, epoch: int | None) -> bool:
        """Returns whether all changes after version `since` of that epoch are known."""
        if not (self.compacted_index <= since <= self.index) or since == 0:
            return False
        for number, _, last in self.past_epochs:
            if since <= last:
                return epoch is None or epoch == number
        return since >= self.epoch_start and (epoch is None or epoch == self.epoch)

    def changes_since(self, since: int) -> tuple[list[Server], list[str], list[str]]:
        """Returns what changed after version `since`: the servers set, the names removed, and the
        names removed and registered again."""
        names = [name for name, version in self.removed_versions.items() if version > since]
        servers = sorted(
            (s for s in self.servers.values() if s.version > since), key=lambda s: s.version
        )
        return (
            servers,
            [n for n in names if n not in self.servers],
            [n for n in names if n in self.servers],
        )

    # The complete state, for the snapshot and for followers.

    def dump(self) -> dict[str, Any]:
        """Returns the state as it is written to the snapshot and sent to followers."""
        return {
            "lineage": self.lineage,
            "epoch": self.epoch,
            "index": self.index,
            "floor": self.compacted_index,
            "servers": [asdict(s) for s in self.servers.values()],
            "gone": list(self.removed_versions.items()),
            "spans": self.past_epochs,
            "writes": list(self.writes.values()),
        }


def decode_state(raw: Any, history_limit: int) -> State:
    """Decodes what `State.dump` returned; raises InvalidDataError if it is malformed."""
    try:
        pairs: Iterable[Any] = raw["gone"]
        state = State(
            str(raw["lineage"]),
            int(raw["epoch"]),
            int(raw["index"]),
            int(raw["floor"]),
            history_limit,
            {s["name"]: Server(**s) for s in raw["servers"]},
            OrderedDict((str(n), int(v)) for n, v in pairs),
            OrderedDict(
                (str(w[0]), (str(w[0]), str(w[1]), int(w[2]), int(w[3]))) for w in raw["writes"]
            ),
            tuple((int(a), int(b), int(c)) for a, b, c in raw["spans"]),
        )
    except DECODING_ERRORS as error:
        raise InvalidDataError(f"malformed state: {error!r}") from None
    while len(state.removed_versions) > history_limit:  # written with a larger limit
        _, state.compacted_index = state.removed_versions.popitem(last=False)
    return state
