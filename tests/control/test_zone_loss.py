"""A zone is lost together with the leader: requests within their quota are served again at once.

And a call to a leader that nobody answers ends in time.
"""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path

import pytest

from cairndale.control.leadership import Leadership
from cairndale.errors import CallError
from cairndale.registry.endpoints import EndpointRegistry
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.leader_client import LeaderClient
from tests.control.test_operations import now
from tests.control.test_recovery import Ingress as FleetIngress
from tests.control.test_recovery import World as Fleet
from tests.control.test_recovery import play as play_fleet
from tests.quota.test_quota import (
    BOUNDS,
    SMALL_QUOTA,
    Fault,
    SimulatedIngress,
    Simulation,
    random_faults,
    violations,
)
from tests.testing.control_cluster import World as Machines
from tests.testing.control_cluster import in_memory, play

ZONE = 5  # of the ingresses: those that are lost with the leader


def test_a_call_that_nobody_answers_ends_in_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    in_memory(monkeypatch)

    async def scene() -> None:
        world = Machines(Path("silent"))
        await world.begin()
        await asyncio.sleep(2.0)
        leader = world.leader()
        assert leader
        host = next(h for h in world.hosts if h != leader.settings.ip)
        world.part(host, [*world.hosts, *(i.host for i in world.ingresses)])
        leader_client: LeaderClient = world.cores[host].leader_client
        for within in [0.95, *(random.Random(1).uniform(0.05, 1.0) for _ in range(40))]:
            began = now()
            with pytest.raises(CallError):
                await leader_client.call(
                    pb.Envelope(operation_request=pb.OperationRequest(path=json.dumps(within))),
                    within,
                    0.4,
                )
            assert now() - began <= within + 1e-6

    play(scene())


class OneAsks(Simulation):
    """Only one ingress has requests, of a tenant with a small quota; the last ZONE of all are
    lost."""

    began = 0.0  # when the later leader's term did

    def spend(self, ingress: SimulatedIngress) -> None:
        if ingress.name == "e0":
            super().spend(ingress)

    def request_quota(self, ingress: SimulatedIngress) -> None:
        assert self.leadership
        left = self.leadership.grants.grant_quota(self.now, pb.QuotaRequest(tenant="t", amount=1.0))
        if left is not None and left >= 0.0:
            self.spent.append((self.now, 1.0))

    def begin_leadership(self, had_predecessor: bool) -> None:
        super().begin_leadership(had_predecessor)
        self.began = self.now

    def had(self, since: float, until: float) -> float:
        """Units, in these seconds of the later leader's term."""
        return sum(units for at, units in self.spent if since < at - self.began <= until)


LOST: list[Fault] = [(1.0, "partition", SMALL_QUOTA[2] - ZONE), (0.0, "leader", 0)]


@pytest.mark.parametrize("seed", range(4))
def test_a_quota_can_be_had_within_a_second_of_a_later_leaders_term(seed: int) -> None:
    """Though some that held leases of the leader before are not heard of, and may spend their
    parts."""
    world = OneAsks(seed, quota=SMALL_QUOTA)
    world.run(LOST, 12.0)
    assert 5.0 < world.began < 8.0 and world.leadership
    assert world.had(1.0, 4.0) > 0.75 * SMALL_QUOTA[0] * 3.0


def test_a_later_leaders_stores_hold_a_burst_before_long() -> None:
    world = OneAsks(1, quota=SMALL_QUOTA)
    world.spend = lambda ingress: None  # type: ignore[method-assign]
    world.run(LOST, 9.5)
    assert (
        world.leadership and world.leadership.grants.is_counting and world.now - world.began < 4.0
    )
    left = world.leadership.grants.grant_quota(
        world.now, pb.QuotaRequest(tenant="t", amount=SMALL_QUOTA[1])
    )
    assert left is not None and left >= 0.0


@pytest.mark.parametrize("told", [False, True])
def test_where_nobody_spent_anything_counting_waits_for_all_and_begins_with_full_stores(
    told: bool,
) -> None:
    """Of two that were killed with the leader one asks before it is 1 ms old. `told`: it lives
    on."""
    world = Simulation(1, quota=SMALL_QUOTA)
    leadership = Leadership(
        2, 10.0, True, EndpointRegistry(), NodeRegistry(), ["e0", "e1"], BOUNDS, 1.5
    )
    leadership.apply_state(world.state)

    def send_request(name: str, now: float, epoch: str, idle: int) -> None:
        node = pb.Node(name=name, incarnation="1", kind="edge", address="d")
        leadership.record_watch_request(now, pb.WatchRequest(node=node, epoch=epoch, idle_ms=idle))

    send_request("e0", 10.1, "1" if told else "", 0)
    assert leadership.grants.is_counting == told
    send_request("e1", 12.0, "", 1900)
    left = leadership.grants.grant_quota(12.1, pb.QuotaRequest(tenant="t", amount=SMALL_QUOTA[1]))
    assert left is not None and (left >= 0.0) == (not told)


@pytest.mark.parametrize("seed", range(12))
def test_no_window_sees_more_than_the_whole_as_zones_and_leaders_are_lost(seed: int) -> None:
    """All spend all that they may."""
    rng = random.Random(seed)
    kinds = (("partition", SMALL_QUOTA[2] - ZONE), ("leader", 0), ("reconnect", 0))
    lost = [(rng.uniform(0.0, 3.0), kind, who) for kind, who in kinds]
    world = Simulation(seed, quota=SMALL_QUOTA)
    world.run([*lost, *lost, *random_faults(seed, 2, SMALL_QUOTA[2])])
    assert violations(world) == []


def test_a_zone_of_100_returns_that_was_lost_with_the_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The others serve all along: by their leases, by all servers that are left, and by counted
    quotas."""

    async def scene(world: Fleet) -> None:
        await world.until(world.returned, 8.0)
        await asyncio.sleep(4.0)
        names = [n for n in world.ingresses if int(n[1:]) % 9 == 4]
        gone = {id: world.up.pop(id) for id in list(world.up) if int(id[1:]) % 9 == 4}
        for name in names:
            world.ingresses.pop(name).task.cancel()
        await asyncio.sleep(0.6)
        world.begin()  # the next leader, which has heard of no server
        counted = await world.until(lambda: world.require_leadership().grants.is_counting, 1.0)
        # those that are left serve by what they know: nobody is told that others are gone
        for id in gone:
            assert all(id in e.servers for e in world.ingresses.values())
        await world.until(world.returned, 5.0)
        assert counted < 1.0 and world.require_leadership().grants.is_counting
        world.up |= gone
        world.ingresses |= {name: FleetIngress(world, name) for name in names}
        await world.until(world.returned, 5.0)
        await asyncio.sleep(1.0)
        assert (
            world.returned()
            and world.require_leadership().grants.is_counting
            and not world.lapsed
            and world.longest < 0.3
        )

    play_fleet(100, 1000, scene, monkeypatch)
