"""The judge of storms: each rule on records made by hand, and the register against a slow search of
all orders."""

from __future__ import annotations

import random
from collections.abc import Iterator
from itertools import permutations

import pytest

from cairndale.chaos import judge
from cairndale.chaos.records import (
    Isolation,
    Move,
    Order,
    Probe,
    Read,
    Record,
    Sending,
    Shown,
    Span,
)
from cairndale.chaos.register import NEVER, Found, Write, first_broken
from cairndale.chaos.standins import Arrived, Beat, Ledger, Ran


def record() -> Record:
    return Record(Ledger())


def order(
    made: Record, gen: int, parent: int, *sendings: tuple[float, float, int], mark: str = ""
) -> Order:
    one = Order(mark or f"v{gen}", gen, parent, "Config.Update", {})
    one.sendings = [Sending("a", *s) for s in sendings]
    made.orders[one.mark] = one
    return one


# The register.


def explained(writes: list[Write], found: list[Found]) -> bool:
    """All orders of all calls are tried. A write that nobody acknowledged may come after all
    others."""
    calls: list[Write | Found] = [*writes, *found]
    last = max((c.end for c in calls if c.end < NEVER), default=0.0)

    def fits(row: tuple[Write | Found, ...]) -> bool:
        now, at = 0, -NEVER
        for call in row:
            at = max(at, call.begin)
            if at > min(call.end, last if isinstance(call, Found) else NEVER):
                return False
            if isinstance(call, Write):
                if call.version != now + 1:
                    return False
                now = call.version
            elif (call.version == now) == call.refused:
                return False
        return True

    return any(fits(row) for row in permutations(calls))


def histories(count: int) -> Iterator[tuple[list[Write], list[Found]]]:
    rng = random.Random(5)
    for _ in range(count):
        at, writes, found = 0, [], []
        for version in range(1, rng.randint(2, 4)):
            begin = at + rng.randint(0, 3)
            at = begin + rng.randint(0, 3)
            writes.append(
                Write(version, begin, at + rng.randint(0, 2) if rng.random() < 0.7 else NEVER)
            )
        for _ in range(rng.randint(1, 4)):
            begin = rng.randint(0, at + 2)
            found.append(Found(rng.randint(0, len(writes)), begin, begin + rng.randint(0, 4)))
        yield writes, found


def test_the_register_is_judged_as_by_a_search_of_all_orders() -> None:
    held = 0
    for writes, found in histories(1500):
        right = explained(writes, found)
        assert (first_broken(writes, found) == "") == right, (writes, found)
        held += right
    assert 300 < held < 1200  # both answers are met often


def test_a_change_on_what_is_in_force_is_not_refused() -> None:
    writes = [Write(1, 0, 1), Write(2, 5, 6)]
    assert "was refused while" in first_broken(writes, [Found(1, 2, 4, True)])
    # the next one may have come before it
    assert first_broken(writes, [Found(1, 2, 5, True)]) == ""
    assert first_broken(writes, [Found(1, 0.5, 0.7, True)]) == ""  # it was not known to be in force
    assert "was refused while" in first_broken(writes, [Found(2, 7, 8, True)])


def test_a_version_that_nobody_wrote() -> None:
    assert "nobody wrote" in first_broken([Write(1, 0, 1)], [Found(7, 2, 3)])


# Orders.


def test_two_on_one_parent() -> None:
    made = record()
    order(made, 1, 0, (0, 1, 200))
    order(made, 2, 1, (2, 3, 200))
    order(made, 4, 1, (2, 3, 200))
    assert any("came between" in line for line in judge.chain(made))
    made.orders["v4"].sendings = [Sending("a", 2, 3, 412)]
    assert judge.chain(made) == []


def test_one_number_for_two() -> None:
    made = record()
    order(made, 2, 0, (2, 3, 200), mark="v2-a")
    order(made, 2, 0, (2, 3, 200), mark="v2-b")
    assert any("one number" in line for line in judge.chain(made))


def test_taken_and_refused_either_way() -> None:
    made = record()
    order(made, 1, 0, (0, 1, 200), (50, 51, 412))
    assert "refused when it was sent again" in judge.chain(made)[0]
    made = record()
    order(made, 1, 0, (0, 1, 412))
    made.reads.append(Read("a", 5, 6, 1, "v1"))
    assert "was refused, and taken" in judge.chain(made)[0]
    made = record()  # seen at an ingress only
    order(made, 1, 0, (0, 1, 400))
    made.ledger.ran.append(Ran("r", "s", "v1", "", "GET", "/", 3.0))
    assert "was refused, and taken" in judge.chain(made)[0]


def test_no_clear_answer_breaks_nothing() -> None:
    made = record()
    order(made, 1, 0, (0, 1, 0), (2, 3, 0), (4, 5, 200), (9, 9.1, 0))
    assert judge.chain(made) + judge.reads(made, None) == []


def test_a_read_that_goes_back() -> None:
    made = record()
    order(made, 1, 0, (0, 1, 200))
    order(made, 2, 1, (2, 3, 200))
    made.reads.append(Read("a", 2.5, 4, 1, "v1"))  # sent before the acknowledgement
    assert judge.reads(made, None) == []
    made.reads.append(Read("b", 3.5, 4, 1, "v1"))
    assert len(judge.reads(made, None)) == 1
    made.reads.pop()
    assert judge.reads(made, Found(2, 9, 10)) == []
    assert judge.reads(made, Found(1, 9, 10)) != []  # what is read back at the end


def test_one_number_read_with_two_contents() -> None:
    made = record()
    order(made, 1, 0, (0, 1, 200))
    made.reads.append(Read("a", 2, 3, 1, "v1-other"))
    assert "was read as" in judge.reads(made, None)[0]


# Ingresses.


def probed(made: Record, at: float, mark: str, life: int = 1) -> None:
    name = f"p{at}"
    made.probes.append(Probe("edge-1", life, name, at))
    made.ledger.ran.append(Ran(name, "s", mark, "", "GET", "/", at))


def test_ingresses_serve_by_what_was_acknowledged_and_never_go_back() -> None:
    made = record()
    order(made, 1, 0, (0, 1, 200))
    order(made, 2, 1, (2, 3, 200))
    probed(made, 1.5, "v1")
    probed(made, 2.5, "v2")
    assert judge.served(made) == []
    probed(made, 2.7, "v1")
    assert judge.served(made) == ["edge-1: went back to version 1"]
    made.probes.pop()
    probed(made, 3.5, "v1", life=2)
    assert judge.served(made) == ["edge-1: version 1 though 2 was acknowledged before"]


def arrived(made: Record, server: str, at: float, zone: str = "z") -> None:
    made.ledger.arrived.append(Arrived(f"r{at}", "tiles", server, False, at, zone))


@pytest.mark.parametrize(
    ("late", "trouble", "broken"),
    [
        (1.0, None, False),
        (2.0, None, True),
        (2.0, (8.0, 8.5), False),
        (2.0, (0.0, 20.0), True),
        (9.5, (8.0, 8.5), True),
        (2.0, (0.0, 8.5), False),
    ],
)
def test_acknowledged_drains_are_kept(
    late: float, trouble: tuple[float, float] | None, broken: bool
) -> None:
    """Also within a long cut; around the begin and end of a trouble the longer bound counts."""
    made = record()
    made.drained.append(("s", 10.0))
    arrived(made, "s", 10.0 + late)
    if trouble:
        made.spans.append(Span("cut", *trouble))
    assert bool(judge.drains(made)) == broken


def test_evacuated_zones_get_nothing_until_they_may_be_taken_back() -> None:
    made = record()
    made.moves.append(Move("z", 10.0, 15.0))
    for at in (9.0, 10.5, 15.2):
        arrived(made, "s", at)
    arrived(made, "t", 12.0, "other")
    assert judge.moves(made) == []
    arrived(made, "s", 12.0)
    assert len(judge.moves(made)) == 1


# Servers, and those that hear nobody.


def beating(made: Record, begin: float, end: float, address: str = "a") -> None:
    for n in range(round((end - begin) / 0.3)):
        at = begin + n * 0.3
        made.ledger.beats.append(Beat("s", "ready", address, at, at + 0.01))


def showing(made: Record, out: list[tuple[float, float]]) -> None:
    for n in range(100):
        at = n * 0.2
        ready = set() if any(a <= at < b for a, b in out) else {"s"}
        made.shown.append(Shown(at, at + 0.05, "a", [], ready, {}))


@pytest.mark.parametrize(
    ("out", "broken"),
    [
        ([], False),
        ([(10, 11)], False),
        ([(10, 14)], True),
        ([(0, 5)], False),
        ([(8, 8.4), (11, 11.4)], False),
        ([(8, 8.4), (11, 11.4), (14, 14.4)], True),
    ],
)
def test_nobody_who_beats_is_called_gone(out: list[tuple[float, float]], broken: bool) -> None:
    made = record()
    beating(made, 0, 20)
    showing(made, out)
    assert bool(judge.gone(made)) == broken


def test_one_that_stopped_beating_may_be_called_gone() -> None:
    made = record()
    beating(made, 2, 12)
    beating(made, 16, 20)
    showing(made, [(0, 6), (12.5, 18)])  # and one that has just begun
    assert judge.gone(made) == []


def test_one_that_hears_nobody_answers_nothing() -> None:
    made = record()
    made.isolations.append(Isolation("a", 10, 30))
    beating(made, 0, 14)
    beating(made, 14, 29, address="b")
    made.reads.append(Read("a", 29.5, 30.5, 1))  # answered when it was over
    assert judge.alone(made) == []
    order(made, 1, 0, (20, 21, 412))
    assert len(judge.alone(made)) == 1
