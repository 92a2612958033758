"""Whether the calls on one register can be put into an order that explains them all:
linearizability.

Wing and Gong's search (Testing and Verifying Concurrent Objects, JPDC 1993) over the orders in
which open calls may have taken effect, with Lowe's pruning (Testing for linearizability,
Concurrency and Computation 2017): configurations met before are not searched again. It goes through
the calls' ends in time and keeps all configurations possible so far, so that it holds no more of
the history than what is open. Of configurations that differ only in calls of unknown outcome the
ones that have used fewest of them are kept: they can do all that the others can."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import count

from cairndale.lab.faults.history import CONFLICT, OK, UNKNOWN, Call

BOUND = 200_000  # configurations of a key that are looked at before it is not decided
SHOWN = 60  # last calls that an explanation begins from
UNSEEN = -1  # stands for every value that nobody has read

Config = tuple[int, int]  # the register's value, and a bit for each open call that has taken effect


class Undecided(Exception):
    """Too many orders are possible to look at them all."""


@dataclass(slots=True)
class _Open:
    call: Call
    bit: int
    value: int

    def step(self, state: int) -> int | None:
        """The state after it, None if it cannot have taken effect then with this outcome."""
        call = self.call
        if call.kind == "write":
            return self.value
        if call.kind == "read":
            return state if state == call.value else None
        if call.outcome == CONFLICT:
            return state if state != call.expected else None
        return self.value if state == call.expected else None

    @property
    def harmless(self) -> bool:
        """It changes nothing: where it can take effect, it may as well do so at once."""
        return self.call.kind == "read" or self.call.outcome == CONFLICT


def _relevant(calls: Sequence[Call]) -> list[tuple[Call, int]]:
    """The calls that say something, each with the value it writes as anybody could tell."""
    seen = {c.value for c in calls if c.kind == "read" and c.outcome == OK}
    seen |= {c.expected for c in calls if c.kind == "cas"}
    conflicts = any(c.outcome == CONFLICT for c in calls)
    found = []
    for call in calls:
        if call.outcome not in (OK, CONFLICT, UNKNOWN):
            continue
        if call.outcome == UNKNOWN:
            if call.kind == "read" or not (call.value in seen or conflicts):
                continue
            found.append((call, call.value if call.value in seen else UNSEEN))
        else:
            found.append((call, call.value))
    return found


def first_broken(calls: Sequence[Call], initial: int = 0, bound: int = BOUND) -> Call | None:
    """The first call by whose end no order explains all calls on this key; None if one always does.

    Raises Undecided. Refused calls must have had no effect: a value of theirs that is read breaks
    the order."""
    events: list[tuple[int, int, int, Call, int]] = []
    for number, (call, value) in enumerate(_relevant(calls)):
        events.append((call.begin, 0, number, call, value))
        if call.outcome != UNKNOWN:
            events.append((call.end, 1, number, call, value))
    events.sort(key=lambda e: e[:3])
    opened: dict[int, _Open] = {}
    bits = (1 << n for n in count())
    free: list[int] = []
    unknown = 0
    configs: set[Config] = {(initial, 0)}
    looked = 0
    for _, ends, number, call, value in events:
        if not ends:
            bit = free.pop() if free else next(bits)
            opened[number] = _Open(call, bit, value)
            if call.outcome == UNKNOWN:
                unknown |= bit
            continue
        own = opened[number]
        harmless = [o for o in opened.values() if o.harmless]
        others = [o for o in opened.values() if not o.harmless]
        met: set[Config] = set()
        through: set[Config] = set()
        stack = list(configs)
        while stack:
            state, mask = stack.pop()
            for one in harmless:
                if one.step(state) is not None:
                    mask |= one.bit
            if (state, mask) in met:
                continue
            met.add((state, mask))
            if mask & own.bit:
                through.add((state, mask & ~own.bit))
                continue
            looked += 1
            if looked > bound:
                raise Undecided
            for one in others:
                if not mask & one.bit and (after := one.step(state)) is not None:
                    stack.append((after, mask | one.bit))
        if not through:
            return call
        configs = _fewest(through, unknown)
        del opened[number]
        free.append(own.bit)
    return None


def _fewest(configs: set[Config], unknown: int) -> set[Config]:
    if not unknown or len(configs) < 2:
        return configs
    alike: dict[tuple[int, int], list[int]] = {}
    for state, mask in configs:
        alike.setdefault((state, mask & ~unknown), []).append(mask & unknown)
    found: set[Config] = set()
    for (state, known), masks in alike.items():
        kept: list[int] = []
        for mask in sorted(masks, key=int.bit_count):
            if not any(k & mask == k for k in kept):
                kept.append(mask)
        found |= {(state, known | mask) for mask in kept}
    return found


def explained(calls: Sequence[Call], broken: Call, initial: int = 0) -> list[Call]:
    """Few calls that cannot be put into an order either: `broken`, and of those before its end what
    cannot be left out. A read or a conflict can always be; a write once nobody left has seen what
    it wrote."""
    left = [c for c in calls if c.begin <= broken.end and c.outcome != "refused"]
    left.sort(key=lambda c: c.begin)

    def fails(some: Sequence[Call]) -> bool:
        try:
            return first_broken(some, initial) is not None
        except Undecided:
            return False

    size = max(1, len(left) // 2)
    while size:
        at = 0
        while at < len(left):
            out, rest = left[at : at + size], left[:at] + left[at + size :]
            gone = {c.value for c in out if c.kind != "read" and c.outcome != CONFLICT}
            seen = {c.value for c in rest if c.kind == "read"} | {
                c.expected for c in rest if c.kind == "cas"
            }
            if broken not in out and not gone & seen and fails(rest):
                left = rest
            else:
                at += size
        size //= 2
    return left[-SHOWN:]
