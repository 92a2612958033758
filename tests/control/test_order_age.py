"""Orders for a zone that arrive late, or around a change of leader, in virtual time."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from pathlib import Path

import pytest

from cairndale.control.call_origin import ORDER_VALIDITY_S
from cairndale.control.follower import Follower
from cairndale.errors import CallTimeoutError
from tests.testing.control_calls import (
    leader_state,
    now,
    send_zone_order,
)
from tests.testing.control_cluster import (
    ControlCluster,
    run_in_virtual_time,
)

pytestmark = pytest.mark.usefixtures("memory_cluster")


async def late_order(seed: int, violations: list[str]) -> None:
    """A node's copy of an order is under way for long; the order is sent again through another
    node, and after its answer the opposite is ordered."""
    random.seed(seed)
    cluster = ControlCluster(Path("late"))
    await cluster.start_all()
    await asyncio.sleep(1.0)
    leader = cluster.leader()
    assert leader
    near = leader.settings.ip
    far = random.choice([host for host in cluster.hosts if host != near])
    late, newer = random.choice([("Drain.Finish", "Drain.Begin"), ("Drain.Begin", "Drain.Finish")])
    if late == "Drain.Finish":
        await send_zone_order(cluster, "Drain.Begin", "z2", [near])
        await asyncio.sleep(7.0)
    # The copy to the leader, and copies through peers, arrive after the newer order.
    cluster.network.extra_latency["operation_request"] = random.uniform(1.2, 9.0)
    sent_at = now()
    attempt = asyncio.get_running_loop().create_task(cluster.call(far, "POST", f"{late}/z2"))
    await asyncio.sleep(0.02)
    cluster.network.extra_latency.clear()
    with suppress(TimeoutError):
        async with asyncio.timeout(1.0):
            status, _ = await asyncio.shield(attempt)
            if status != 503 or now() - sent_at < 0.79:
                violations.append(f"{status} after {now() - sent_at:.2f} s, the copy on its way")
    await send_zone_order(cluster, late, "z2", [near])
    await asyncio.sleep(random.choice([0.0, 0.1, 7.0]))
    await send_zone_order(cluster, newer, "z2", [near])
    await asyncio.sleep(20.0)
    want = {"z2": 1} if newer == "Drain.Begin" else {}
    if (have := leader_state(cluster).evacuated) != want:
        violations.append(f"{late}, then {newer}: evacuated are {have}, not {want}")


# Guards against an order that a partition has held up between control nodes and that undoes a newer
# order for its zone (review/1).
@pytest.mark.parametrize("seed", range(8))
def test_late_copy_of_an_order_does_not_undo_a_newer_order(seed: int) -> None:
    violations = list[str]()
    run_in_virtual_time(late_order(seed, violations))
    assert not violations


async def answer_within_a_second(cluster: ControlCluster, host: str, call: str) -> int:
    with suppress(TimeoutError):
        async with asyncio.timeout(1.0):
            return (await cluster.call(host, "POST", f"{call}/z2"))[0]
    return 0


async def order_before_the_new_leader_is_known(violations: list[str]) -> None:
    """Orders at followers, at random times around a change of leader."""
    cluster = ControlCluster(Path("soon"))
    await cluster.start_all()
    for _ in range(6):
        leader = cluster.leader()
        assert leader
        host = leader.settings.ip
        await cluster.crash(host)
        await asyncio.sleep(random.uniform(0.0, 0.4))
        begun = now()
        for call in ("Drain.Begin", "Drain.Finish"):
            while (
                await answer_within_a_second(cluster, random.choice(list(cluster.nodes)), call)
            ) != 200:
                await asyncio.sleep(0.05)
        if now() - begun > 6.0:
            violations.append(f"two orders took {now() - begun:.1f} s")
        await cluster.start(host)
        await cluster.wait_until(cluster.leader)
        await asyncio.sleep(7.0)
        if leader_state(cluster).evacuated:
            violations.append(f"evacuated are {leader_state(cluster).evacuated}")


@pytest.mark.parametrize("seed", range(2))
def test_orders_are_acknowledged_soon_after_a_change_of_leader(seed: int) -> None:
    random.seed(seed)
    violations = list[str]()
    run_in_virtual_time(order_before_the_new_leader_is_known(violations))
    assert not violations


async def order_whose_call_to_the_leader_fails(seconds: list[float]) -> None:
    """The call may have reached the leader, and fails at once."""
    cluster = ControlCluster(Path("fails"))
    await cluster.start_all()
    await asyncio.sleep(1.0)
    leader = cluster.leader()
    assert leader
    host = next(host for host in cluster.hosts if host != leader.settings.ip)
    begun = now()
    status, _ = await cluster.call(host, "POST", "Drain.Begin/z2")
    seconds += [now() - begun] if status == 503 else []


# Guards against a caller that orders the opposite while a copy of its order may still take effect.
def test_an_order_of_unknown_outcome_is_answered_once_no_copy_can_take_effect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def fail(*_: object) -> None:
        raise CallTimeoutError("on purpose")

    monkeypatch.setattr(Follower, "call", fail)
    seconds = list[float]()
    run_in_virtual_time(order_whose_call_to_the_leader_fails(seconds))
    assert seconds == [pytest.approx(ORDER_VALIDITY_S)]
