"""Checks a run by what callers and stand-ins observed, not by what a process reports on itself.

Each of eight properties is `holds`, `broken` (with the few events that show it) or `undecided`,
which does not count as a pass:

    linearizable  conditional writes, writes and reads at the leader are linearizable
    kept          no acknowledged write is lost
    fresh         no read is older than the maximum age stated with it
    once          a side effect on a server happened exactly once; at most once if the outcome is
                  unknown; not at all if the request was refused
    one-owner     no process acts in an older term after another has acted in a later one, and no
                  two processes act in the same term
    agreement     all processes agree within the stated time after the last fault
    views         a member's view numbers never decrease, and a number denotes the same view at
                  all members
    standing      no process ended except by a fault
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path

import msgspec

from cairndale.lab.faults import linear
from cairndale.lab.faults.history import (
    HISTORY_FILE,
    OK,
    REFUSED,
    UNKNOWN,
    Operation,
    by_key,
    read_operations,
    split_by_key,
)

HOLDS, BROKEN, UNDECIDED = "holds", "broken", "undecided"
PROPERTIES = (
    "linearizable",
    "kept",
    "fresh",
    "once",
    "one-owner",
    "views",
    "agreement",
    "standing",
)
MAX_EVENTS = 12  # shown with a finding
MAX_FINDINGS = 5  # reported for a property
INFINITE_TIME = 1 << 62


class Finding(msgspec.Struct):
    property: str
    key: str
    text: str
    events: list[str] = []


class Verdict(msgspec.Struct):
    properties: dict[str, str]
    findings: list[Finding]
    calls: dict[str, int]  # by kind and outcome

    @property
    def broken(self) -> list[str]:
        return [name for name, result in self.properties.items() if result == BROKEN]

    @property
    def passed(self) -> bool:
        return all(result == HOLDS for result in self.properties.values())


class Observations(msgspec.Struct):
    """What the run observed beside the operations: the final state and the ends of processes."""

    final: dict[str, int] = {}  # value of each register after all processes agreed
    agreed_s: float | None = (
        None  # s from the last fault until agreement; None: no agreement in time
    )
    differences: list[str] = []  # between the processes, if they did not agree
    nobody: bool = False  # no process of the program was left running
    crashes: list[str] = []
    void: list[str] = []  # reasons why the run is inconclusive


class _Checker:
    def __init__(self) -> None:
        self.findings: dict[str, list[Finding]] = {name: [] for name in PROPERTIES}
        self.undecided: dict[str, str] = {}
        self.counts: dict[str, int] = {}

    def add_finding(
        self, property: str, key: str, text: str, events: Iterable[Operation | str] = ()
    ) -> None:
        shown = [e if isinstance(e, str) else e.describe() for e in events][-MAX_EVENTS:]
        self.findings[property].append(Finding(property, key, text, shown))

    def verdict(self) -> Verdict:
        result = {}
        for name in PROPERTIES:
            result[name] = (
                BROKEN if self.findings[name] else UNDECIDED if name in self.undecided else HOLDS
            )
        findings = [f for name in PROPERTIES for f in self.findings[name][:MAX_FINDINGS]]
        findings += [
            Finding(name, "", f"not decided: {why}") for name, why in self.undecided.items()
        ]
        return Verdict(result, findings, dict(sorted(self.counts.items())))


def check_linearizable(
    checker: _Checker, key: str, operations: Sequence[Operation], bound: int
) -> None:
    ops = [c for c in operations if c.kind in ("write", "cas", "read")]
    try:
        broken = linear.first_violation(ops, bound=bound)
    except linear.Undecided:
        checker.undecided["linearizable"] = f"over {bound} orders are possible for {key}"
        return
    if broken is not None:
        events = linear.minimal_violation(ops, broken)
        checker.add_finding(
            "linearizable", key, f"no order explains {len(events)} operations on {key}", events
        )


def _writes_by_value(operations: Sequence[Operation]) -> dict[int, Operation]:
    return {
        c.value: c
        for c in operations
        if c.kind in ("write", "cas") and c.outcome in (OK, UNKNOWN, REFUSED)
    }


def check_kept(
    checker: _Checker, key: str, operations: Sequence[Operation], final: int | None
) -> None:
    answered = [c for c in operations if c.kind in ("write", "cas") and c.outcome == OK]
    if final is None:
        if answered:
            checker.undecided["kept"] = f"the final value of {key} was not observed"
        return
    writer = _writes_by_value(operations).get(final)
    if writer is None and final != 0:
        checker.add_finding("kept", key, f"{key} is {final} at the end, which nobody wrote")
        return
    if writer is not None and writer.outcome == REFUSED:
        checker.add_finding(
            "kept", key, f"{key} is {final} at the end, a write that was refused", [writer]
        )
        return
    writer_end = (
        -INFINITE_TIME
        if writer is None
        else INFINITE_TIME
        if writer.outcome == UNKNOWN
        else writer.end
    )
    lost = sorted((c for c in answered if c.begin > writer_end), key=lambda c: c.begin)
    if lost:
        shown = [*([writer] if writer else []), *lost[: MAX_EVENTS - 1]]
        checker.add_finding(
            "kept", key, f"{len(lost)} answered writes of {key} are lost: it is {final}", shown
        )


def check_fresh(checker: _Checker, key: str, operations: Sequence[Operation]) -> None:
    """A read that began at `begin` with maximum age `age` must not return a value older than the
    last write that ended before `begin - age`."""
    writers = _writes_by_value(operations)
    answered = sorted(
        (c for c in operations if c.kind in ("write", "cas") and c.outcome == OK),
        key=lambda c: c.end,
    )
    latest: list[Operation] = []  # at i: of answered[: i + 1], the one that began last
    for operation in answered:
        latest.append(operation if not latest or operation.begin > latest[-1].begin else latest[-1])
    ends = [c.end for c in answered]
    for operation in operations:
        if operation.kind != "aged" or operation.outcome != OK:
            continue
        writer = writers.get(operation.value)
        if writer is None and operation.value != 0:
            checker.add_finding("fresh", key, f"a value of {key} that nobody wrote", [operation])
            continue
        if writer is not None and writer.outcome == UNKNOWN:
            continue
        writer_end = -INFINITE_TIME if writer is None else writer.end
        known = bisect_left(ends, operation.begin - operation.age)
        if known and latest[known - 1].begin > writer_end:
            shown = [*([writer] if writer else []), latest[known - 1], operation]
            staleness_s = (operation.begin - operation.age - latest[known - 1].end) / 1e6
            checker.add_finding(
                "fresh", key, f"a read of {key} is {staleness_s:.2f} s older than its bound", shown
            )
            return  # one finding for a key is enough


def check_once(
    checker: _Checker, operations: Iterable[Operation], effects: Mapping[str, Sequence[str]]
) -> None:
    """`effects`: the side effects that the servers recorded, by request id."""
    for operation in operations:
        if operation.kind != "request":
            continue
        occurrences = effects.get(operation.key, ())
        if operation.value:
            checker.add_finding(
                "once", operation.key, f"{operation.key} was given another's answer", [operation]
            )
        least, most = {OK: (1, 1), UNKNOWN: (0, 1), REFUSED: (0, 0)}[operation.outcome]
        if not least <= len(occurrences) <= most:
            text = (
                f"{operation.key} was {operation.outcome} and took effect {len(occurrences)} times"
            )
            checker.add_finding("once", operation.key, text, [operation, *occurrences])


class _TermChecker:
    """Processes by the term they acted in, with the end of the first and the begin of the last
    operation of each term."""

    def __init__(self) -> None:
        self.first: dict[int, Operation] = {}
        self.last: dict[int, Operation] = {}
        self.by_process: dict[int, dict[str, Operation]] = {}

    def add(self, operation: Operation) -> None:
        if (
            operation.term < 0
            or operation.outcome != OK
            or operation.kind not in ("write", "cas", "act")
        ):
            return
        term = operation.term
        if term not in self.first or operation.end < self.first[term].end:
            self.first[term] = operation
        if term not in self.last or operation.begin > self.last[term].begin:
            self.last[term] = operation
        self.by_process.setdefault(term, {}).setdefault(operation.process, operation)

    def check(self, checker: _Checker) -> None:
        for term, owners in sorted(self.by_process.items()):
            if len(owners) > 1:
                checker.add_finding(
                    "one-owner", str(term), f"{len(owners)} act in term {term}", owners.values()
                )
            for later in (t for t in self.first if t > term):
                if self.last[term].begin > self.first[later].end:
                    shown = [self.first[later], self.last[term]]
                    newer = f"{self.first[later].process} did in {later}"
                    text = f"{self.last[term].process} acts in term {term} after {newer}"
                    checker.add_finding("one-owner", str(term), text, shown)


class _ViewChecker:
    """The first view observed for each view number, and the last one of each member process."""

    def __init__(self) -> None:
        self.first: dict[int, Operation] = {}
        self.last: dict[str, Operation] = {}

    def add(self, checker: _Checker, operation: Operation) -> None:
        if operation.kind != "view" or not operation.value:
            return
        first = self.first.setdefault(operation.value, operation)
        if first.expected != operation.expected:
            checker.add_finding(
                "views",
                operation.key,
                f"two views have number {operation.value}",
                [first, operation],
            )
        last = self.last.get(operation.key)
        if last is not None and last.end < operation.begin and last.value > operation.value:
            checker.add_finding(
                "views",
                operation.key,
                f"the view number of {operation.process} decreased",
                [last, operation],
            )
        self.last[operation.key] = operation


def check_operations(
    operations: Sequence[Operation],
    final: Mapping[str, int],
    effects: Mapping[str, Sequence[str]] | None = None,
    bound: int = linear.MAX_CONFIGURATIONS,
) -> Verdict:
    """Checks a history that is entirely in memory, without observations of the run."""
    checker, term_checker, view_checker = _Checker(), _TermChecker(), _ViewChecker()
    for operation in operations:
        term_checker.add(operation)
        view_checker.add(checker, operation)
    _check_part(checker, operations, final, effects or {}, bound)
    term_checker.check(checker)
    return checker.verdict()


def _check_part(
    checker: _Checker,
    operations: Sequence[Operation],
    final: Mapping[str, int],
    effects: Mapping[str, Sequence[str]],
    bound: int,
) -> None:
    for operation in operations:
        name = f"{operation.kind} {operation.outcome}"
        checker.counts[name] = checker.counts.get(name, 0) + 1
    check_once(checker, operations, effects)
    for key, key_operations in sorted(
        by_key(c for c in operations if c.kind not in ("request", "act", "view")).items()
    ):
        check_linearizable(checker, key, key_operations, bound)
        check_kept(checker, key, key_operations, final.get(key))
        check_fresh(checker, key, key_operations)


def recorded_effects(folder: Path, request_ids: set[str] | None = None) -> dict[str, list[str]]:
    """Side effects that the servers recorded, by request id; only those of `request_ids`, if
    given."""
    found: dict[str, list[str]] = {}
    for path in sorted(folder.glob("effects-*.txt")):
        with path.open() as file:
            for line in file:
                id, _, at = line.partition(" ")
                if at.endswith("\n") and (request_ids is None or id in request_ids):
                    text = f"{int(at) / 1e6:.3f} s: effect of {id} at {path.stem[8:]}"
                    found.setdefault(id, []).append(text)
    return found


def check_run(
    folder: Path, observations: Observations, bound: int = linear.MAX_CONFIGURATIONS
) -> Verdict:
    """Checks the history in the folder part by part; all operations on a key are in one part."""
    checker, term_checker, view_checker = _Checker(), _TermChecker(), _ViewChecker()
    with split_by_key(folder / HISTORY_FILE) as paths:
        for path in paths:
            operations = list(read_operations(path))
            for operation in operations:
                term_checker.add(operation)
                view_checker.add(checker, operation)
            request_ids = {c.key for c in operations if c.kind == "request"}
            _check_part(
                checker,
                operations,
                observations.final,
                recorded_effects(folder, request_ids),
                bound,
            )
    term_checker.check(checker)
    if observations.nobody:
        checker.undecided["agreement"] = "no process was left"
    elif observations.agreed_s is None:
        checker.add_finding(
            "agreement", "", "the processes did not agree in time", observations.differences
        )
    for text in observations.crashes:
        checker.add_finding("standing", "", text)
    for text in observations.void:
        checker.undecided["standing"] = text
    return checker.verdict()
