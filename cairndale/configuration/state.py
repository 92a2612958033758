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
from cairndale.configuration.delta import History, comparing
from cairndale.configuration.validation import TABLES

# accepted calls that are remembered, so that one sent again is known: a day's changes
KNOWN = 20_000
CALLS = 4_096  # calls for zones that are
MANY = 4_096  # items that one step goes through ...
TOLD = 512  # ... and makes text of, for ingresses
REFUSED = -1  # in place of a gen: the call was refused, for good

_text = json.JSONEncoder(separators=(",", ":")).encode


class Verb(Enum):
    REPLACE = "replace"
    UPDATE = "update"
    EVACUATE = "evacuate"
    TAKE_BACK = "take back"
    ENROL = "enrol"
    REFUSE = "refuse"
    NAME = "name"


@dataclass(frozen=True, slots=True)
class Command:
    verb: Verb
    # of the call as it came, or the order that it belongs to, or the system's name
    digest: str = ""
    order: dict[str, Any] = field(default_factory=dict)
    zone: str = ""
    names: tuple[str, ...] = ()  # of ingresses that may hold leases from here on ...
    gone: tuple[str, ...] = ()  # ... and that hold none any longer
    call: str = ""  # the id of a call for a zone, given where it came in

    def raw(self) -> dict[str, Any]:
        return {
            "verb": self.verb.value,
            "digest": self.digest,
            "order": self.order,
            "zone": self.zone,
            "names": list(self.names),
            "gone": list(self.gone),
            "call": self.call,
        }

    def out(self) -> bytes:
        return zlib.compress(json.dumps(self.raw(), separators=(",", ":")).encode(), 6)

    @classmethod
    def read(cls, data: bytes) -> Command:
        return cls.of(json.loads(zlib.decompress(data)))

    @classmethod
    def of(cls, raw: dict[str, Any]) -> Command:
        return cls(
            Verb(raw["verb"]),
            raw["digest"],
            raw["order"],
            raw["zone"],
            tuple(raw["names"]),
            tuple(raw["gone"]),
            raw.get("call", ""),
        )


def updating(
    content: dict[str, Any], order: dict[str, Any]
) -> Generator[None, None, dict[str, Any]]:
    """The configuration with items replaced by name, added behind, and removed; in steps."""
    made = {**content, "gen": order["gen"]}
    for table in TABLES:
        put: dict[str, Any] = {}
        for some in _some(order.get("upsert", {}).get(table, ())):
            put |= {item["name"]: item for item in some}
            yield
        out = set(order.get("remove", {}).get(table, ()))
        if not put and not out:
            continue
        out -= put.keys()
        kept: list[Any] = []
        for some in _some(content.get(table, [])):
            kept += [put.pop(item["name"], item) for item in some if item["name"] not in out]
            yield
        made[table] = kept + list(put.values())
    return made


def _telling(content: dict[str, Any]) -> Generator[None, None, bytes]:
    """JSON, zlib; in steps."""
    packed, made, begin = zlib.compressobj(6), list[bytes](), "{"
    for name, value in content.items():
        text = f"{begin}{_text(name)}:"
        if isinstance(value, list):
            text, begin = f"{text}[", ""
            for some in _some(value, TOLD):
                made.append(packed.compress(f"{text}{begin}{_text(some)[1:-1]}".encode()))
                text, begin = "", ","
                yield
            made.append(packed.compress(f"{text}]".encode()))
        else:
            made.append(packed.compress(f"{text}{_text(value)}".encode()))
        begin = ","
    return b"".join([*made, packed.compress(b"}" if content else b"{}"), packed.flush()])


def _some(items: Sequence[Any], many: int = 0) -> Iterator[Sequence[Any]]:
    many = many or MANY
    for at in range(0, len(items), many):
        yield items[at : at + many]


@dataclass(slots=True)
class State:
    gen: int = 0
    content: dict[str, Any] = field(default_factory=dict)
    evacuated: dict[str, int] = field(default_factory=dict)  # zones, and by how many orders
    moves: dict[str, str] = field(default_factory=dict)  # the newest order for each zone
    version: int = 0  # counts what was applied; rises at every change
    edges: list[str] = field(
        default_factory=list
    )  # ingresses that may hold leases, whoever has the duty
    known: dict[str, int] = field(default_factory=dict)  # digests of accepted calls, with their gen
    forgotten: int = -1  # the newest gen of a call that was accepted and is not known any longer
    calls: dict[str, str] = field(
        default_factory=dict
    )  # calls for zones, and the order that each belongs to
    system: str = ""  # its name: the first that was drawn
    # A gen, and its content as ingresses are told it.
    _told: tuple[int, bytes] = field(default=(-1, b""), compare=False, repr=False)
    _history: History = field(default_factory=History, compare=False, repr=False)

    def __post_init__(self) -> None:
        if self.forgotten < 0:  # stored when 256 were known, and not what was forgotten
            self.forgotten = min(self.known.values()) - 1 if len(self.known) >= 256 else 0

    def result(self, command: Command) -> Generator[None, None, dict[str, Any]]:
        """The configuration that a Replace or Update would bring about; in steps."""
        if command.verb is Verb.UPDATE:
            return (yield from updating(self.content, command.order))
        return {name: value for name, value in command.order.items() if name != "parent"}

    def told(self) -> bytes:
        """The content as ingresses are told it, made once for all of them: at once, if it was not
        told before (`tell`)."""
        serialization.at_once(self.tell())
        return self._told[1]

    def tell(self) -> Generator[None, None, None]:
        """Makes what ingresses are told, in steps."""
        if self._told[0] != self.gen:
            gen = self.gen
            self._told = (gen, (yield from _telling(self.content)))

    @property
    def history(self) -> History:
        return self._history

    def apply(self, command: Command) -> bool:
        return serialization.at_once(self.applying(command))

    def applying(self, command: Command, tells: bool = False) -> Generator[None, None, bool]:
        """In steps: until the last one all is as it was. False if it is void: another change came
        first, or it is no news to the data plane. `tells`: what ingresses are told of it is made as
        well."""
        match command.verb:
            case Verb.REPLACE | Verb.UPDATE:
                if command.order["parent"] != self.gen or command.order["gen"] <= self.gen:
                    return False
                if command.digest in self.known:  # it was refused: that holds
                    return False
                content, gen = (yield from self.result(command)), command.order["gen"]
                order = command.order if command.verb is Verb.UPDATE else None
                made = (yield from comparing(self.content, content, order)) if self.gen else None
                if tells:
                    self._told = (gen, (yield from _telling(content)))
                self.content, self.gen = content, gen
                self._history.took(made)
                self._remember(command.digest, self.gen)
            case Verb.REFUSE:
                if command.digest not in self.known:
                    self._remember(command.digest, REFUSED)
                return False
            case Verb.ENROL:
                self.edges = sorted({*self.edges, *command.names} - set(command.gone))
                return False
            case Verb.NAME:
                self.system = self.system or command.digest
                return False
            case Verb.EVACUATE | Verb.TAKE_BACK:
                if not self._is_first(command):
                    return False
                before = self.evacuated.get(command.zone, 0)
                orders = before + (1 if command.verb is Verb.EVACUATE else -1)
                if self.moves.get(command.zone) == command.digest or orders < 0:
                    return False
                self.moves[command.zone] = command.digest
                self.evacuated = {z: n for z, n in self.evacuated.items() if z != command.zone}
                self.evacuated |= {command.zone: orders} if orders else {}
                if before and orders:  # it stays as it is
                    return True
        self.version += 1
        return True

    def _remember(self, digest: str, gen: int) -> None:
        self.known[digest] = gen
        while len(self.known) > KNOWN:
            self.forgotten = max(self.forgotten, self.known.pop(next(iter(self.known))))

    def may_be_forgotten(self, gen: int) -> bool:
        """It can no longer be known whether a call that is not known, for this gen, was
        accepted."""
        return gen <= self.forgotten

    def _is_first(self, command: Command) -> bool:
        """Of the calls and orders for a zone. An order has the name of its first call."""
        if command.call in self.calls:
            return False  # it came by another way as well
        again = bool(command.call) and (not command.digest or command.digest in self.calls)
        if command.call:
            self.calls[command.call] = command.digest
            self.calls.setdefault(command.digest, command.digest)
            while len(self.calls) > CALLS:
                del self.calls[next(iter(self.calls))]
        return not again

    def raw(self) -> dict[str, Any]:
        """As it is now, whatever is applied later: what is in it is replaced then, and not
        changed."""
        fields = {name: getattr(self, name) for name in self.__slots__ if not name.startswith("_")}
        return {n: v.copy() if isinstance(v, dict | list) else v for n, v in fields.items()}

    def out(self) -> bytes:
        return serialization.whole(self.raw())

    @classmethod
    def read(cls, data: bytes) -> State:
        """Raises FormatError."""
        return cls.of(serialization.read(data))

    @classmethod
    def of(cls, raw: dict[str, Any]) -> State:
        """Raises FormatError."""
        try:
            return cls(**raw)
        except TypeError as error:
            raise serialization.FormatError(str(error)) from error
