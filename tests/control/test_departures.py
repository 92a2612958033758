"""Departures that servers have announced survive the loss of leaders and of all control nodes."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest

from tests.testing.control_calls import (
    first_change,
    now,
    restart_all,
    run_server,
    submit_change,
)
from tests.testing.control_cluster import (
    ControlCluster,
    run_in_virtual_time,
)

pytestmark = pytest.mark.usefixtures("memory_cluster")


# An acknowledged deregistration survives the leader that received it.


async def deregister_and_crash(number: int, by: str, violations: list[str]) -> None:
    """A server's deregistration is acknowledged, and the leader crashes at that moment."""
    random.seed(number)
    cluster, loop = ControlCluster(Path("leave")), asyncio.get_running_loop()
    await cluster.start_all()
    assert await submit_change(cluster, first_change(), 1, cluster.hosts) == 200
    others = [
        loop.create_task(run_server(cluster, f"s{n}", "z1", cluster.hosts[n], cluster.hosts))
        for n in range(4)
    ]
    for seq in range(1, 4):
        assert await cluster.send_heartbeat(random.choice(cluster.hosts), "s9", seq) == 200
        await asyncio.sleep(1.4 + 0.2 * random.random())
    leader = cluster.leader()
    assert leader
    crashed = leader.settings.ip
    address = (
        crashed if by == "leader" else random.choice([h for h in cluster.hosts if h != crashed])
    )
    status = 0
    while status != 200:
        status, _ = await cluster.call(address, "POST", "Instances.Deregister/s9")
    await cluster.crash(crashed)
    await cluster.wait_until(lambda: cluster.leader() is not None)
    taken_over = now()
    while now() < taken_over + 6.0:
        if (
            (new_leader := cluster.leader())
            and (known := new_leader.endpoint_registry.endpoints.get("s9"))
            and known.state == "ready"
        ):
            violations.append(f"ready {now() - taken_over:.1f} s after the takeover")
            break
        await asyncio.sleep(0.1)
    for task in others:
        task.cancel()


@pytest.mark.parametrize("by", ["leader", "follower"])
@pytest.mark.parametrize("number", range(8))
def test_an_acknowledged_deregistration_survives_its_leader(number: int, by: str) -> None:
    violations = list[str]()
    run_in_virtual_time(deregister_and_crash(number, by, violations))
    assert not violations


# Departures that were acknowledged survive the loss of all control processes at once.


async def departure_and_kill_of_all(seed: int, ends: bool, violations: list[str]) -> None:
    """A server's departure is acknowledged, all control nodes are killed, once or more often, and a
    heartbeat that was made before the departure arrives late."""
    random.seed(seed)
    cluster = ControlCluster(Path("depart"))
    await cluster.start_all()
    assert await submit_change(cluster, first_change(), 1, cluster.hosts) == 200
    for seq in range(1, 4):
        assert await cluster.send_heartbeat(random.choice(cluster.hosts), "s9", seq) == 200
        await asyncio.sleep(1.5)
    host, status = random.choice(cluster.hosts), 0
    while status != 200:
        if ends:
            status, _ = await cluster.call(host, "POST", "Instances.Deregister/s9")
        else:
            status = await cluster.send_heartbeat(host, "s9", 5, state="draining")
    await asyncio.sleep(random.choice([0.0, 0.2, 40.0]))
    for _ in range(random.randint(1, 3)):
        await restart_all(cluster)
        await asyncio.sleep(random.uniform(0.0, 6.0))
        await cluster.send_heartbeat(random.choice(cluster.hosts), "s9", 4)
        await asyncio.sleep(random.uniform(0.0, 1.0))
        leader = cluster.leader()
        assert leader
        known = leader.endpoint_registry.endpoints.get("s9")
        if known and known.state == "ready":
            violations.append("ready again")


# Guards against departures that are kept in memory only: a server that has left gets requests
# again after a kill of the core (review/2).
@pytest.mark.parametrize("ends", [True, False], ids=["ended", "draining"])
@pytest.mark.parametrize("seed", range(4))
def test_an_acknowledged_departure_survives_a_kill_of_all(seed: int, ends: bool) -> None:
    violations = list[str]()
    run_in_virtual_time(departure_and_kill_of_all(seed, ends, violations))
    assert not violations


async def end_told_at_the_kill(violations: list[str]) -> None:
    """All control nodes are killed before data-plane nodes are told of an acknowledged end."""
    cluster = ControlCluster(Path("tell"))
    await cluster.start_all()
    assert await submit_change(cluster, first_change(), 1, cluster.hosts) == 200
    assert await cluster.send_heartbeat(cluster.hosts[0], "s9", 1) == 200
    assert (await cluster.call(cluster.hosts[1], "POST", "Instances.Deregister/s9"))[0] == 200
    await restart_all(cluster)
    leader = cluster.leader()
    assert leader and leader.leadership
    epoch = leader.leadership.epoch(now())
    told = [e.state for e in leader.endpoint_registry.changed_since(0) if e.id == "s9"]
    if told != ["gone"] or not epoch.endswith("~"):
        violations.append(f"data-plane nodes are told {told} in epoch {epoch}")


def test_a_leader_after_a_kill_of_all_tells_of_the_ends_at_once() -> None:
    violations = list[str]()
    run_in_virtual_time(end_told_at_the_kill(violations))
    assert not violations
