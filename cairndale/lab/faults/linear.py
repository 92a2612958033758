"""Checks whether the operations on one register are linearizable.

Wing and Gong's search (Testing and Verifying Concurrent Objects, JPDC 1993) over the orders in
which open operations may have taken effect, with Lowe's pruning (Testing for linearizability,
Concurrency and Computation 2017): configurations visited before are not searched again. The search
proceeds by the end times of the operations and keeps all configurations that are possible so far,
so its memory depends on the open operations, not on the length of the history. Of configurations
that differ only in operations of unknown outcome, those in which the fewest of these have taken
effect are kept: every continuation of the others is possible from them too."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import count

from cairndale.lab.faults.history import CONFLICT, OK, UNKNOWN, Operation

MAX_CONFIGURATIONS = 200_000  # explored for a key before the result is undecided
MAX_EXPLANATION = 60  # operations shown for a violation: the last ones
UNREAD_VALUE = -1  # stands for every value that no operation has read

# the register's value, and a bit mask of the open operations that have taken effect
Configuration = tuple[int, int]


class Undecided(Exception):
    """Too many orders are possible to explore them all."""


@dataclass(slots=True)
class _OpenOperation:
    operation: Operation
    bit: int
    value: int

    def step(self, state: int) -> int | None:
        """The state after the operation; None if it cannot take effect with its outcome."""
        operation = self.operation
        if operation.kind == "write":
            return self.value
        if operation.kind == "read":
            return state if state == operation.value else None
        if operation.outcome == CONFLICT:
            return state if state != operation.expected else None
        return self.value if state == operation.expected else None

    @property
    def read_only(self) -> bool:
        """Whether the operation changes nothing. It is then applied as soon as it is possible."""
        return self.operation.kind == "read" or self.operation.outcome == CONFLICT


def _relevant(operations: Sequence[Operation]) -> list[tuple[Operation, int]]:
    """The operations that constrain the order, each with the value that it writes.

    The value of a write with an unknown outcome is UNREAD_VALUE if no operation observed it."""
    seen = {c.value for c in operations if c.kind == "read" and c.outcome == OK}
    seen |= {c.expected for c in operations if c.kind == "cas"}
    conflicts = any(c.outcome == CONFLICT for c in operations)
    found = []
    for operation in operations:
        if operation.outcome not in (OK, CONFLICT, UNKNOWN):
            continue
        if operation.outcome == UNKNOWN:
            if operation.kind == "read" or not (operation.value in seen or conflicts):
                continue
            found.append((operation, operation.value if operation.value in seen else UNREAD_VALUE))
        else:
            found.append((operation, operation.value))
    return found


def first_violation(
    operations: Sequence[Operation], initial: int = 0, bound: int = MAX_CONFIGURATIONS
) -> Operation | None:
    """The first operation at whose end no order explains all operations on this key so far; None
    if the history is linearizable.

    Raises Undecided. Refused operations must have had no effect: reading the value of one is a
    violation."""
    events: list[tuple[int, int, int, Operation, int]] = []
    for number, (operation, value) in enumerate(_relevant(operations)):
        events.append((operation.begin, 0, number, operation, value))
        if operation.outcome != UNKNOWN:
            events.append((operation.end, 1, number, operation, value))
    events.sort(key=lambda e: e[:3])
    open_operations: dict[int, _OpenOperation] = {}
    bits = (1 << n for n in count())
    free: list[int] = []
    unknown = 0
    configurations: set[Configuration] = {(initial, 0)}
    explored = 0
    for _, is_end, number, operation, value in events:
        if not is_end:
            bit = free.pop() if free else next(bits)
            open_operations[number] = _OpenOperation(operation, bit, value)
            if operation.outcome == UNKNOWN:
                unknown |= bit
            continue
        completing = open_operations[number]
        read_only = [o for o in open_operations.values() if o.read_only]
        others = [o for o in open_operations.values() if not o.read_only]
        visited: set[Configuration] = set()
        completed: set[Configuration] = set()
        stack = list(configurations)
        while stack:
            state, mask = stack.pop()
            for candidate in read_only:
                if candidate.step(state) is not None:
                    mask |= candidate.bit
            if (state, mask) in visited:
                continue
            visited.add((state, mask))
            if mask & completing.bit:
                completed.add((state, mask & ~completing.bit))
                continue
            explored += 1
            if explored > bound:
                raise Undecided
            for candidate in others:
                if not mask & candidate.bit and (after := candidate.step(state)) is not None:
                    stack.append((after, mask | candidate.bit))
        if not completed:
            return operation
        configurations = _drop_dominated(completed, unknown)
        del open_operations[number]
        free.append(completing.bit)
    return None


def _drop_dominated(configurations: set[Configuration], unknown: int) -> set[Configuration]:
    if not unknown or len(configurations) < 2:
        return configurations
    groups: dict[tuple[int, int], list[int]] = {}
    for state, mask in configurations:
        groups.setdefault((state, mask & ~unknown), []).append(mask & unknown)
    found: set[Configuration] = set()
    for (state, known), masks in groups.items():
        kept: list[int] = []
        for mask in sorted(masks, key=int.bit_count):
            if not any(k & mask == k for k in kept):
                kept.append(mask)
        found |= {(state, known | mask) for mask in kept}
    return found


def minimal_violation(
    operations: Sequence[Operation], violation: Operation, initial: int = 0
) -> list[Operation]:
    """A small set of operations that is not linearizable either: `violation`, and those operations
    before its end that cannot be left out.

    A read or a conflict may always be left out, a write only if no remaining operation observed
    its value."""
    remaining = [c for c in operations if c.begin <= violation.end and c.outcome != "refused"]
    remaining.sort(key=lambda c: c.begin)

    def is_violated(subset: Sequence[Operation]) -> bool:
        try:
            return first_violation(subset, initial) is not None
        except Undecided:
            return False

    size = max(1, len(remaining) // 2)
    while size:
        at = 0
        while at < len(remaining):
            removed, rest = remaining[at : at + size], remaining[:at] + remaining[at + size :]
            removed_values = {
                c.value for c in removed if c.kind != "read" and c.outcome != CONFLICT
            }
            seen = {c.value for c in rest if c.kind == "read"} | {
                c.expected for c in rest if c.kind == "cas"
            }
            if violation not in removed and not removed_values & seen and is_violated(rest):
                remaining = rest
            else:
                at += size
        size //= 2
    return remaining[-MAX_EXPLANATION:]
