"""Random schedules of kills, stops, cuts and wiped disks over the system's real processes, under load.

`python -m playhouse.rehearsal.storm SEED [COUNT]`. The processes run in the fault lab's wrapper
(`ironledge/lab/faults/launch.py`), whose routes lead each of their connections among themselves through a
relay; clients, operators and servers reach them straight. Judged from what servers ran and what clients and
operators were told: nothing twice, no promise broken, nothing acknowledged lost, no older version after an
acknowledgement, no version that goes back, nothing at a server that drains, and no more in any window than a
tenant's quota, the budget of further tries and a cold server bear.
"""

from __future__ import annotations

import asyncio
import json
import random
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from subprocess import DEVNULL, Popen
from typing import Any

import msgspec

from ironledge.lab.faults.launch import Control, Launch
from ironledge.lab.faults.links import CLEAR, Conditions
from ironledge.lab.live.worker import Piped
from playhouse.rehearsal.standins import Server
from playhouse.rehearsal.world import OTHER_KEY, ROOT, Machine, World

LENGTH = 7.0  # s of load and troubles
HEALED = 30.0  # s for all to be well again
MARK = "key-of-the-version"  # its tenant's name tells servers which version a request was taken by
DRAINED = 1.5  # s after its acknowledgement by which nothing more comes to a server that drains, while ...
WARMUP, WARM_PER_S = 2.0, 3.0  # s for which a server is cold, and what it handles a second meanwhile
RATE, BURST = 30, 10  # of the tenant that asks for more
SLO = {"retrySlack": 12, "quotaSlack": 5}  # beside the world's
SETTLED = 4.0  # ... nothing was done to a machine from so many s before: soft state is told anew after that


@dataclass(slots=True)
class Probe:
    """A request at one ingress, one after the other there, that shows its version."""

    edge: str
    life: int
    request: str
    sent: float


@dataclass(slots=True)
class Told:
    """What an operator was told of a version."""

    gen: int
    acked: float


@dataclass
class Storm(World):
    seed: int = 0
    plant: str = ""
    spoilt: str = ""  # a service of which one server breaks off all its answers
    did: list[str] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    acks: list[Told] = field(default_factory=list)
    drained: list[tuple[str, float]] = field(default_factory=list)
    spans: list[list[float]] = field(default_factory=list)  # of troubles: begin and end

    def __post_init__(self) -> None:
        super().__post_init__()
        self.warmup = WARMUP
        self.rng = random.Random(self.seed)
        self.relay: Piped | None = None
        self.opened: dict[str, int] = {}
        self.relayed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def _said(self, said: dict[str, Any]) -> None:
        if "opened" in said:
            self.opened = said["opened"]
            self.relayed.set_result(None)

    def settings(self, machine: Machine) -> dict[str, Any]:
        made = super().settings(machine)
        made["sla"]["slo"] |= SLO
        return made

    def own(self, machine: Machine) -> str:
        return f"{machine.ip}:{self.base + (0 if machine.core else 1)}"

    async def begin(self) -> None:
        self.relay = Piped("relay", ["ironledge.lab.faults.relay"], self.folder, self._said)
        await self.relay.ready
        pairs = [(a, b) for a in self.machines.values() for b in self.machines.values() if a is not b]
        doors = {f"{a.name}>{b.name}": self.own(b).rpartition(":") for a, b in pairs}
        self.relay.tell(tcp=[[pair, host, int(port)] for pair, (host, _, port) in doors.items()])
        await self.relayed
        await super().begin()

    async def end(self) -> None:
        await super().end()
        if self.relay:
            await self.relay.end()

    def start(self, name: str) -> None:
        machine = self.machines[name]
        path, control = self.folder / f"{name}.json", self.folder / f"{name}.control"
        path.write_text(json.dumps(self.settings(machine)))
        machine.starts += 1
        if not control.exists():
            Control(control, create=True)
        routes = {
            self.own(m): self.opened[f"{name}>{m.name}"] for m in self.machines.values() if m.name != name
        }
        told = Launch(
            "playhouse", [], str(control), str(self.folder / f"{name}.synced"), routes, plant=self.plant
        )
        spec = self.folder / f"{name}.launch"
        spec.write_bytes(msgspec.json.encode(told))
        env = self.environment(path)
        with open(self.folder / f"{name}.log", "ab") as log:
            command = [sys.executable, "-m", "ironledge.lab.faults.launch", str(spec)]
            machine.process = Popen(command, cwd=ROOT, env=env, stdin=DEVNULL, stdout=log, stderr=log)

    # Troubles.

    def cut(self, pairs: list[tuple[str, str]], silent: bool) -> None:
        assert self.relay
        fronts = [f"{a}>{b}" for a, b in pairs]
        self.relay.tell(set={front: msgspec.to_builtins(Conditions(cut=True)) for front in fronts})
        self.relay.tell(connect={front: "unanswered" if silent else "refuse" for front in fronts})
        if not silent:
            self.relay.tell(reset=fronts)

    def heal(self, pairs: list[tuple[str, str]]) -> None:
        assert self.relay
        fronts = [f"{a}>{b}" for a, b in pairs]
        self.relay.tell(set={front: msgspec.to_builtins(CLEAR) for front in fronts})
        self.relay.tell(connect={front: "open" for front in fronts}, reset=fronts)

    async def _holder(self) -> str:
        try:
            _, shown = await self.order("GET", "Fleet.Show", within=1.5)
            return next(n for n, m in self.machines.items() if shown["leader"].startswith(f"{m.ip}:"))
        except (TimeoutError, StopIteration, KeyError):
            return self.rng.choice([n for n, m in self.machines.items() if m.core])

    async def trouble(self, wiped: list[str]) -> None:
        rng = self.rng
        cores = [n for n, m in self.machines.items() if m.core]
        edges = [n for n, m in self.machines.items() if not m.core]
        kinds = (
            "kill",
            "leader",
            "stop",
            "stop leader",
            "cut core",
            "cut edge",
            "one way",
            "all cores",
            "all",
            "wipe",
            "server",
            "spoil",
            "spoil all",
        )
        kind, span = rng.choice(kinds), rng.uniform(0.2, 3.0)
        if kind in ("server", "spoil", "spoil all"):
            await self.server_trouble(kind, span)
            return
        victims: list[str] = []
        pairs: list[tuple[str, str]] = []
        if kind == "kill":
            victims = [rng.choice([*cores, *edges])]
        elif kind in ("leader", "stop leader", "wipe"):
            victims = [await self._holder()] if kind != "wipe" or rng.random() < 0.5 else [rng.choice(cores)]
        elif kind == "stop":
            victims = [rng.choice([*cores, *edges])]
        elif kind in ("all cores", "all"):
            victims = cores if kind == "all cores" else [*cores, *edges]
        elif kind == "cut core":
            one = await self._holder() if rng.random() < 0.6 else rng.choice(cores)
            pairs = [(one, c) for c in cores if c != one] + [(c, one) for c in cores if c != one]
        elif kind == "cut edge":
            one = rng.choice(edges)
            pairs = [(one, c) for c in cores] + [(c, one) for c in cores]
        elif kind == "one way":
            one = rng.choice(cores)
            pairs = [(one, c) for c in cores if c != one]
        if kind == "wipe" and wiped:
            return  # one disk at once is to be borne
        begun = asyncio.get_running_loop().time()
        self.spans.append([begun, begun + HEALED])
        mine = self.spans[-1]
        self.did.append(f"{kind} {' '.join(victims) or pairs[0][0]} for {span:.1f} s")
        if pairs:
            self.cut(pairs, silent=rng.random() < 0.7)
            await asyncio.sleep(span)
            self.heal(pairs)
        elif kind.startswith("stop"):
            self.tell(victims[0], signal.SIGSTOP)
            await asyncio.sleep(span * 2)
            self.tell(victims[0], signal.SIGCONT)
        else:
            for name in victims:
                if kind == "wipe":
                    wiped.append(name)
                    await self.wipe(name)
                else:
                    await self.kill(name)
            await asyncio.sleep(span * 0.6)
            for name in victims:
                if self.machines[name].process is None:
                    self.start(name)
        mine[1] = asyncio.get_running_loop().time()

    async def server_trouble(self, kind: str, span: float) -> None:
        """One crashes under its requests and another starts, or it, or all of its service, break off their
        answers for a while."""
        one = self.rng.choice([s for s in self.up if s.state == "ready" and not s.how])
        self.did.append(f"{kind} {one.service} for {span:.1f} s")
        if kind == "server":
            one.crash()
            one.state = "gone"
            await asyncio.sleep(span / 2)
            await self.add_server(one.service, one.zone)
        else:
            some = [s for s in self.up if kind == "spoil all" and s.service == one.service] or [one]
            how = self.rng.choice(["cut", "mute", "full"]) if kind == "spoil" else "cut"
            for server in some:
                server.how = how
            await asyncio.sleep(span)
            for server in some:
                server.how = ""

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
            self.probes.append(Probe(edge, life, heard.request, sent))
            await asyncio.sleep(0.03)

    def marked(self, gen: int) -> dict[str, Any]:
        return {"name": f"v{gen}", "apiKeys": [MARK], "ratePerS": 0, "burst": 0}

    async def operator(self, until: float) -> None:
        """One version on top of the other; after no clear answer what is in force is read."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            gen = self.gen + random.randint(1, 3)
            order = {
                "gen": gen, "parent": self.gen, "upsert": {"tenants": [self.marked(gen)]},
                "remove": {"tenants": [f"v{self.gen}"]},
            }  # fmt: skip
            try:
                status, _ = await self.order("POST", "Config.Update", order, within=8.0)
            except TimeoutError:
                status = 0
            if status == 200:
                self.acks.append(Told(gen, loop.time()))
                self.gen = gen
            else:
                _, read = await self.order("GET", "Config.Read", within=HEALED)
                self.gen = read["gen"]
            await asyncio.sleep(random.uniform(0.0, 0.4))

    async def drainer(self) -> None:
        await asyncio.sleep(random.uniform(0.5, 3.0))
        server: Server = await self.add_server("tiles", "north-a")
        await asyncio.sleep(0.6)
        await server.drain()
        self.drained.append((server.id, asyncio.get_running_loop().time()))

    async def play(self) -> list[str]:
        """What was broken."""
        loop = asyncio.get_running_loop()
        await self.begin()
        first, content = self.marked(1), self.content()
        content["tenants"][1] |= {"ratePerS": RATE, "burst": BURST}
        cold = {"warmup": f"{WARMUP}s", "warmupPerS": WARM_PER_S}
        status, told = await self.configure(
            tenants=[*content["tenants"], first], backends=[b | cold for b in content["backends"]]
        )
        if status != 200:
            return [f"the first configuration: {status} {told}"]
        # The mark names the version that it came with.
        await self.order("POST", "Config.Update", {
            "gen": self.gen + 1, "parent": self.gen, "upsert": {"tenants": [self.marked(self.gen + 1)]},
            "remove": {"tenants": ["v1"]},
        })  # fmt: skip
        self.gen += 1
        await self.ready(self.edges)
        until = loop.time() + LENGTH
        if self.spoilt:
            next(s for s in self.up if s.service == self.spoilt).how = "cut"
        work: list[Callable[[], Any]] = [lambda: self.clients(until)] * 6 + [lambda: self.greedy(until)] * 3
        work += [lambda e=e: self.prober(e, until + 1) for e, m in self.machines.items() if not m.core]  # type: ignore[misc]
        work += [lambda: self.operator(until), self.drainer]
        going = [asyncio.ensure_future(w()) for w in work]
        wiped: list[str] = []
        await asyncio.sleep(self.rng.uniform(0.1, 0.5))
        while loop.time() < until - 1:
            some = [self.trouble(wiped) for _ in range(1 if self.rng.random() < 0.7 else 2)]
            await asyncio.gather(*some)
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        try:
            async with asyncio.timeout(HEALED):
                await asyncio.gather(*going)
            await self.ready(self.edges, HEALED)
            _, read = await self.order("GET", "Config.Read", within=HEALED)
        except TimeoutError:
            for task in going:
                task.cancel()
            return ["not well again in time"]
        return self.verdict() + self._versions(read) + self._bounds()

    def _bounds(self) -> list[str]:
        """No window with more in it than its bound."""
        wrong, slo = [], self.settings(next(iter(self.machines.values())))["sla"]["slo"]
        greedy = [line.at for line in self.ledger.ran if line.tenant == "south"]
        bound = (RATE * 5.0 + BURST) * (1 + slo["quotaOverrun"]) + slo["quotaSlack"]
        if (most := most_within(greedy, 5.0)) > bound:
            wrong.append(f"quota: {most} ran in 5 s, where {bound:.0f} are allowed")
        bound = WARM_PER_S * slo["warmupOverrun"] + slo["warmupSlack"]
        for id in {line.server for line in self.ledger.arrived}:
            starts = [line.at for line in self.ledger.arrived if line.server == id and line.cold]
            if (most := most_within(starts, 1.0)) > bound:
                wrong.append(f"cold: {most} came to {id} in 1 s, where {bound:.0f} are allowed")
        for service in self.services:
            asked = [h.sent for h in self.heard if h.path.startswith(f"/{service}/")]
            seen: set[str] = set()
            again = []
            for line in self.ledger.arrived:
                if line.service == service:
                    if line.request in seen:
                        again.append(line.at)
                    seen.add(line.request)
            for at in again:
                most = sum(1 for other in again if at - 10.0 < other <= at)
                bound = slo["retryRatio"] * max(
                    sum(1 for sent in asked if start <= sent < start + 10.0)
                    for start in (at - 10.0, at - 15.0, at - 20.0)
                ) + slo["retrySlack"]  # fmt: skip
                if most > bound:
                    wrong.append(f"further tries: {most} at {service} in 10 s, where {bound:.1f} are allowed")
                    break
        return wrong

    def _versions(self, read: dict[str, Any]) -> list[str]:
        wrong = []
        newest = max((told.gen for told in self.acks), default=0)
        if read["gen"] < newest or f"v{read['gen']}" not in [t["name"] for t in read["tenants"]]:
            wrong.append(f"version {newest} was acknowledged, and {read['gen']} is read back")
        shown = {
            line.request: int(line.tenant[1:]) for line in self.ledger.ran if line.tenant.startswith("v")
        }
        last: dict[tuple[str, int], int] = {}
        for probe in self.probes:
            if (gen := shown.get(probe.request)) is None:
                continue
            before = max((told.gen for told in self.acks if told.acked < probe.sent), default=0)
            if gen < before:
                wrong.append(f"{probe.edge}: version {gen} though {before} was acknowledged before")
            if gen < last.get((probe.edge, probe.life), 0):
                wrong.append(f"{probe.edge}: went back to version {gen}")
            last[probe.edge, probe.life] = gen
        for id, acked in self.drained:
            if any(begin < acked + DRAINED and end > acked - SETTLED for begin, end in self.spans):
                continue
            late = [line for line in self.ledger.ran if line.server == id and line.at > acked + DRAINED]
            if late:
                wrong.append(f"{id} drains, and got {len(late)} requests after {late[0].at - acked:.1f} s")
        return wrong


def most_within(times: list[float], window: float) -> int:
    most, first, times = 0, 0, sorted(times)
    for count, at in enumerate(times, 1):
        while times[first] <= at - window:
            first += 1
        most = max(most, count - first)
    return most


async def one(seed: int, plant: str = "", spoilt: str = "") -> Storm:
    with tempfile.TemporaryDirectory() as folder:
        storm = Storm(Path(folder), seed=seed, plant=plant, spoilt=spoilt)
        try:
            storm.broken = await storm.play()
        finally:
            await storm.end()
            if storm.broken:  # the logs of all processes, to look at
                kept = ROOT / "lab-out" / f"storm-{seed}"
                shutil.rmtree(kept, ignore_errors=True)
                shutil.copytree(folder, kept)
        return storm


def main() -> int:
    first = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    plant = sys.argv[3] if len(sys.argv) > 3 else ""
    bad = tries = acks = 0
    for seed in range(first, first + count):
        storm = asyncio.run(one(seed, plant))
        broken = storm.broken
        served = sum(1 for heard in storm.heard if heard.status == 200)
        tries, acks, bad = tries + len(storm.heard), acks + len(storm.acks), bad + bool(broken)
        print(f"seed {seed}: {len(storm.heard)} tries, {served} served, {len(storm.acks)} versions, ", end="")
        print(f"{len(broken)} broken; " + "; ".join(storm.did), flush=True)
        for line in broken[:5]:
            print(f"  {line}", flush=True)
    print(f"{count} schedules, {bad} broken; {tries} tries, {acks} versions acknowledged")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
