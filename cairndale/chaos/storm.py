"""Random schedules of troubles over the system's real processes, under load and many orders.

`python -m cairndale.chaos.storm SEED [COUNT] [PLANT] [--long] [--only KIND,...]`. The processes run
in the fault lab's wrapper (`cairndale/lab/faults/launch.py`) behind its relays. What is brought
about stands in `troubles.py`, who gives orders in `operators.py`, and how it is judged, from the
records alone, in `judge.py`."""

from __future__ import annotations

import argparse
import asyncio
import random
import shutil
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from cairndale.chaos import judge
from cairndale.chaos.faults import SYNC, TROUBLES, Troubles
from cairndale.chaos.operators import MARK, Operators
from cairndale.chaos.records import Order, Probe, Read, Record, Said
from cairndale.chaos.register import Found
from cairndale.chaos.relayed import RelayedWorld
from cairndale.chaos.standins import Server, ask
from cairndale.chaos.world import OTHER_KEY, ROOT, Machine
from cairndale.raft.voters import MIN_VOTERS

HEALED = 15.0  # s for all to be well again (`recovery`)
# s for which a server is cold, and what it handles a second meanwhile
WARMUP, WARM_PER_S = (2.0, 3.0)
RATE, BURST = 30, 10  # of the tenant that asks for more
SLO = {"retrySlack": 12, "quotaSlack": 5}  # beside the world's
MOVED = "south-a"  # the zone that is evacuated and taken back

LARGE = ("replacement", "reused-door", "cut-steps")  # kinds that need more core machines than three


@dataclass(frozen=True, slots=True)
class Plan:
    """How large a storm is, and of what kinds."""

    length: float = 7.0  # s of load and troubles
    cores: int = 3
    spares: int = 0
    changers: int = 2  # orders under way at once
    pace: float = 0.2  # s between the orders of one, on average
    kinds: tuple[str, ...] = tuple(k for k in TROUBLES if k not in LARGE)


LONG = Plan(30.0, 5, 7, 8, 0.05, tuple(TROUBLES))


@dataclass
class Storm(RelayedWorld):
    seed: int = 0
    plan: Plan = field(default_factory=Plan)
    spoilt: str = ""  # a service of which one server breaks off all its answers

    def __post_init__(self) -> None:
        self.cores, self.spares = self.plan.cores, self.plan.spares
        self.servers = 3
        super().__post_init__()
        self.warmup = WARMUP
        self.rng = random.Random(self.seed)
        self.record = Record(self.ledger)
        self.did: list[str] = []
        self.platform: asyncio.Task[None] | None = None

    @property
    def acks(self) -> list[Order]:
        return [o for o in self.record.orders.values() if o.acked < float("inf")]

    def settings(self, machine: Machine) -> dict[str, Any]:
        made = super().settings(machine)
        made["sla"]["slo"] |= SLO
        return made

    async def end(self) -> None:
        if self.platform:
            self.platform.cancel()
        await super().end()

    # Load.

    async def clients(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            path = random.choice(["/tiles/1", "/books/1"])
            await self.request("GET" if path == "/tiles/1" else "POST", path)
            await asyncio.sleep(random.uniform(0, 0.1))

    async def greedy(self, until: float) -> None:
        """Asks for far more than its quota."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await self.request("GET", "/tiles/2", OTHER_KEY)
            await asyncio.sleep(random.uniform(0, 0.03))

    async def prober(self, edge: str, until: float) -> None:
        loop, machine = asyncio.get_running_loop(), self.machines[edge]
        while loop.time() < until:
            life, sent = machine.starts, loop.time()
            heard = await self.request("GET", "/tiles/probe", MARK, at=self.edge(edge))
            self.record.probes.append(Probe(edge, life, heard.request, sent))
            await asyncio.sleep(0.03)

    async def drainer(self, until: float) -> None:
        """Servers come and leave in order, each heard wherever it is heard."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(random.uniform(0.5, 3.0))
            if loop.time() > until - 1.0:
                return
            server: Server = await self.add_server("tiles", "north-a")
            await asyncio.sleep(0.6)
            await server.drain()
            self.record.drained.append((server.id, loop.time()))

    async def asks_ready(self, until: float) -> None:
        """Whether core machines say that they are."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            for address in list(self.control):
                sent = loop.time()
                try:
                    async with asyncio.timeout(0.5):
                        status, _ = await ask(address, "GET", "/-/readyz")
                except (OSError, TimeoutError, ValueError):
                    continue
                if status == 200:
                    self.record.said.append(Said(address, "that it is ready", sent, loop.time()))
            await asyncio.sleep(0.3)

    # The play.

    async def configured(self, operators: Operators) -> dict[str, Any]:
        """The first configuration is put in force; what later ones hold as a whole."""
        content = self.content()
        content["tenants"][1] |= {"ratePerS": RATE, "burst": BURST}
        cold = {"warmup": f"{WARMUP}s", "warmupPerS": WARM_PER_S}
        content["backends"] = [b | cold for b in content["backends"]]
        status = await operators.settle(operators.made(content), loses=0.0)
        if status != 200:
            raise TimeoutError("the first configuration")
        return content

    async def play(self) -> list[str]:
        """What was broken."""
        loop = asyncio.get_running_loop()
        await self.begin()
        operators = Operators(self, self.record, loop.time(), self.plan.pace)
        try:
            content = await self.configured(operators)
            await self.ready(self.edges)
        except TimeoutError as error:
            return [f"it did not begin: {error}"]
        # a new one counts as lost so long, and no longer
        if late := await self.voters(loop.time() + SYNC):
            return late
        until = operators.until = loop.time() + self.plan.length
        if self.spoilt:
            next(s for s in self.up if s.service == self.spoilt).how = "cut"
        work: list[Callable[[], Any]] = [lambda: self.clients(until)] * 6 + [
            lambda: self.greedy(until)
        ] * 3
        edges = [name for name, machine in self.machines.items() if not machine.core]
        work += [partial(self.prober, name, until + 1) for name in edges]
        work += [lambda: operators.changes(content)] * self.plan.changers + [operators.reads] * 3
        work += [operators.again, operators.shows, lambda: operators.zones(MOVED)]
        work += [lambda: self.drainer(until), lambda: self.asks_ready(until)]
        going = [asyncio.ensure_future(w()) for w in work]
        try:
            await self.storm(until - 1)
            begun = loop.time()
            async with asyncio.timeout(max(0.0, until - begun) + HEALED):
                await asyncio.gather(*going)
            wrong, last = await self.well(operators)
        except TimeoutError as error:
            for task in going:
                task.cancel()
            await asyncio.gather(*going, return_exceptions=True)
            wrong, last = [f"not well again in time: {error}"], None
        slo = self.settings(next(iter(self.machines.values())))["sla"]["slo"]
        wrong += self.verdict() + judge.broken(self.record, last)
        return wrong + judge.bounds(
            self.record, self.heard, slo, self.services, RATE, BURST, WARM_PER_S
        )

    async def storm(self, until: float) -> None:
        troubles, loop = Troubles(self, self.record, self.rng, until), asyncio.get_running_loop()
        self.did, self.platform = troubles.did, loop.create_task(troubles.platform())
        await asyncio.sleep(self.rng.uniform(0.1, 0.5))
        while loop.time() < until:
            some = [
                self.rng.choice(self.plan.kinds) for _ in range(1 if self.rng.random() < 0.7 else 2)
            ]
            await asyncio.gather(*(troubles.run(kind) for kind in some))
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))

    async def well(self, operators: Operators) -> tuple[list[str], Found | None]:
        """All is served again, orders are taken and read back, and there is a leader. Raises
        TimeoutError."""
        loop, wrong = asyncio.get_running_loop(), []
        begun = loop.time()
        await self.ready(self.edges, HEALED)
        if await operators.settle(operators.made(), HEALED, 0.0) != 200:
            raise TimeoutError("no order is taken")
        for name in [n for n, m in self.machines.items() if not m.core]:
            async with asyncio.timeout(HEALED):
                while (await self.request("GET", "/tiles/1", at=self.edge(name))).status != 200:
                    await asyncio.sleep(0.1)
        read: Read | None = None
        for address in self.control:  # each knows what is in force, or where to ask
            sent, read = loop.time(), None
            while read is None and loop.time() < sent + HEALED:
                read = await operators.read(address)
            if read is None:
                raise TimeoutError(f"no read at {address}")
        assert read
        last = Found(read.gen, read.sent, read.heard)
        _, shown = await self.order("GET", "Fleet.Show", within=HEALED)
        if MOVED in shown["evacuated"]:
            wrong.append(f"{MOVED} was taken back, and is still evacuated: {shown['evacuated']}")
        if (new := judge.newest(self.record)) and read.mark != new.mark:
            wrong.append(f"{new.mark} was acknowledged last, and {read.mark} is read back")
        wrong += await self.voters(begun + HEALED)
        self.did.append(f"well {loop.time() - begun:.1f} s after")
        return wrong, last

    async def voters(self, until: float) -> list[str]:
        """Those who vote are an odd number of machines that are there; who has gone has been taken
        out."""
        loop = asyncio.get_running_loop()
        here = {self.own(m) for m in self.machines.values() if m.core and m.here}
        while True:
            _, shown = await self.order("GET", "Fleet.Show", within=HEALED)
            voters = [m[0] for m in shown["members"] if m[2:] != ["learner"]]
            away = [address for address in voters if address not in here]
            if not away and len(voters) % 2 and len(voters) >= min(self.plan.cores, MIN_VOTERS):
                return []
            if loop.time() > until:
                return [f"{len(voters)} vote, of whom {len(away)} are gone: {' '.join(away)}"]
            await asyncio.sleep(0.2)


async def one(seed: int, plant: str = "", spoilt: str = "", plan: Plan | None = None) -> Storm:
    with tempfile.TemporaryDirectory() as folder:
        storm = Storm(Path(folder), seed=seed, plant=plant, spoilt=spoilt, plan=plan or Plan())
        broken = ["it never ended"]
        try:
            broken = await storm.play()
            if any("plants.py" in log.read_text() for log in Path(folder).glob("*.log")):
                raise RuntimeError("the plant was not put in; see the logs")
        finally:
            await storm.end()
            if broken:  # the logs of all processes, to look at
                kept = ROOT / "lab-out" / f"storm-{seed}"
                shutil.rmtree(kept, ignore_errors=True)
                shutil.copytree(folder, kept)
        storm.broken = broken
        return storm


def main() -> int:
    asked = argparse.ArgumentParser(prog="cairndale.chaos.storm")
    asked.add_argument("seed", type=int, nargs="?", default=1)
    asked.add_argument("count", type=int, nargs="?", default=1)
    asked.add_argument(
        "plant", nargs="?", default="", help="MODULE:FUNCTION, or a name of plants.py"
    )
    asked.add_argument(
        "--long", action="store_true", help="30 s, 5 core machines, 8 orders at once"
    )
    asked.add_argument("--only", default="", help="kinds of trouble: " + ", ".join(TROUBLES))
    asked.add_argument("--length", type=float, help="s of load and troubles")
    asked.add_argument(
        "--cores", type=int, help="core machines: of 7 two do not vote, as cut-steps wants it"
    )
    told = asked.parse_args()
    plan = LONG if told.long else Plan()
    kinds = tuple(told.only.split(",")) if told.only else plan.kinds
    if unknown := set(kinds) - set(TROUBLES):
        asked.error(f"no such trouble: {', '.join(unknown)}")
    cores = told.cores or plan.cores
    plan = Plan(told.length or plan.length, cores, plan.spares, plan.changers, plan.pace, kinds)
    plant = (
        told.plant
        if ":" in told.plant or not told.plant
        else f"cairndale.chaos.mutations:{told.plant}"
    )
    bad = tries = acks = 0
    for seed in range(told.seed, told.seed + told.count):
        storm = asyncio.run(one(seed, plant, plan=plan))
        broken = storm.broken
        served = sum(1 for heard in storm.heard if heard.status == 200)
        sent = sum(len(o.sendings) for o in storm.record.orders.values())
        tries, acks, bad = tries + len(storm.heard), acks + len(storm.acks), bad + bool(broken)
        orders, reads = len(storm.record.orders), len(storm.record.reads)
        print(
            f"seed {seed}: {len(storm.heard)} tries, {served} served, {len(storm.acks)} versions ",
            end="",
        )
        print(f"of {orders} orders sent {sent} times, {reads} reads, ", end="")
        print(f"{len(broken)} broken; " + "; ".join(storm.did), flush=True)
        for line in broken[:8]:
            print(f"  {line}", flush=True)
    print(f"{told.count} schedules, {bad} broken; {tries} tries, {acks} versions acknowledged")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
