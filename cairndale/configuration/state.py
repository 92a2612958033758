"""The state that the core agrees on: the configuration in force and the zones that are evacuated.

A command is applied alike at every member of the core; what it leads to depends on the state and
the command alone."""

from __future__ import annotations

import json
import zlib
from collections.abc import Generator, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from cairndale.configuration import serialization
from cairndale.configuration.delta import DeltaHistory, compare_steps
from cairndale.configuration.validation import TABLES

# accepted calls that are remembered, so that one sent again is known: a day's changes
MAX_IDEMPOTENCY_RECORDS = 20_000
MAX_EVACUATION_CALLS = 4_096  # calls for zones that are
ITEMS_PER_STEP = 4_096  # items that one step goes through ...
ENCODED_ITEMS_PER_STEP = 512  # ... and makes text of, for ingresses
REJECTED = -1  # in place of a gen: the call was refused, for good

# The state's attributes in the order in which they are stored, and the key of each in the stored
# JSON. The keys are a format: members of older versions read and write them (docs/state.md).
STORED_KEYS = {
    "gen": "gen",
    "content": "content",
    "evacuated": "evacuated",
    "latest_evacuation_orders": "moves",
    "version": "version",
    "edges": "edges",
    "idempotency_records": "known",
    "evicted_gen": "forgotten",
    "evacuation_calls": "calls",
    "system_name": "system",
}
_ATTRIBUTES = {key: name for name, key in STORED_KEYS.items()}

_text = json.JSONEncoder(separators=(",", ":")).encode


class Verb(Enum):
    REPLACE = "replace"
    UPDATE = "update"
    EVACUATE = "evacuate"
    RESTORE = "take back"
    ENROL = "enrol"
    REJECT = "refuse"
    NAME = "name"


@dataclass(frozen=True, slots=True)
class Command:
    verb: Verb
    # of the call as it came, or the order that it belongs to, or the system's name
    digest: str = ""
    body: dict[str, Any] = field(default_factory=dict)
    zone: str = ""
    added_nodes: tuple[str, ...] = ()  # of ingresses that may hold leases from here on ...
    removed_nodes: tuple[str, ...] = ()  # ... and that hold none any longer
    call_id: str = ""  # the id of a call for a zone, given where it came in

    def to_dict(self) -> dict[str, Any]:
        return {
            "verb": self.verb.value,
            "digest": self.digest,
            "order": self.body,
            "zone": self.zone,
            "names": list(self.added_nodes),
            "gone": list(self.removed_nodes),
            "call": self.call_id,
        }

    def encode(self) -> bytes:
        return zlib.compress(json.dumps(self.to_dict(), separators=(",", ":")).encode(), 6)

    @classmethod
    def decode(cls, data: bytes) -> Command:
        return cls.from_dict(json.loads(zlib.decompress(data)))

    @classmethod
    def from_dict(cls, raw: dict[str, Any]) -> Command:
        return cls(
            Verb(raw["verb"]),
            raw["digest"],
            raw["order"],
            raw["zone"],
            tuple(raw["names"]),
            tuple(raw["gone"]),
            raw.get("call", ""),
        )


def updated_content_steps(
    content: dict[str, Any], order: dict[str, Any]
) -> Generator[None, None, dict[str, Any]]:
    """The configuration with items replaced by name, added behind, and removed; in steps."""
    made = {**content, "gen": order["gen"]}
    for table in TABLES:
        put: dict[str, Any] = {}
        for chunk in _chunks(order.get("upsert", {}).get(table, ())):
            put |= {item["name"]: item for item in chunk}
            yield
        out = set(order.get("remove", {}).get(table, ()))
        if not put and not out:
            continue
        out -= put.keys()
        kept: list[Any] = []
        for chunk in _chunks(content.get(table, [])):
            kept += [put.pop(item["name"], item) for item in chunk if item["name"] not in out]
            yield
        made[table] = kept + list(put.values())
    return made


def _encode_content_steps(content: dict[str, Any]) -> Generator[None, None, bytes]:
    """JSON, zlib; in steps."""
    packed, made, begin = zlib.compressobj(6), list[bytes](), "{"
    for name, value in content.items():
        text = f"{begin}{_text(name)}:"
        if isinstance(value, list):
            text, begin = f"{text}[", ""
            for chunk in _chunks(value, ENCODED_ITEMS_PER_STEP):
                made.append(packed.compress(f"{text}{begin}{_text(chunk)[1:-1]}".encode()))
                text, begin = "", ","
                yield
            made.append(packed.compress(f"{text}]".encode()))
        else:
            made.append(packed.compress(f"{text}{_text(value)}".encode()))
        begin = ","
    return b"".join([*made, packed.compress(b"}" if content else b"{}"), packed.flush()])


def _chunks(items: Sequence[Any], many: int = 0) -> Iterator[Sequence[Any]]:
    many = many or ITEMS_PER_STEP
    for at in range(0, len(items), many):
        yield items[at : at + many]


@dataclass(slots=True)
class State:
    gen: int = 0
    content: dict[str, Any] = field(default_factory=dict)
    evacuated: dict[str, int] = field(default_factory=dict)  # zones, and by how many orders
    latest_evacuation_orders: dict[str, str] = field(
        default_factory=dict
    )  # the newest order for each zone
    version: int = 0  # counts what was applied; rises at every change
    edges: list[str] = field(
        default_factory=list
    )  # ingresses that may hold leases, whoever has the duty
    # The gen that each accepted command led to, or REJECTED, by the digest of the command.
    idempotency_records: dict[str, int] = field(default_factory=dict)
    evicted_gen: int = -1  # the newest gen of a call that was accepted and is not known any longer
    evacuation_calls: dict[str, str] = field(
        default_factory=dict
    )  # calls for zones, and the order that each belongs to
    system_name: str = ""  # its name: the first that was drawn
    # A gen, and its content as ingresses are told it.
    _encoded_content: tuple[int, bytes] = field(default=(-1, b""), compare=False, repr=False)
    _history: DeltaHistory = field(default_factory=DeltaHistory, compare=False, repr=False)

    def __post_init__(self) -> None:
        if self.evicted_gen < 0:  # stored when 256 were known, and not what was forgotten
            self.evicted_gen = (
                min(self.idempotency_records.values()) - 1
                if len(self.idempotency_records) >= 256
                else 0
            )

    def resulting_content_steps(self, command: Command) -> Generator[None, None, dict[str, Any]]:
        """The configuration that a Replace or Update would bring about; in steps."""
        if command.verb is Verb.UPDATE:
            return (yield from updated_content_steps(self.content, command.body))
        return {name: value for name, value in command.body.items() if name != "parent"}

    def encoded_content(self) -> bytes:
        """The content as ingresses are told it, made once for all of them: at once, if it was not
        told before (`encode_content_steps`)."""
        serialization.run_to_completion(self.encode_content_steps())
        return self._encoded_content[1]

    def encode_content_steps(self) -> Generator[None, None, None]:
        """Makes what ingresses are told, in steps."""
        if self._encoded_content[0] != self.gen:
            gen = self.gen
            self._encoded_content = (gen, (yield from _encode_content_steps(self.content)))

    @property
    def history(self) -> DeltaHistory:
        return self._history

    def apply(self, command: Command) -> bool:
        return serialization.run_to_completion(self.apply_steps(command))

    def apply_steps(
        self, command: Command, encodes_content: bool = False
    ) -> Generator[None, None, bool]:
        """Applies a command in steps: the state changes with the last of them.

        False if the command is void, as another change came first, or is of no interest to the
        data plane. `encodes_content`: the content for ingresses is encoded as well."""
        match command.verb:
            case Verb.REPLACE | Verb.UPDATE:
                if command.body["parent"] != self.gen or command.body["gen"] <= self.gen:
                    return False
                if command.digest in self.idempotency_records:  # it was refused: that holds
                    return False
                content, gen = (
                    (yield from self.resulting_content_steps(command)),
                    command.body["gen"],
                )
                order = command.body if command.verb is Verb.UPDATE else None
                made = (
                    (yield from compare_steps(self.content, content, order)) if self.gen else None
                )
                if encodes_content:
                    self._encoded_content = (gen, (yield from _encode_content_steps(content)))
                self.content, self.gen = content, gen
                self._history.record(made)
                self._remember(command.digest, self.gen)
            case Verb.REJECT:
                if command.digest not in self.idempotency_records:
                    self._remember(command.digest, REJECTED)
                return False
            case Verb.ENROL:
                self.edges = sorted(
                    {*self.edges, *command.added_nodes} - set(command.removed_nodes)
                )
                return False
            case Verb.NAME:
                self.system_name = self.system_name or command.digest
                return False
            case Verb.EVACUATE | Verb.RESTORE:
                if not self._is_first_call(command):
                    return False
                before = self.evacuated.get(command.zone, 0)
                orders = before + (1 if command.verb is Verb.EVACUATE else -1)
                if self.latest_evacuation_orders.get(command.zone) == command.digest or orders < 0:
                    return False
                self.latest_evacuation_orders[command.zone] = command.digest
                self.evacuated = {z: n for z, n in self.evacuated.items() if z != command.zone}
                self.evacuated |= {command.zone: orders} if orders else {}
                if before and orders:  # it stays as it is
                    return True
        self.version += 1
        return True

    def _remember(self, digest: str, gen: int) -> None:
        self.idempotency_records[digest] = gen
        while len(self.idempotency_records) > MAX_IDEMPOTENCY_RECORDS:
            self.evicted_gen = max(
                self.evicted_gen, self.idempotency_records.pop(next(iter(self.idempotency_records)))
            )

    def record_may_be_evicted(self, gen: int) -> bool:
        """It can no longer be known whether a call that is not known, for this gen, was
        accepted."""
        return gen <= self.evicted_gen

    def _is_first_call(self, command: Command) -> bool:
        """Of the calls and orders for a zone. An order has the name of its first call."""
        if command.call_id in self.evacuation_calls:
            return False  # it came by another way as well
        again = bool(command.call_id) and (
            not command.digest or command.digest in self.evacuation_calls
        )
        if command.call_id:
            self.evacuation_calls[command.call_id] = command.digest
            self.evacuation_calls.setdefault(command.digest, command.digest)
            while len(self.evacuation_calls) > MAX_EVACUATION_CALLS:
                del self.evacuation_calls[next(iter(self.evacuation_calls))]
        return not again

    def to_dict(self) -> dict[str, Any]:
        """As it is now, whatever is applied later: what is in it is replaced then, and not
        changed."""
        values = {key: getattr(self, name) for name, key in STORED_KEYS.items()}
        return {k: v.copy() if isinstance(v, dict | list) else v for k, v in values.items()}

    def encode(self) -> bytes:
        return serialization.encode(self.to_dict())

    @classmethod
    def decode(cls, data: bytes) -> State:
        """Raises FormatError."""
        return cls.from_dict(serialization.decode(data))

    @classmethod
    def from_dict(cls, raw: dict[str, Any]) -> State:
        """Raises FormatError."""
        try:
            return cls(**{_ATTRIBUTES[key]: value for key, value in raw.items()})
        except KeyError as error:
            raise serialization.FormatError(f"{error} is no key of the state") from error
        except TypeError as error:
            raise serialization.FormatError(str(error)) from error
