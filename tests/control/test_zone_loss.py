"""A zone fails together with the leader: requests within their quota are served again at once.

Also: a call to a leader that does not answer ends in time.
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
from tests.control.test_recovery import RecoverySimulation, SimulatedIngress, run_simulation
from tests.quota.test_quota import BOUNDS, SMALL_QUOTA, Fault, Simulation, random_faults, violations
from tests.quota.test_quota import SimulatedIngress as QuotaIngress
from tests.testing.control_calls import now
from tests.testing.control_cluster import ControlCluster, run_in_virtual_time, use_memory_cluster

ZONE = 5  # ingresses that fail with the leader


def test_a_call_without_an_answer_ends_at_its_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    use_memory_cluster(monkeypatch)

    async def scenario() -> None:
        cluster = ControlCluster(Path("silent"))
        await cluster.start_all()
        await asyncio.sleep(2.0)
        leader = cluster.leader()
        assert leader
        host = next(h for h in cluster.hosts if h != leader.settings.ip)
        cluster.partition(host, [*cluster.hosts, *(i.host for i in cluster.ingresses)])
        leader_client: LeaderClient = cluster.nodes[host].leader_client
        for within in [0.95, *(random.Random(1).uniform(0.05, 1.0) for _ in range(40))]:
            began = now()
            with pytest.raises(CallError):
                await leader_client.call(
                    pb.Envelope(operation_request=pb.OperationRequest(path=json.dumps(within))),
                    within,
                    0.4,
                )
            assert now() - began <= within + 1e-6

    run_in_virtual_time(scenario())


class SingleBusyIngress(Simulation):
    """Only one ingress has requests, of a tenant with a small quota; the last ZONE ingresses
    fail."""

    began = 0.0  # start of the new leader's term

    def spend(self, ingress: QuotaIngress) -> None:
        if ingress.name == "e0":
            super().spend(ingress)

    def request_quota(self, ingress: QuotaIngress) -> None:
        assert self.leadership
        left = self.leadership.grants.grant_quota(self.now, pb.QuotaRequest(tenant="t", amount=1.0))
        if left is not None and left >= 0.0:
            self.spent.append((self.now, 1.0))

    def begin_leadership(self, had_predecessor: bool) -> None:
        super().begin_leadership(had_predecessor)
        self.began = self.now

    def granted_units(self, since: float, until: float) -> float:
        """Units granted between these seconds of the new leader's term."""
        return sum(units for at, units in self.spent if since < at - self.began <= until)


LOST: list[Fault] = [(1.0, "partition", SMALL_QUOTA[2] - ZONE), (0.0, "leader", 0)]


@pytest.mark.parametrize("seed", range(4))
def test_quota_units_are_granted_within_a_second_of_a_new_leaders_term(seed: int) -> None:
    """Although some lease holders of the previous leader are unreachable and may spend their
    shares."""
    world = SingleBusyIngress(seed, quota=SMALL_QUOTA)
    world.run(LOST, 12.0)
    assert 5.0 < world.began < 8.0 and world.leadership
    assert world.granted_units(1.0, 4.0) > 0.75 * SMALL_QUOTA[0] * 3.0


def test_a_new_leaders_token_buckets_soon_allow_a_burst() -> None:
    world = SingleBusyIngress(1, quota=SMALL_QUOTA)
    world.spend = lambda ingress: None  # type: ignore[method-assign]
    world.run(LOST, 9.5)
    assert (
        world.leadership and world.leadership.grants.is_counting and world.now - world.began < 4.0
    )
    left = world.leadership.grants.grant_quota(
        world.now, pb.QuotaRequest(tenant="t", amount=SMALL_QUOTA[1])
    )
    assert left is not None and left >= 0.0


@pytest.mark.parametrize("spent_before", [False, True])
def test_if_nothing_was_spent_counting_waits_for_all_ingresses_and_begins_with_full_buckets(
    spent_before: bool,
) -> None:
    """Two ingresses held leases of the previous leader. `spent_before`: the first to contact the
    new one survived and may have spent its share; else it has restarted and is 0 ms old."""
    world = Simulation(1, quota=SMALL_QUOTA)
    leadership = Leadership(
        2, 10.0, True, EndpointRegistry(), NodeRegistry(), ["e0", "e1"], BOUNDS, 1.5
    )
    leadership.apply_state(world.state)

    def send_request(name: str, now: float, epoch: str, idle: int) -> None:
        node = pb.Node(name=name, incarnation="1", kind="edge", address="d")
        leadership.record_watch_request(now, pb.WatchRequest(node=node, epoch=epoch, idle_ms=idle))

    send_request("e0", 10.1, "1" if spent_before else "", 0)
    assert leadership.grants.is_counting == spent_before
    send_request("e1", 12.0, "", 1900)
    left = leadership.grants.grant_quota(12.1, pb.QuotaRequest(tenant="t", amount=SMALL_QUOTA[1]))
    assert left is not None and (left >= 0.0) == (not spent_before)


@pytest.mark.parametrize("seed", range(12))
def test_no_window_exceeds_the_quota_while_zones_and_leaders_fail(seed: int) -> None:
    """All ingresses spend as much as they are allowed to."""
    rng = random.Random(seed)
    kinds = (("partition", SMALL_QUOTA[2] - ZONE), ("leader", 0), ("reconnect", 0))
    lost = [(rng.uniform(0.0, 3.0), kind, who) for kind, who in kinds]
    world = Simulation(seed, quota=SMALL_QUOTA)
    world.run([*lost, *lost, *random_faults(seed, 2, SMALL_QUOTA[2])])
    assert violations(world) == []


def test_a_zone_of_100_ingresses_recovers_that_failed_with_the_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The other ingresses serve all the time: with leases, all remaining servers and counted
    quotas."""

    async def scenario(simulation: RecoverySimulation) -> None:
        await simulation.wait_until(simulation.has_recovered, 8.0)
        await asyncio.sleep(4.0)
        names = [n for n in simulation.ingresses if int(n[1:]) % 9 == 4]
        removed = {
            id: simulation.heartbeat_phases.pop(id)
            for id in list(simulation.heartbeat_phases)
            if int(id[1:]) % 9 == 4
        }
        for name in names:
            simulation.ingresses.pop(name).task.cancel()
        await asyncio.sleep(0.6)
        simulation.begin_term()  # the new leader, with an empty registry
        counted = await simulation.wait_until(
            lambda: simulation.require_leadership().grants.is_counting, 1.0
        )
        # The others keep their endpoints: the new leader does not report any server as gone yet.
        for id in removed:
            assert all(id in e.endpoint_states for e in simulation.ingresses.values())
        await simulation.wait_until(simulation.has_recovered, 5.0)
        assert counted < 1.0 and simulation.require_leadership().grants.is_counting
        simulation.heartbeat_phases |= removed
        simulation.ingresses |= {name: SimulatedIngress(simulation, name) for name in names}
        await simulation.wait_until(simulation.has_recovered, 5.0)
        await asyncio.sleep(1.0)
        assert (
            simulation.has_recovered()
            and simulation.require_leadership().grants.is_counting
            and not simulation.expired_leases
            and simulation.longest_tick_delay < 0.3
        )

    run_simulation(100, 1000, scenario, monkeypatch)
