"""Soak of changes of keys, hosts and names: real processes under faults, and departing servers.

`python -m cairndale.chaos.change_soak SEED [COUNT] [--length S] [--edges N]`. Operators send random
series of changes, often the next one at once, two on the same parent, or invalid ones. Meanwhile
each ingress gets requests that show by which configuration it handles them; servers join, announce
their departure and serve on; an ingress joins; processes are killed, restarted, cut off, frozen and
slowed down. The checks: `change_judge.py`, `judge.check_drains`, and what is read back.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from cairndale.chaos import judge
from cairndale.chaos.change_judge import Probe, change_violations
from cairndale.chaos.change_model import NEVER, Content, Version, handling
from cairndale.chaos.change_series import (
    Change,
    ChangeSeries,
    draw_request,
    unchanged_routes,
)
from cairndale.chaos.faults import FaultInjector, slow_down
from cairndale.chaos.records import Record
from cairndale.chaos.relayed import RelayedWorld
from cairndale.chaos.soak_runner import parse_options, run_and_keep_logs, run_seeds
from cairndale.chaos.standins import Server

DEFAULT_EDGES = 3
DEFAULT_LENGTH_S = 15.0
READY_WITHIN_S = 30.0
CONTACT_S = 4.0  # `contact`: after which machines know what was acknowledged
DRAIN_S = 3.0  # `drain` in the settings of the processes
CALL_TIMEOUT_S = 1.0
ORDER_WITHIN_S = 15.0
GENERATION_STEPS = (1, 2, 7)
PROBE_PAUSE_S = 0.02
END_PROBES = 40  # of each ingress
UNCHANGED_ROUTES = 120  # beside which a change is small, so that ingresses get it as a delta
FAULT_PAUSE_S = (0.3, 2.0)
INGRESS_RESTART_PAUSE_S = (0.5, 3.0)
ISOLATION_S = (1.0, 8.0)  # less and more than a lease
FAULT_KINDS = (
    "cut-leader",
    "cut-follower",
    "cut-core",
    "cut-one-way",
    "cut-some",
    *["cut-ingress"] * 4,  # the one that may serve by an older configuration
    "kill",
    "kill-leader",
    "stop-leader",
    "kill-core",
    "kill-all",
    "freeze-leader",
    "freeze",
    "wipe",
)
# Ids that a field can carry, and that are not letters and digits alone.
ODD_SERVER_IDS = ("i-Zürich", "i a", "i%41", 'i"q";', "i/x?y#z", "i" * 200)


@dataclass(frozen=True, slots=True)
class ChangeSoakPlan:
    """How large a soak is: data-plane nodes, and seconds of load and faults."""

    edges: int = DEFAULT_EDGES
    length_s: float = DEFAULT_LENGTH_S


@dataclass
class ChangeSoak(RelayedWorld):
    """One run; `seed` determines the changes, the faults and their pauses."""

    seed: int = 0
    plan: ChangeSoakPlan = field(default_factory=ChangeSoakPlan)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.cores, self.edges, self.servers = self.rng.choice((3, 5)), self.plan.edges, 2
        super().__post_init__()
        self.series = ChangeSeries(random.Random(f"changes {self.seed}"))
        self._request_rng = random.Random(f"requests {self.seed}")
        self.record = Record(self.ledger)
        self.probes: list[Probe] = []
        self.versions: list[Version] = []
        self.actions: list[str] = []
        self.last_gen = 0
        self._late_heartbeats: list[asyncio.Task[None]] = []
        self._until = 0.0
        # The last ingress joins later, where there is another one.
        self.joining = f"edge-{self.edges}" if self.edges > 1 else ""
        if self.joining:
            self.machines[self.joining].is_deployed = False

    @property
    def in_force(self) -> Version:
        """The version that was in force last, as far as operators know."""
        return max((v for v in self.versions if v.acknowledged_at < NEVER), key=lambda v: v.gen)

    def now(self) -> float:
        """Seconds on the loop's clock."""
        return asyncio.get_running_loop().time()

    async def run(self) -> list[str]:
        """Run the soak; return the violations, a line each."""
        await self.begin()
        try:
            await self._send_first_configuration()
            await self.ready(self.edges - bool(self.joining), READY_WITHIN_S)
        except TimeoutError as error:
            return [f"the system did not start: {error}"]
        self._until = self.now() + self.plan.length_s
        injector = FaultInjector(self, self.record, self.rng, self._until)
        platform = asyncio.ensure_future(injector.supervise())
        series = [self._operate(), self._join_and_leave(), self._join_ingress()]
        series += [self._inject_faults(injector), self._slow_down(injector)]
        series += [self._restart_ingresses(injector), self._isolate_ingresses(injector)]
        tasks = [asyncio.ensure_future(one) for one in series]
        probes = [
            asyncio.ensure_future(self._probe(name))
            for name, machine in self.machines.items()
            if not machine.core
        ]
        try:
            async with asyncio.timeout(self.plan.length_s + 3 * READY_WITHIN_S):
                await asyncio.gather(*tasks)
                await self.ready(self.edges, READY_WITHIN_S)
                await asyncio.sleep(CONTACT_S)
                await self._check_read()
                await self._check_end()
        except TimeoutError as error:
            self.violations.append(f"not recovered in time: {error}; {injector.fault_log[-3:]}")
        finally:
            tasks += [*probes, *self._late_heartbeats, platform]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        self.actions += injector.fault_log
        return self.violations + self._judge()

    def _judge(self) -> list[str]:
        services = {server.id: server.service for server in self.started_servers}
        found = list(change_violations(self.probes, self.versions, self.ledger, services))
        drains = judge.check_drains(self.record, calm_bound_s=DRAIN_S)
        return found + drains + self.verdict() + self.record.unexpected_exits

    # Operators.

    def _first_content(self) -> Content:
        content = self.content()
        content["routes"] += unchanged_routes(UNCHANGED_ROUTES)
        for tenant in content["tenants"]:
            tenant |= {"ratePerS": 0, "burst": 0}
        return content

    async def _send_first_configuration(self) -> None:
        content = self._first_content()
        change = Change("first", "Replace", dict(content), content)
        await self._send(change, self._new_version(change), parent=0)

    def _new_version(self, change: Change) -> Version:
        self.last_gen += self.series.rng.choice(GENERATION_STEPS)
        content = change.content | {"gen": self.last_gen}
        return Version(self.last_gen, content, self.now())

    async def _operate(self) -> None:
        """Send one change after the other, often at once."""
        rng = self.series.rng
        while self.now() < self._until:
            choice = rng.random()
            if choice < 0.1:
                await self._race()
            else:
                change = self.series.next(self.in_force.content)
                await self._send(change, self._new_version(change), self.in_force.gen)
            if choice > 0.8:
                await self._check_read()
            if rng.random() < 0.5:
                await asyncio.sleep(rng.uniform(0.0, 1.0))

    async def _race(self) -> None:
        """Two operators send changes on top of the same version: at most one wins."""
        parent = self.in_force
        changes = [self.series.next(parent.content, invalid_share=0.0) for _ in range(2)]
        versions = [self._new_version(change) for change in changes]
        statuses = await asyncio.gather(
            *(
                self._send(change, version, parent.gen, is_contested=True)
                for change, version in zip(changes, versions, strict=True)
            )
        )
        if statuses == [200, 200]:
            self.violations.append(f"gens {[v.gen for v in versions]} were both acknowledged")

    async def _send(
        self, change: Change, version: Version, parent: int, is_contested: bool = False
    ) -> int:
        """Send a change until there is a clear answer; its status, 0 without one."""
        is_certain = all(v.acknowledged_at < NEVER for v in self.versions)
        if change.is_valid:
            self.versions.append(version)
        body = change.body | {"gen": version.gen, "parent": parent}
        try:
            status, answer = await self.order(
                "POST", f"Config.{change.call}", body, ORDER_WITHIN_S, CALL_TIMEOUT_S
            )
        except TimeoutError:
            status, answer = 0, None
        self.actions.append(f"gen {version.gen} {change.name} by {change.call}: {status}")
        if status == 200:
            version.acknowledged_at = self.now()
        elif status and change.is_valid:
            self.versions.remove(version)
        expected = (200,) if change.is_valid else (400, 412)
        may_be_late = status == 412 and (is_contested or not is_certain)
        if status and status not in expected and not may_be_late:
            self.violations.append(f"{self.actions[-1]} {answer}")
        if status in (0, 412):
            await self._check_read()  # operators go on from what is in force
        return status

    async def _check_read(self) -> None:
        """Read the configuration: it is no older than what was acknowledged, and as it was sent."""
        acknowledged = self.in_force.gen if self.versions else 0
        try:
            _, content = await self.order("GET", "Config.Read", None, READY_WITHIN_S)
        except TimeoutError:
            self.violations.append("the configuration is not read back")
            return
        gen = content.get("gen", 0)
        version = next((v for v in self.versions if v.gen == gen), None)
        if gen < acknowledged:
            self.violations.append(f"gen {gen} is read, gen {acknowledged} was acknowledged")
        elif version is None or content != version.content:
            sent = version.content if version else {}
            parts = [part for part in {**sent, **content} if content.get(part) != sent.get(part)]
            self.violations.append(f"gen {gen} is read otherwise than it was sent: {parts}")
        else:
            version.acknowledged_at = min(version.acknowledged_at, self.now())

    # Servers and ingresses.

    async def _join_and_leave(self) -> None:
        """Servers join, announce their departure, serve on, and an earlier heartbeat comes late."""
        number = 0
        while self.now() < self._until - DRAIN_S:
            number += 1
            id = f"{self.rng.choice(ODD_SERVER_IDS)}-{number}" if self.rng.random() < 0.3 else ""
            service, zone = self.rng.choice(self.services), self.rng.choice(["north-a", "south-a"])
            server = await self.add_server(service, zone, id)
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            body = server.heartbeat_body()
            await server.leave(by_ending=self.rng.random() < 0.5)
            self.record.drained.append((server.id, self.now()))
            server.state = "draining"
            late = asyncio.create_task(self._send_late_heartbeats(server, body))
            self._late_heartbeats.append(late)

    async def _send_late_heartbeats(self, server: Server, body: bytes) -> None:
        for _ in range(self.rng.randint(0, 3)):
            await asyncio.sleep(self.rng.uniform(0.0, 1.5))
            await server.send_late_heartbeat(body, CALL_TIMEOUT_S)

    async def _join_ingress(self) -> None:
        if self.joining:
            await asyncio.sleep(self.rng.uniform(0.2, 0.7) * self.plan.length_s)
            self.machines[self.joining].is_deployed = True
            self.start(self.joining)

    # Faults.

    async def _inject_faults(self, injector: FaultInjector) -> None:
        while self.now() < self._until:
            await asyncio.sleep(self.rng.uniform(*FAULT_PAUSE_S))
            await injector.run(self.rng.choice(FAULT_KINDS))

    async def _slow_down(self, injector: FaultInjector) -> None:
        while self.now() < self._until:
            await asyncio.sleep(self.rng.uniform(*FAULT_PAUSE_S))
            await slow_down(injector)

    async def _restart_ingresses(self, injector: FaultInjector) -> None:
        """An ingress that has just started knows nothing of earlier configurations."""
        while self.now() < self._until:
            await asyncio.sleep(self.rng.uniform(*INGRESS_RESTART_PAUSE_S))
            signal_number = self.rng.choice([signal.SIGKILL, signal.SIGTERM])
            victim = self.rng.choice(injector.edges())
            async with injector.record_fault("restart", [victim]):
                await self.kill(victim, signal_number, within=READY_WITHIN_S)  # it may be frozen
                injector.start(victim)

    async def _isolate_ingresses(self, injector: FaultInjector) -> None:
        """An ingress that reaches no other process has to stop before a change is acknowledged."""
        while self.now() < self._until:
            await asyncio.sleep(self.rng.uniform(*FAULT_PAUSE_S))
            victim = self.rng.choice(injector.edges())
            others = [*injector.cores(), *(name for name in injector.edges() if name != victim)]
            duration = injector.duration(*ISOLATION_S)
            await injector.partition("isolate-ingress", victim, others, "both", duration)

    # Clients.

    async def _probe(self, name: str) -> None:
        """Send an ingress one request after the other."""
        machine, address = self.machines[name], self.edge(name)
        while True:
            await asyncio.sleep(PROBE_PAUSE_S)
            if machine.is_deployed:
                await self._send_probe(name, machine.starts, address)

    async def _send_probe(self, name: str, incarnation: int, address: str) -> Probe:
        request = draw_request(self._request_rng)
        attempt = await self.request(
            request.method, request.path, request.key, at=address, Host=request.host
        )
        probe = Probe(name, incarnation, request, attempt, self.now())
        self.probes.append(probe)
        return probe

    async def _check_end(self) -> None:
        """At the end each ingress serves what the configuration in force allows."""
        ingresses = [name for name, machine in self.machines.items() if not machine.core]
        for name in ingresses:  # one after the other, as servers have little room
            await self._check_ingress(name)

    async def _check_ingress(self, name: str) -> None:
        address, starts = self.edge(name), self.machines[name].starts
        for _ in range(END_PROBES):
            probe = await self._send_probe(name, starts, address)
            expected = handling(self.in_force.content, probe.request).status or 200
            if probe.attempt.status != expected:
                request = f"{probe.request.host}{probe.request.path}"
                self.violations.append(
                    f"at the end {name} answers {probe.attempt.status} to {request}, not {expected}"
                )


async def run_change_soak(
    seed: int, plan: ChangeSoakPlan | None = None, plant: str = ""
) -> tuple[ChangeSoak, list[str]]:
    """Run one soak; return it and the violations. With violations, the logs are kept."""
    with tempfile.TemporaryDirectory() as folder:
        soak = ChangeSoak(Path(folder), seed=seed, plan=plan or ChangeSoakPlan(), plant=plant)
        return await run_and_keep_logs(soak, folder, f"change-soak-{seed}")


def describe(soak: ChangeSoak) -> str:
    """What a soak has done, in one line."""
    faults = sum(1 for action in soak.actions if not action.startswith("gen "))
    return (
        f"{len(soak.versions)} versions, {len(soak.actions) - faults} changes sent,"
        f" {faults} faults, {len(soak.record.drained)} departures"
    )


def main() -> int:
    """Run soaks from the command line; the exit code is 1 if one of them had violations."""
    options = parse_options("cairndale.chaos.change_soak", DEFAULT_EDGES, DEFAULT_LENGTH_S)
    plan = ChangeSoakPlan(options.edges, options.length)
    return run_seeds(
        range(options.seed, options.seed + options.count),
        lambda seed: run_change_soak(seed, plan),
        describe,
    )


if __name__ == "__main__":
    sys.exit(main())
