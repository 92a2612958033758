"""Soak: real processes are restarted, signalled and reconfigured in overlapping series, while
clients keep their connections open.

`python -m cairndale.chaos.soak SEED [COUNT] [--edges N] [--length S]`. All regions have clients;
the routes of their host have home regions that do not overlap. The rules are in `soak_judge.py`.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cairndale.chaos.soak_client import SoakClient
from cairndale.chaos.soak_judge import Lifetime, SoakRecord, soak_violations
from cairndale.chaos.soak_runner import parse_options, run_and_keep_logs, run_seeds
from cairndale.chaos.supervised_world import SupervisedWorld
from cairndale.dataplane.shutdown import ACCEPT_MARGIN_S

ZONES = {f"{region}-{part}": region for region in ("north", "south", "east") for part in "ab"}
# Home regions by route; a route without any may be served everywhere.
HOMES: dict[str, list[str]] = {"tiles": ["north", "east"], "books": ["south"], "open": []}
CLIENTS_PER_ZONE = 2
DEFAULT_EDGES = 6
DEFAULT_LENGTH_S = 20.0
GRACE_S = 3.0  # `grace` in the settings of the processes
ACCEPT_S = GRACE_S - ACCEPT_MARGIN_S  # for which an ingress takes connections after SIGTERM
RESTART_WITHIN_S = GRACE_S + 5.0
READY_WITHIN_S = 30.0
READY_POLL_S = 0.05
MAX_MALFORMING_SERVERS = 3  # at once, of both services


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """How large a soak is.

    Attributes:
        edges: data-plane nodes, spread evenly over the zones.
        length_s: seconds of load and faults.
        pause_s: least and greatest pause between two actions of a series, in seconds.
    """

    edges: int = DEFAULT_EDGES
    length_s: float = DEFAULT_LENGTH_S
    pause_s: tuple[float, float] = (0.2, 1.2)


@dataclass
class Soak(SupervisedWorld):
    """One run; `seed` determines the actions and their times."""

    seed: int = 0
    plan: SoakPlan = field(default_factory=SoakPlan)

    def __post_init__(self) -> None:
        self.zones, self.edges, self.servers = dict(ZONES), self.plan.edges, len(ZONES)
        super().__post_init__()
        self.rng = random.Random(self.seed)
        self.record = SoakRecord(
            homes={name: frozenset(homes) for name, homes in HOMES.items()},
            unexpected_exits=self.unexpected_exits,
        )
        self.actions: list[str] = []
        self._restarting: set[str] = set()
        self._until = 0.0

    def content(self, **fields: Any) -> dict[str, Any]:
        """Return the configuration of `World` with home regions and without quotas."""
        content = super().content(**fields)
        for route in content["routes"]:
            route["homeRegions"] = HOMES[route["name"]]
        for tenant in content["tenants"]:
            tenant |= {"ratePerS": 0, "burst": 0}
        return content

    async def run(self) -> list[str]:
        """Run the soak; return the violations, a line each."""
        loop = asyncio.get_running_loop()
        await self.begin()
        try:
            await self.configure()
            await self.ready(self.edges, READY_WITHIN_S)
        except TimeoutError as error:
            return [f"the system did not start: {error}"]
        for machine in self.machines.values():
            if not machine.core:
                self._note_ready(machine.name)
        self._until = loop.time() + self.plan.length_s
        clients = self._make_clients()
        load = [asyncio.ensure_future(client.run(self._until)) for client in clients]
        series = [self._roll_region, self._roll_region, self._send_sighup, self._reconfigure]
        actions = [
            asyncio.ensure_future(self._repeat(action)) for action in (*series, self._restart_core)
        ]
        actions.append(asyncio.ensure_future(self._malform_responses()))
        platform = asyncio.ensure_future(self.supervise())
        try:
            async with asyncio.timeout(self.plan.length_s + RESTART_WITHIN_S + READY_WITHIN_S):
                await asyncio.gather(*actions)
                await asyncio.gather(*load)
            await self.ready(self.edges, READY_WITHIN_S)
        except TimeoutError as error:
            return [f"not recovered in time: {error}; {self.actions[-3:]}"]
        finally:
            for task in (*actions, *load, platform):
                task.cancel()
            await asyncio.gather(*actions, *load, platform, return_exceptions=True)
        return self.verdict() + soak_violations(self.record, self.ledger)

    def _make_clients(self) -> list[SoakClient]:
        regions = {self.edge(m.name): self.zones[m.zone] for m in self.machines.values()}
        directories = [self.address(m, 2) for m in self.machines.values() if not m.core]
        return [
            SoakClient(
                region=region,
                zone=zone,
                directories=directories,
                regions=regions,
                record=self.record,
                attempts=self.attempts,
                rng=random.Random(f"{self.seed} {zone} {number}"),
            )
            for zone, region in self.zones.items()
            for number in range(CLIENTS_PER_ZONE)
        ]

    # Series of actions, several of which run at once.

    async def _repeat(self, series: Callable[[], Coroutine[Any, Any, None]]) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < self._until:
            await self._pause()
            await series()

    async def _pause(self) -> None:
        await asyncio.sleep(self.rng.uniform(*self.plan.pause_s))

    async def _roll_region(self) -> None:
        """Restart all ingresses of a region by SIGTERM, in turn or at once."""
        region = self.rng.choice(sorted(set(self.zones.values())))
        edges = [n for n, m in self.machines.items() if not m.core]
        names = [n for n in edges if self.zones[self.machines[n].zone] == region]
        self.rng.shuffle(names)
        at_once = self.rng.random() < 0.3
        self.actions.append(f"{'all' if at_once else 'each'} of {region} restarted")
        restarts = []
        for name in names:
            restarts.append(asyncio.ensure_future(self._restart_edge(name)))
            if not at_once:
                await self._pause()
        await asyncio.gather(*restarts)

    async def _restart_edge(self, name: str) -> None:
        if name in self._restarting:
            return
        self._restarting.add(name)
        now = asyncio.get_running_loop().time()
        self.record.lifetimes[self.edge(name)][-1].ends_at = now + ACCEPT_S
        await self.kill(name, signal.SIGTERM, RESTART_WITHIN_S)
        self.start(name)
        async with asyncio.timeout(READY_WITHIN_S):
            while not await self._is_ready(self.machines[name]):
                await asyncio.sleep(READY_POLL_S)
        self._note_ready(name)
        self._restarting.discard(name)

    def _note_ready(self, name: str) -> None:
        machine = self.machines[name]
        lifetimes = self.record.lifetimes.setdefault(self.edge(name), [])
        now = asyncio.get_running_loop().time()
        lifetimes.append(Lifetime(self.zones[machine.zone], now))

    async def _send_sighup(self) -> None:
        """Send SIGHUP to some processes, including those that are stopping or have just started."""
        names = self.rng.sample(sorted(self.machines), self.rng.randint(1, 3))
        self.actions.append(f"hup {' '.join(names)}")
        for name in names:
            with suppress(ProcessLookupError):
                self.send_signal(name, signal.SIGHUP)

    async def _reconfigure(self) -> None:
        """Replace the configuration, often during a restart."""
        with suppress(TimeoutError):
            status, _ = await self.configure()
            self.actions.append(f"gen {self.gen}: {status}")

    async def _malform_responses(self) -> None:
        """Have some servers break RFC 9110 or RFC 9112 in each response, others after a while."""
        # Numbers of its own: those of the other series are the same without this one.
        rng, loop = random.Random(f"{self.seed} malformed"), asyncio.get_running_loop()
        while loop.time() < self._until:
            await asyncio.sleep(rng.uniform(*self.plan.pause_s))
            servers = rng.sample(self.started_servers, rng.randint(1, MAX_MALFORMING_SERVERS))
            self.actions.append(f"malformed responses of {len(servers)} servers")
            for server in servers:
                server.fault = "malformed"
            await asyncio.sleep(rng.uniform(*self.plan.pause_s))
            for server in servers:
                server.fault = ""

    async def _restart_core(self) -> None:
        """Restart one control node by SIGTERM; one at a time."""
        name = self.rng.choice([n for n, m in self.machines.items() if m.core])
        self.actions.append(f"{name} restarted")
        await self.kill(name, signal.SIGTERM, RESTART_WITHIN_S)
        self.start(name)
        await self._pause()


async def run_soak(seed: int, plan: SoakPlan | None = None) -> tuple[Soak, list[str]]:
    """Run one soak; return it and the violations. With violations, the logs are kept."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(Path(folder), seed=seed, plan=plan or SoakPlan())
        return await run_and_keep_logs(soak, folder, f"soak-{seed}")


def main() -> int:
    """Run soaks from the command line; the exit code is 1 if one of them had violations."""
    options = parse_options("cairndale.chaos.soak", DEFAULT_EDGES, DEFAULT_LENGTH_S)
    plan = SoakPlan(options.edges, options.length)
    return run_seeds(
        range(options.seed, options.seed + options.count),
        lambda seed: run_soak(seed, plan),
        lambda soak: f"{len(soak.record.lookups)} look-ups, {len(soak.actions)} actions",
    )


if __name__ == "__main__":
    sys.exit(main())
