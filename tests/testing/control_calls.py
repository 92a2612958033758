"""Calls of operators and servers to a `ControlCluster`, and a model of the configuration."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from itertools import pairwise

from cairndale.configuration.state import REJECTED, State
from tests.testing.control_cluster import (
    ControlCluster,
    configuration,
)

# The reference model: a register that is changed by configuration changes, each based on its parent
# and each applied once.


@dataclass
class CallAttempt:
    """One attempt of a call, its answer and its start and end times."""

    kind: str  # "read" or "order"
    gen: int  # that was read, or that the change creates
    started_at: float
    ended_at: float
    status: int


@dataclass
class CallHistory:
    attempts: list[CallAttempt] = field(default_factory=list)
    sent: dict[int, tuple[int, bytes]] = field(default_factory=dict)  # by gen: parent and body

    def violations(self, chain: list[int]) -> list[str]:
        """Violations of linearizability.

        `chain`: generations that were in force, in order; the first is 0.
        """
        wrong, position = [], {gen: n for n, gen in enumerate(chain)}
        for older, newer in pairwise(chain):
            if self.sent[newer][0] != older:
                wrong.append(f"{newer} is in force on top of {older}, not of {self.sent[newer][0]}")
        orders = [t for t in self.attempts if t.kind == "order"]
        reads = [t for t in self.attempts if t.kind == "read" and t.status in (200, 404)]
        for change in orders:
            if change.status == 200 and change.gen not in position:
                wrong.append(f"{change.gen} was acknowledged, and was never in force")
            if 400 <= change.status < 500 and change.gen in position:
                wrong.append(f"{change.gen} was rejected with {change.status}, and was in force")
        known = [(t.started_at, t.ended_at, position[t.gen]) for t in reads]
        known += [
            (t.started_at, t.ended_at, position[t.gen])
            for t in orders
            if t.status == 200 and t.gen in position
        ]
        for begun, _, at in known:
            for _, ended, before in known:
                if (
                    ended < begun
                    and before > at
                    and (begun, at) in {(r.started_at, position[r.gen]) for r in reads}
                ):
                    wrong.append(
                        f"{chain[at]} was read at {begun:.2f}, {chain[before]} known at {ended:.2f}"
                    )
        first_sent = {
            g: min(t.started_at for t in orders if t.gen == g) for g in {t.gen for t in orders}
        }
        for one_read in reads:
            if one_read.gen in first_sent and one_read.ended_at < first_sent[one_read.gen]:
                wrong.append(f"{one_read.gen} was read before it was sent")
        return wrong


def now() -> float:
    return asyncio.get_running_loop().time()


def leader_state(cluster: ControlCluster) -> State:
    leader = cluster.leader()
    assert leader
    return leader.state


def committed_generations(cluster: ControlCluster, history: CallHistory) -> list[int]:
    """The generations that were in force, by the idempotency records of the state."""
    gens = [gen for gen in leader_state(cluster).idempotency_records.values() if gen != REJECTED]
    return [0, *gens]


async def send_change(
    cluster: ControlCluster, history: CallHistory, host: str, gen: int, call: str = "Config.Replace"
) -> int:
    """One attempt of an operator, who waits one second for the answer; 0 without one."""
    begun, status = now(), 0
    try:
        async with asyncio.timeout(1.0):
            status, _ = await cluster.call(host, "POST", call, history.sent[gen][1])
    except (TimeoutError, KeyError):
        pass
    history.attempts.append(CallAttempt("order", gen, begun, now(), status))
    return status


async def send_read(cluster: ControlCluster, history: CallHistory, host: str) -> int:
    begun = now()
    try:
        async with asyncio.timeout(1.0):
            status, body = await cluster.call(host, "GET", "Config.Read")
    except (TimeoutError, KeyError):
        return 0
    history.attempts.append(CallAttempt("read", body.get("gen", 0), begun, now(), status))
    return status


def first_change() -> CallHistory:
    return CallHistory(sent={1: (0, configuration(1, 0))})


def is_final(status: int) -> bool:
    return 200 <= status < 500


async def submit_change(
    cluster: ControlCluster,
    history: CallHistory,
    gen: int,
    hosts: list[str],
    pause: float = 0.1,
    within: float = 30.0,
) -> int:
    """Sends a change to random nodes until there is a final answer; 0 if there is none in time."""
    until = now() + within
    while now() < until:
        if is_final(status := await send_change(cluster, history, random.choice(hosts), gen)):
            return status
        await asyncio.sleep(pause)
    return 0


async def run_server(
    cluster: ControlCluster, id: str, zone: str, home: str, hosts: list[str]
) -> None:
    """Sends heartbeats as servers do: without an answer, to another node at once."""
    at, seq = home, 0
    while True:
        seq += 1
        began = now()
        while await cluster.send_heartbeat(at, id, seq, zone) != 200:
            at = random.choice(hosts)
            await asyncio.sleep(0.01)
        await asyncio.sleep(max(0.0, 1.5 - (now() - began)))


async def send_zone_order(cluster: ControlCluster, call: str, zone: str, hosts: list[str]) -> None:
    """Retries a call for a zone until it is answered, and acknowledges the answer."""
    for _ in range(60):
        host = random.choice(hosts) if hosts else cluster.hosts[0]
        target = f"/-/{call}/{zone}"
        try:
            async with asyncio.timeout(1.0):
                answer = await cluster.nodes[host].api.control("POST", target, b"")
        except TimeoutError:
            continue
        if answer[0] == 200:
            leader = cluster.leader()
            if leader and leader.leadership:  # in place of the caller's receipt
                leader.leadership.evacuation_log.acknowledge(zone, json.loads(answer[1])["order"])
            return
        hosts = [*hosts, *cluster.hosts]
        await asyncio.sleep(0.05)


async def restart_all(cluster: ControlCluster) -> None:
    for host in list(cluster.nodes):
        await cluster.crash(host)
    await asyncio.sleep(0.8)
    for host in cluster.hosts:
        await cluster.start(host)
    await cluster.wait_until(cluster.leader)
