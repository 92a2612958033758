"""The checkers of storms: each rule on a hand-made history, and the linearizability check against
an exhaustive search."""

from __future__ import annotations

import random
from collections.abc import Iterator
from itertools import permutations

import pytest

from cairndale.chaos import judge
from cairndale.chaos.records import (
    Evacuation,
    FaultInterval,
    FleetStatus,
    Isolation,
    Order,
    Probe,
    Read,
    Record,
    Submission,
)
from cairndale.chaos.register import NEVER, Observation, Write, first_violation
from cairndale.chaos.standins import Arrival, Execution, Heartbeat, Ledger


def make_record() -> Record:
    return Record(Ledger())


def add_order(
    record: Record, gen: int, parent: int, *submissions: tuple[float, float, int], marker: str = ""
) -> Order:
    new_order = Order(marker or f"v{gen}", gen, parent, "Config.Update", {})
    new_order.submissions = [Submission("a", *submission) for submission in submissions]
    record.orders[new_order.marker] = new_order
    return new_order


# The register.


def is_linearizable(writes: list[Write], observations: list[Observation]) -> bool:
    """Try all permutations of the calls. An unacknowledged write may come after all others."""
    calls: list[Write | Observation] = [*writes, *observations]
    last = max((c.end for c in calls if c.end < NEVER), default=0.0)

    def fits(calls_in_order: tuple[Write | Observation, ...]) -> bool:
        version, earliest = 0, -NEVER
        for call in calls_in_order:
            earliest = max(earliest, call.begin)
            if earliest > min(call.end, last if isinstance(call, Observation) else NEVER):
                return False
            if isinstance(call, Write):
                if call.version != version + 1:
                    return False
                version = call.version
            elif (call.version == version) == call.rejected:
                return False
        return True

    return any(fits(calls_in_order) for calls_in_order in permutations(calls))


def histories(count: int) -> Iterator[tuple[list[Write], list[Observation]]]:
    rng = random.Random(5)
    for _ in range(count):
        at, writes, observations = 0, [], []
        for version in range(1, rng.randint(2, 4)):
            begin = at + rng.randint(0, 3)
            at = begin + rng.randint(0, 3)
            writes.append(
                Write(version, begin, at + rng.randint(0, 2) if rng.random() < 0.7 else NEVER)
            )
        for _ in range(rng.randint(1, 4)):
            begin = rng.randint(0, at + 2)
            observations.append(
                Observation(rng.randint(0, len(writes)), begin, begin + rng.randint(0, 4))
            )
        yield writes, observations


def test_first_violation_agrees_with_an_exhaustive_search() -> None:
    linearizable = 0
    for writes, observations in histories(1500):
        expected = is_linearizable(writes, observations)
        assert (first_violation(writes, observations) == "") == expected, (writes, observations)
        linearizable += expected
    assert 300 < linearizable < 1200  # both answers are met often


def test_a_change_of_the_current_version_must_not_be_rejected() -> None:
    writes = [Write(1, 0, 1), Write(2, 5, 6)]
    assert "was rejected while" in first_violation(writes, [Observation(1, 2, 4, True)])
    # the next version may have taken effect before the rejection
    assert first_violation(writes, [Observation(1, 2, 5, True)]) == ""
    # the version was not known to be in force yet
    assert first_violation(writes, [Observation(1, 0.5, 0.7, True)]) == ""
    assert "was rejected while" in first_violation(writes, [Observation(2, 7, 8, True)])


def test_a_read_of_a_version_that_was_never_written() -> None:
    assert "never written" in first_violation([Write(1, 0, 1)], [Observation(7, 2, 3)])


# Orders.


def test_two_accepted_orders_with_one_parent() -> None:
    record = make_record()
    add_order(record, 1, 0, (0, 1, 200))
    add_order(record, 2, 1, (2, 3, 200))
    add_order(record, 4, 1, (2, 3, 200))
    assert any("came between" in line for line in judge.check_order_chain(record))
    record.orders["v4"].submissions = [Submission("a", 2, 3, 412)]
    assert judge.check_order_chain(record) == []


def test_two_accepted_orders_with_one_version() -> None:
    record = make_record()
    add_order(record, 2, 0, (2, 3, 200), marker="v2-a")
    add_order(record, 2, 0, (2, 3, 200), marker="v2-b")
    assert any("one version number" in line for line in judge.check_order_chain(record))


def test_an_order_both_accepted_and_rejected() -> None:
    record = make_record()
    add_order(record, 1, 0, (0, 1, 200), (50, 51, 412))
    assert "rejected when it was sent again" in judge.check_order_chain(record)[0]
    record = make_record()
    add_order(record, 1, 0, (0, 1, 412))
    record.reads.append(Read("a", 5, 6, 1, "v1"))
    assert "was rejected, then accepted" in judge.check_order_chain(record)[0]
    record = make_record()  # seen at an ingress only
    add_order(record, 1, 0, (0, 1, 400))
    record.ledger.executions.append(Execution("r", "s", "v1", "", "GET", "/", 3.0))
    assert "was rejected, then accepted" in judge.check_order_chain(record)[0]


def test_unclear_answers_are_no_violation() -> None:
    record = make_record()
    add_order(record, 1, 0, (0, 1, 0), (2, 3, 0), (4, 5, 200), (9, 9.1, 0))
    assert judge.check_order_chain(record) + judge.check_reads(record, None) == []


def test_a_read_older_than_an_acknowledged_version() -> None:
    record = make_record()
    add_order(record, 1, 0, (0, 1, 200))
    add_order(record, 2, 1, (2, 3, 200))
    record.reads.append(Read("a", 2.5, 4, 1, "v1"))  # sent before the acknowledgement
    assert judge.check_reads(record, None) == []
    record.reads.append(Read("b", 3.5, 4, 1, "v1"))
    assert len(judge.check_reads(record, None)) == 1
    record.reads.pop()
    assert judge.check_reads(record, Observation(2, 9, 10)) == []
    assert judge.check_reads(record, Observation(1, 9, 10)) != []  # the read after recovery


def test_one_version_read_with_two_contents() -> None:
    record = make_record()
    add_order(record, 1, 0, (0, 1, 200))
    record.reads.append(Read("a", 2, 3, 1, "v1-other"))
    assert "was read as" in judge.check_reads(record, None)[0]


# Ingresses.


def add_probe(record: Record, at: float, marker: str, incarnation: int = 1) -> None:
    name = f"p{at}"
    record.probes.append(Probe("edge-1", incarnation, name, at))
    record.ledger.executions.append(Execution(name, "s", marker, "", "GET", "/", at))


def test_ingresses_serve_acknowledged_versions_and_never_go_back() -> None:
    record = make_record()
    add_order(record, 1, 0, (0, 1, 200))
    add_order(record, 2, 1, (2, 3, 200))
    add_probe(record, 1.5, "v1")
    add_probe(record, 2.5, "v2")
    assert judge.check_served_versions(record) == []
    add_probe(record, 2.7, "v1")
    assert judge.check_served_versions(record) == ["edge-1: went back to version 1"]
    record.probes.pop()
    add_probe(record, 3.5, "v1", incarnation=2)
    assert judge.check_served_versions(record) == [
        "edge-1: served version 1 although 2 was acknowledged before"
    ]


def add_arrival(record: Record, server: str, at: float, zone: str = "z") -> None:
    record.ledger.arrivals.append(Arrival(f"r{at}", "tiles", server, False, at, zone))


@pytest.mark.parametrize(
    ("late", "fault", "is_violated"),
    [
        (1.0, None, False),
        (2.0, None, True),
        (2.0, (8.0, 8.5), False),
        (2.0, (0.0, 20.0), True),
        (9.5, (8.0, 8.5), True),
        (2.0, (0.0, 8.5), False),
    ],
)
def test_acknowledged_drains_are_honoured(
    late: float, fault: tuple[float, float] | None, is_violated: bool
) -> None:
    """Also during a long partition; around the begin and end of a fault the longer bound holds."""
    record = make_record()
    record.drained.append(("s", 10.0))
    add_arrival(record, "s", 10.0 + late)
    if fault:
        record.faults.append(FaultInterval("cut", *fault))
    assert bool(judge.check_drains(record)) == is_violated


def test_evacuated_zones_receive_no_requests() -> None:
    record = make_record()
    record.evacuations.append(Evacuation("z", 10.0, 15.0))
    for at in (9.0, 10.5, 15.2):
        add_arrival(record, "s", at)
    add_arrival(record, "t", 12.0, "other")
    assert judge.check_evacuations(record) == []
    add_arrival(record, "s", 12.0)
    assert len(judge.check_evacuations(record)) == 1


# Servers and isolated nodes.


def add_heartbeats(record: Record, begin: float, end: float, address: str = "a") -> None:
    for n in range(round((end - begin) / 0.3)):
        at = begin + n * 0.3
        record.ledger.heartbeats.append(Heartbeat("s", "ready", address, at, at + 0.01))


def add_fleet_statuses(record: Record, absences: list[tuple[float, float]]) -> None:
    for n in range(100):
        at = n * 0.2
        ready = set() if any(a <= at < b for a, b in absences) else {"s"}
        record.fleet_statuses.append(FleetStatus(at, at + 0.05, "a", [], ready, {}))


@pytest.mark.parametrize(
    ("absences", "is_violated"),
    [
        ([], False),
        ([(10, 11)], False),
        ([(10, 14)], True),
        ([(0, 5)], False),
        ([(8, 8.4), (11, 11.4)], False),
        ([(8, 8.4), (11, 11.4), (14, 14.4)], True),
    ],
)
def test_servers_with_steady_heartbeats_must_stay_listed(
    absences: list[tuple[float, float]], is_violated: bool
) -> None:
    record = make_record()
    add_heartbeats(record, 0, 20)
    add_fleet_statuses(record, absences)
    assert bool(judge.check_missing_servers(record)) == is_violated


def test_a_server_without_heartbeats_may_be_missing() -> None:
    record = make_record()
    add_heartbeats(record, 2, 12)
    add_heartbeats(record, 16, 20)
    add_fleet_statuses(record, [(0, 6), (12.5, 18)])  # (0, 6): it has only just started
    assert judge.check_missing_servers(record) == []


def test_an_isolated_node_must_give_no_quorum_answers() -> None:
    record = make_record()
    record.isolations.append(Isolation("a", 10, 30))
    add_heartbeats(record, 0, 14)
    add_heartbeats(record, 14, 29, address="b")
    record.reads.append(Read("a", 29.5, 30.5, 1))  # answered after the isolation
    assert judge.check_isolated_nodes(record) == []
    add_order(record, 1, 0, (20, 21, 412))
    assert len(judge.check_isolated_nodes(record)) == 1
