"""The replicated state machine: the configuration in force and the evacuated zones.

Each member of the control cluster applies the same commands in the order of the log. The result of
a command depends only on the state and the command, so the members' states stay identical, byte for
byte when encoded.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from cairndale.configuration import serialization, stepwise
from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.content import Content, encode_content_steps, updated_content_steps
from cairndale.configuration.delta import compare_steps
from cairndale.configuration.delta_history import DeltaHistory
from cairndale.configuration.stepwise import Steps

MAX_IDEMPOTENCY_RECORDS = 20_000  # the changes of one day; repeated ones are detected by them
MAX_EVACUATION_CALLS = 4_096  # calls for zones that are detected when they are repeated
REJECTED = -1  # in an idempotency record in place of a gen: permanently rejected
EARLIEST_MAX_RECORDS = 256  # idempotency records that the first versions stored

# The state's attributes in the order in which they are stored, and the key of each in the stored
# JSON. Keys and their order are part of the format: members of older versions read them, and
# members compare encoded states by digest (docs/state.md).
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


@dataclass(frozen=True, slots=True)
class _EncodedContent:
    """The content of a generation as ingresses receive it."""

    gen: int
    data: bytes


@dataclass(slots=True)
class State:
    """What the members of the control cluster agree on.

    Attributes:
        gen: the generation of the configuration in force; 0 before the first.
        content: the configuration in force, as a JSON object.
        evacuated: the number of evacuation orders in force, by evacuated zone.
        latest_evacuation_orders: the id of the last applied order, by zone.
        version: increases with each change that has to be sent to the data plane.
        edges: names of data-plane nodes that may hold leases, whichever member leads; sorted.
        idempotency_records: the gen that a change resulted in, or REJECTED, by the digest of the
            change; oldest first. Also has the departures of servers.
        evicted_gen: the highest gen among evicted idempotency records.
        evacuation_calls: the order that a call for a zone belongs to, by the id of the call;
            oldest first.
        system_name: the name of the system; the first one that is applied is final.
    """

    gen: int = 0
    content: Content = field(default_factory=dict)
    evacuated: dict[str, int] = field(default_factory=dict)
    latest_evacuation_orders: dict[str, str] = field(default_factory=dict)
    version: int = 0
    edges: list[str] = field(default_factory=list)
    idempotency_records: dict[str, int] = field(default_factory=dict)
    evicted_gen: int = -1
    evacuation_calls: dict[str, str] = field(default_factory=dict)
    system_name: str = ""
    _encoded_content: _EncodedContent = field(
        default=_EncodedContent(gen=-1, data=b""), compare=False, repr=False
    )
    _history: DeltaHistory = field(default_factory=DeltaHistory, compare=False, repr=False)

    def __post_init__(self) -> None:
        if self.evicted_gen < 0:  # the first versions did not store it
            gens = self.idempotency_records.values()
            self.evicted_gen = min(gens) - 1 if len(gens) >= EARLIEST_MAX_RECORDS else 0

    @property
    def history(self) -> DeltaHistory:
        """The newest changes of the content, from which deltas are built."""
        return self._history

    def encoded_content(self) -> bytes:
        """The content as ingresses receive it, encoded once for all ingresses.

        Encodes it in one go if `encode_content_steps` has not done so before.
        """
        stepwise.run_to_completion(self.encode_content_steps())
        return self._encoded_content.data

    def encode_content_steps(self) -> Steps[None]:
        """Encodes the content in force for `encoded_content`, if it is not encoded yet."""
        if self._encoded_content.gen != self.gen:
            gen = self.gen
            data = yield from encode_content_steps(self.content)
            self._encoded_content = _EncodedContent(gen=gen, data=data)

    def resulting_content_steps(self, command: Command) -> Steps[Content]:
        """The content that a Replace or Update would result in; the state does not change."""
        if command.verb is Verb.UPDATE:
            return (yield from updated_content_steps(self.content, command.body))
        return {name: value for name, value in command.body.items() if name != "parent"}

    def apply(self, command: Command) -> bool:
        """Applies a command in one go; see `apply_steps`."""
        return stepwise.run_to_completion(self.apply_steps(command))

    def apply_steps(self, command: Command, encodes_content: bool = False) -> Steps[bool]:
        """Applies a command; the state changes in the last step, not before.

        Returns False if the command has no effect (another change was applied first, or this one
        was applied before) or is irrelevant to the data plane. `encodes_content`: also encode new
        content for ingresses before it comes into force.
        """
        match command.verb:
            case Verb.REPLACE | Verb.UPDATE:
                return (yield from self._apply_change_steps(command, encodes_content))
            case Verb.EVACUATE | Verb.RESTORE:
                return self._apply_evacuation(command)
            case Verb.REJECT:
                if command.digest not in self.idempotency_records:
                    self._record(command.digest, REJECTED)
            case Verb.ENROL:
                enrolled = {*self.edges, *command.added_nodes}
                self.edges = sorted(enrolled - set(command.removed_nodes))
            case Verb.NAME:
                self.system_name = self.system_name or command.digest
        return False

    def _apply_change_steps(self, command: Command, encodes_content: bool) -> Steps[bool]:
        gen = command.body["gen"]
        if command.body["parent"] != self.gen or gen <= self.gen:
            return False
        if command.digest in self.idempotency_records:  # it was rejected: that is final
            return False
        content = yield from self.resulting_content_steps(command)
        change = None
        if self.gen:
            update = command.body if command.verb is Verb.UPDATE else None
            change = yield from compare_steps(self.content, content, update)
        if encodes_content:
            data = yield from encode_content_steps(content)
            self._encoded_content = _EncodedContent(gen=gen, data=data)
        self.content, self.gen = content, gen
        self._history.record(change)
        self._record(command.digest, gen)
        self.version += 1
        return True

    def _apply_evacuation(self, command: Command) -> bool:
        zone, order = command.zone, command.digest
        if not self._is_first_call(command):
            return False
        orders_before = self.evacuated.get(zone, 0)
        orders = orders_before + (1 if command.verb is Verb.EVACUATE else -1)
        if self.latest_evacuation_orders.get(zone) == order or orders < 0:
            return False
        self.latest_evacuation_orders[zone] = order
        self.evacuated = {z: count for z, count in self.evacuated.items() if z != zone}
        if orders:
            self.evacuated[zone] = orders
        if not (orders_before and orders):  # else the zone stays evacuated: nothing to send
            self.version += 1
        return True

    def _is_first_call(self, command: Command) -> bool:
        """Whether neither the call nor its order was applied before.

        The id of an order is the id of its first call. A call may arrive through several nodes, and
        several calls may belong to the same order.
        """
        call = command.call_id
        if call in self.evacuation_calls:
            return False
        is_repeated = bool(call) and (not command.digest or command.digest in self.evacuation_calls)
        if call:
            self.evacuation_calls[call] = command.digest
            self.evacuation_calls.setdefault(command.digest, command.digest)
            while len(self.evacuation_calls) > MAX_EVACUATION_CALLS:
                del self.evacuation_calls[next(iter(self.evacuation_calls))]
        return not is_repeated

    def _record(self, digest: str, gen: int) -> None:
        self.idempotency_records[digest] = gen
        while len(self.idempotency_records) > MAX_IDEMPOTENCY_RECORDS:
            evicted = self.idempotency_records.pop(next(iter(self.idempotency_records)))
            self.evicted_gen = max(self.evicted_gen, evicted)

    def record_may_be_evicted(self, gen: int) -> bool:
        """Whether a change to this gen may have been accepted although it has no record now."""
        return gen <= self.evicted_gen

    def to_dict(self) -> dict[str, Any]:
        """The state as a JSON object, for a snapshot that is encoded while commands are applied.

        Lists and objects are copied one level deep: commands replace nested values and never change
        them in place.
        """
        values = {key: getattr(self, name) for name, key in STORED_KEYS.items()}
        return {
            key: value.copy() if isinstance(value, dict | list) else value
            for key, value in values.items()
        }

    @classmethod
    def from_dict(cls, raw: dict[str, Any]) -> State:
        """The reverse of `to_dict`; missing keys get their defaults. Raises FormatError."""
        try:
            return cls(**{_ATTRIBUTES[key]: value for key, value in raw.items()})
        except KeyError as error:
            raise serialization.FormatError(f"unknown key in the stored state: {error}") from error
        except (AttributeError, TypeError) as error:
            raise serialization.FormatError(str(error)) from error

    def encode(self) -> bytes:
        """The stored form (format 2 of `serialization`), identical at all members."""
        return serialization.encode(self.to_dict())

    @classmethod
    def decode(cls, data: bytes) -> State:
        """The state of a stored form in either format. Raises FormatError."""
        return cls.from_dict(serialization.decode(data))
