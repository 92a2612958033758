"""Soak: real processes restarted, signalled and reconfigured in overlapping series, under clients
that keep their connections.

`python -m cairndale.chaos.soak SEED [COUNT] [--edges N] [--length S]`. All regions have clients;
the routes of their host have homes that share no region. What is judged stands in `soak_judge.py`.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cairndale.chaos.soak_client import SoakClient
from cairndale.chaos.soak_judge import Lifetime, OwnEnd, SoakRecord, broken_rules
from cairndale.chaos.world import ROOT, World
from cairndale.dataplane.shutdown import ACCEPT_MARGIN_S

ZONES = {f"{region}-{part}": region for region in ("north", "south", "east") for part in "ab"}
# Homes by route; the route without any may be served everywhere.
HOMES: dict[str, list[str]] = {"tiles": ["north", "east"], "books": ["south"], "open": []}
CLIENTS_PER_ZONE = 2
DEFAULT_EDGES = 6
DEFAULT_LENGTH_S = 20.0
GRACE_S = 3.0  # of the settings that the processes are given
ACCEPT_S = GRACE_S - ACCEPT_MARGIN_S  # for which an ingress takes connections after SIGTERM
RESTART_WITHIN_S = GRACE_S + 5.0
READY_WITHIN_S = 30.0
READY_POLL_S = 0.05
SUPERVISE_POLL_S = 0.2


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """How large a soak is.

    Attributes:
        edges: data-plane nodes, spread evenly over the zones.
        length_s: seconds of load and of what is done meanwhile.
        pause_s: between two signals of a series, at the least and at the most.
    """

    edges: int = DEFAULT_EDGES
    length_s: float = DEFAULT_LENGTH_S
    pause_s: tuple[float, float] = (0.2, 1.2)


@dataclass
class Soak(World):
    """One run; `seed` draws what is done, and when."""

    seed: int = 0
    plan: SoakPlan = field(default_factory=SoakPlan)

    def __post_init__(self) -> None:
        self.zones, self.edges, self.servers = dict(ZONES), self.plan.edges, len(ZONES)
        super().__post_init__()
        self.rng = random.Random(self.seed)
        self.record = SoakRecord(homes={name: frozenset(homes) for name, homes in HOMES.items()})
        self.done: list[str] = []
        self._restarting: set[str] = set()
        self._stopping: set[str] = set()  # those that have got SIGTERM
        self._started_at: dict[str, float] = {}
        self._until = 0.0

    def content(self, **fields: Any) -> dict[str, Any]:
        """The world's, with homes; its keys may ask for as much as they like."""
        content = super().content(**fields)
        for route in content["routes"]:
            route["homeRegions"] = HOMES[route["name"]]
        for tenant in content["tenants"]:
            tenant |= {"ratePerS": 0, "burst": 0}
        return content

    async def play(self) -> list[str]:
        """Return what was broken, a line each."""
        loop = asyncio.get_running_loop()
        await self.begin()
        try:
            await self.configure()
            await self.ready(self.edges, READY_WITHIN_S)
        except TimeoutError as error:
            return [f"it did not begin: {error}"]
        for machine in self.machines.values():
            if not machine.core:
                self._note_ready(machine.name)
        self._until = loop.time() + self.plan.length_s
        clients = self._make_clients()
        load = [asyncio.ensure_future(client.run(self._until)) for client in clients]
        series = [self._roll_region, self._roll_region, self._hang_up, self._reconfigure]
        done = [asyncio.ensure_future(self._repeat(one)) for one in (*series, self._restart_core)]
        platform = asyncio.ensure_future(self._supervise())
        try:
            async with asyncio.timeout(self.plan.length_s + RESTART_WITHIN_S + READY_WITHIN_S):
                await asyncio.gather(*done)
                await asyncio.gather(*load)
            await self.ready(self.edges, READY_WITHIN_S)
        except TimeoutError as error:
            return [f"not well again in time: {error}; {self.done[-3:]}"]
        finally:
            for task in (*done, *load, platform):
                task.cancel()
            await asyncio.gather(*done, *load, platform, return_exceptions=True)
        return self.verdict() + broken_rules(self.record, self.ledger)

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
                heard=self.heard,
                rng=random.Random(f"{self.seed} {zone} {number}"),
            )
            for zone, region in self.zones.items()
            for number in range(CLIENTS_PER_ZONE)
        ]

    # The platform.

    def start(self, name: str) -> None:
        """As the world does; when is kept."""
        self._started_at[name] = asyncio.get_running_loop().time()
        super().start(name)

    async def _supervise(self) -> None:
        """Start processes again that have ended without being told to."""
        while True:
            for name, machine in self.machines.items():
                code = machine.process.poll() if machine.process else None
                if code is not None and name not in self._stopping:
                    lived = asyncio.get_running_loop().time() - self._started_at[name]
                    self.record.own_ends.append(OwnEnd(name, code, lived))
                    self.start(name)
            await asyncio.sleep(SUPERVISE_POLL_S)

    async def _stop(self, name: str) -> None:
        self._stopping.add(name)
        await self.kill(name, signal.SIGTERM, RESTART_WITHIN_S)
        self._stopping.discard(name)

    # Series, several of which run at once.

    async def _repeat(self, series: Callable[[], Coroutine[Any, Any, None]]) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < self._until:
            await self._pause()
            await series()

    async def _pause(self) -> None:
        await asyncio.sleep(self.rng.uniform(*self.plan.pause_s))

    async def _roll_region(self) -> None:
        """SIGTERM for all ingresses of a region, in turn or at once; each starts again."""
        region = self.rng.choice(sorted(set(self.zones.values())))
        edges = [n for n, m in self.machines.items() if not m.core]
        names = [n for n in edges if self.zones[self.machines[n].zone] == region]
        self.rng.shuffle(names)
        at_once = self.rng.random() < 0.3
        self.done.append(f"{'all' if at_once else 'each'} of {region} restarted")
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
        await self._stop(name)
        self.start(name)
        async with asyncio.timeout(READY_WITHIN_S):
            while not await self._says_ready(self.machines[name]):
                await asyncio.sleep(READY_POLL_S)
        self._note_ready(name)
        self._restarting.discard(name)

    def _note_ready(self, name: str) -> None:
        machine = self.machines[name]
        lifetimes = self.record.lifetimes.setdefault(self.edge(name), [])
        now = asyncio.get_running_loop().time()
        lifetimes.append(Lifetime(self.zones[machine.zone], now))

    async def _hang_up(self) -> None:
        """SIGHUP for some processes, also for those that are about to end or have just begun."""
        names = self.rng.sample(sorted(self.machines), self.rng.randint(1, 3))
        self.done.append(f"hup {' '.join(names)}")
        for name in names:
            with suppress(ProcessLookupError):
                self.tell(name, signal.SIGHUP)

    async def _reconfigure(self) -> None:
        """A change of the configuration, as likely as not amid a restart."""
        with suppress(TimeoutError):
            status, _ = await self.configure()
            self.done.append(f"gen {self.gen}: {status}")

    async def _restart_core(self) -> None:
        """One control node is stopped in order, and starts again; one at a time."""
        name = self.rng.choice([n for n, m in self.machines.items() if m.core])
        self.done.append(f"{name} restarted")
        await self._stop(name)
        self.start(name)
        await self._pause()


async def run_soak(seed: int, plan: SoakPlan | None = None) -> tuple[Soak, list[str]]:
    """Play one soak; return it, and what was broken. The logs of a broken one are kept."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(Path(folder), seed=seed, plan=plan or SoakPlan())
        broken = ["it never ended"]
        try:
            broken = await soak.play()
        finally:
            await soak.end()
            if broken:
                kept = ROOT / "lab-out" / f"soak-{seed}"
                shutil.rmtree(kept, ignore_errors=True)
                shutil.copytree(folder, kept)
        return soak, broken


def main() -> int:
    """Run soaks by hand; the exit code is 1 if one of them broke a rule."""
    parser = argparse.ArgumentParser(prog="cairndale.chaos.soak")
    parser.add_argument("seed", type=int, nargs="?", default=1)
    parser.add_argument("count", type=int, nargs="?", default=1)
    parser.add_argument("--edges", type=int, default=DEFAULT_EDGES, help="data-plane nodes")
    parser.add_argument("--length", type=float, default=DEFAULT_LENGTH_S, help="s of load")
    options = parser.parse_args()
    plan = SoakPlan(options.edges, options.length)
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        soak, broken = asyncio.run(run_soak(seed, plan))
        failed += bool(broken)
        served = sum(heard.status == 200 for heard in soak.heard)
        print(
            f"seed {seed}: {len(soak.heard)} tries, {served} served,"
            f" {len(soak.record.lookups)} look-ups, {len(soak.done)} things done,"
            f" {len(broken)} broken",
            flush=True,
        )
        for line in broken[:8]:
            print(f"  {line}", flush=True)
    print(f"{options.count} soaks, {failed} broken")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
