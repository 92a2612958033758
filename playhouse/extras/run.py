"""One scale run: begins the processes, lets them be, brings trouble about, and counts what each role cost."""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import time
from asyncio.subprocess import PIPE, Process
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from playhouse.extras.content import content, turned
from playhouse.extras.gauge import quantile
from playhouse.extras.sizes import Size
from playhouse.rehearsal.standins import ask
from playhouse.rehearsal.world import ROOT, World

BEAT = 1.5  # s between a server's heartbeats
LIFE = 120.0  # s that a hollow server lives, on average: 10,000 restarts a day are far fewer
LEASES = 2.0  # of units, a second and ingress
BEGIN = 60.0  # s for all to be there
WELL = 60.0  # s, at the most, that a return is waited for
ZONES_EACH = 3  # zones of a region

Say = Callable[[str], None]


class Deployment(World):
    """The rehearsal's real processes, in as many regions as asked."""

    def __init__(self, folder: Path, size: Size) -> None:
        self.size = size
        self.places = {f"z{r}{z}": f"r{r}" for r in range(size.regions) for z in range(ZONES_EACH)}
        super().__init__(folder, cores=size.cores, edges=size.real, servers=0)
        zones = list(self.places)
        for number, machine in enumerate(self.machines.values()):
            machine.zone = zones[
                number * ZONES_EACH % len(zones) + number * ZONES_EACH // len(zones) % ZONES_EACH
            ]

    def settings(self, machine: Any) -> dict[str, Any]:
        raw = super().settings(machine) if machine.zone not in self.places else self._placed(machine)
        raw["infra"]["heartbeat"] = f"{BEAT:.1f}s"
        raw["self"]["limits"]["nofile"] = 20_000
        return raw

    def _placed(self, machine: Any) -> dict[str, Any]:
        zone, machine.zone = machine.zone, "north-a"
        raw = super().settings(machine)
        machine.zone = zone
        raw["self"] |= {"zone": zone, "region": self.places[zone]}
        raw["network"]["zones"] = self.places
        return raw


class Node:
    """A process that is spoken to over its standard streams, an object a line each way."""

    def __init__(self, name: str, process: Process) -> None:
        self.name, self.process = name, process
        self._turn = asyncio.Lock()

    @classmethod
    async def begin(cls, name: str, folder: Path, arguments: list[str], env: dict[str, str]) -> Node:
        with open(folder / f"{name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "playhouse.extras.worker", *arguments, stdin=PIPE, stdout=PIPE, stderr=log,
                cwd=ROOT, env=env, limit=1 << 26,
            )  # fmt: skip
        return cls(name, process)

    async def say(self, order: dict[str, Any], within: float = 30.0) -> dict[str, Any]:
        """The answer. Raises OSError where there is none in so many seconds."""
        assert self.process.stdin
        async with self._turn:
            self.process.stdin.write(json.dumps(order).encode() + b"\n")
            return await self.heard(within)

    async def heard(self, within: float = 30.0) -> dict[str, Any]:
        assert self.process.stdout
        try:
            async with asyncio.timeout(within):
                line = await self.process.stdout.readline()
        except TimeoutError:
            raise OSError(f"{self.name} does not answer") from None
        if not line:
            raise OSError(f"{self.name} has ended")
        told: dict[str, Any] = json.loads(line)
        return told

    async def end(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        async with asyncio.timeout(10):
            await self.process.wait()


class Run:
    def __init__(self, folder: Path, size: Size, seed: int, say: Say) -> None:
        self.size, self.folder, self.say = size, folder, say
        self.world = Deployment(folder, size)
        self.rng = random.Random(seed)
        self.real: dict[str, Node] = {}
        self.workers: list[Node] = []
        self.beaters: list[Node] = []
        self.gen = self.turn = 0
        self.acks: list[tuple[float, float]] = []  # when an order was called, and its acknowledgement
        self.versions: list[tuple[float, int]] = []  # when it was called, and the version it led to
        self.refused = 0

    # Processes.

    async def begin(self) -> None:
        env = {"PATH": os.environ.get("PATH", "")}
        for name, machine in self.world.machines.items():
            await self._begin_real(name, machine)
        await self._first()
        zones, shares = list(self.world.places), self._ingresses()
        for number, share in enumerate(shares):
            made = {"seed": self.rng.getrandbits(32), "cores": self._doors(), "lease_per_s": LEASES, "life": LIFE,
                    "control": self.world.control, "beat": BEAT, "ingresses": share}  # fmt: skip
            self.workers.append(await self._hollow(f"ingresses-{number}", made, env))
        size = self.size
        for number in range(size.beaters):
            servers = [
                {"number": n, "service": f"s{n % size.services}", "zone": zones[n % len(zones)]}
                for n in range(number, size.servers, size.beaters)
            ]
            made = {"seed": self.rng.getrandbits(32), "cores": [], "control": self.world.control, "beat": BEAT,
                    "life": LIFE, "servers": servers}  # fmt: skip
            self.beaters.append(await self._hollow(f"servers-{number}", made, env))

    async def _begin_real(self, name: str, machine: Any) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.world.settings(machine)))
        machine.starts += 1
        env = self.world.environment(path)
        self.real[name] = await Node.begin(name, self.folder, ["real"], env)
        await self.real[name].heard()

    async def _hollow(self, name: str, made: dict[str, Any], env: dict[str, str]) -> Node:
        node = await Node.begin(name, self.folder, [], env)
        assert node.process.stdin
        node.process.stdin.write(json.dumps(made).encode() + b"\n")
        await node.heard(BEGIN)
        return node

    def _doors(self) -> list[str]:
        return [f"{m.ip}:{self.world.base}" for m in self.world.machines.values() if m.core]

    def _ingresses(self) -> list[list[dict[str, Any]]]:
        block, zones = self.rng.randrange(100, 180), list(self.world.places)
        made = [
            {"name": f"hollow-{n}", "ip": f"127.{block}.{n // 250}.{n % 250 + 1}", "port": self.world.base + 1,
             "zone": zones[n % len(zones)], "region": self.world.places[zones[n % len(zones)]]}
            for n in range(self.size.ingresses)
        ]  # fmt: skip
        return [made[number :: self.size.workers] for number in range(self.size.workers)]

    async def end(self) -> None:
        for node in [*self.workers, *self.beaters, *self.real.values()]:
            await node.end()

    # The operator.

    async def _order(self, method: str, call: str, raw: Any = None, within: float = 20.0) -> tuple[int, Any]:
        body = json.dumps(raw).encode() if raw is not None else b""
        async with asyncio.timeout(within):
            while True:
                for door in self.rng.sample(self.world.control, len(self.world.control)):
                    try:
                        async with asyncio.timeout(8.0):
                            status, answer = await ask(door, method, f"/-/{call}", body)
                    except (OSError, ValueError, TimeoutError):
                        continue
                    if status < 500:
                        return status, json.loads(answer)
                await asyncio.sleep(0.05)

    async def _first(self) -> None:
        size = self.size
        self.gen = 1
        raw = content(1, size.routes, size.tenants, size.services) | {"parent": 0}
        status, told = await self._order("POST", "Config.Replace", raw, BEGIN)
        if status != 200:
            raise OSError(f"the first configuration: {status} {told}")

    async def _change(self) -> None:
        """An update of one route; an operator's other orders take their turn among them."""
        self.turn += 1
        began = time.monotonic()
        if self.turn % 10 == 5:
            zone = self.rng.choice(list(self.world.places))
            status, _ = await self._order("POST", f"Drain.Begin/{zone}")
            self.acks.append((began, time.monotonic()))
            await self._order("POST", f"Drain.Finish/{zone}")
        else:
            raw = turned(self.gen + 1, self.gen, self.size.routes, self.size.services, self.turn)
            status, _ = await self._order("POST", "Config.Update", raw)
            if status == 200:
                self.gen += 1
                self.acks.append((began, time.monotonic()))
        self.refused += status != 200

    async def _operator(self, until: float) -> None:
        while self.size.changes_per_s and time.monotonic() < until:
            began = time.monotonic()
            try:
                await self._change()
            except TimeoutError:
                self.refused += 1
            await asyncio.sleep(
                max(0.0, began + self.rng.expovariate(self.size.changes_per_s) - time.monotonic())
            )

    # What is measured.

    async def all_well(self, within: float, share: float = 1.0) -> float:
        """s until so many hollow ingresses hold a lease and a configuration; -1: not in so many."""
        began = time.monotonic()
        while time.monotonic() < began + within:
            told = [await node.say({"do": "told"}) for node in self.workers]
            if sum(len(t["well"]) for t in told) >= share * self.size.ingresses and all(
                t["leases"] == t["ingresses"] for t in told
            ):
                return time.monotonic() - began
            await asyncio.sleep(0.05)
        return -1.0

    async def count(self) -> dict[str, list[dict[str, Any]]]:
        """Since the last count, by role."""
        cores = [
            await self.real[n].say({}) for n, m in self.world.machines.items() if m.core and n in self.real
        ]
        leader = max(range(len(cores)), key=lambda n: cores[n]["bytes_out"])
        edges = [await self.real[n].say({}) for n, m in self.world.machines.items() if not m.core]
        made = {"leader": [cores.pop(leader)], "follower": cores, "real ingress": edges}
        made["hollow ingresses"] = [await node.say({"do": "count"}) for node in self.workers]
        made["hollow servers"] = [await node.say({"do": "count"}) for node in self.beaters]
        return made

    async def measure(self) -> dict[str, Any]:
        await self.count()
        self.acks = []
        until = time.monotonic() + self.size.seconds
        await self._operator(until)
        await asyncio.sleep(max(0.0, until - time.monotonic()))
        roles = {role: summed(rows, self.size) for role, rows in (await self.count()).items() if rows}
        served = [s for node in self.workers for s in (await node.say({"do": "versions"}))["versions"]]
        return {"roles": roles, "changes": changes(self.acks, served), "refused": self.refused}

    async def _leader(self) -> str:
        _, shown = await self._order("GET", "Fleet.Show")
        return next(n for n, m in self.world.machines.items() if shown["leader"].startswith(f"{m.ip}:"))

    async def troubles(self) -> dict[str, Any]:
        """Seconds until all is well again, each from its beginning; -1: not within WELL."""
        made: dict[str, Any] = {}
        name = await self._leader()
        began = time.monotonic()
        await self.real.pop(name).end()
        while await self._leader_or_none() in (None, name) and time.monotonic() < began + WELL:
            await asyncio.sleep(0.02)
        made["new leader"] = time.monotonic() - began
        self.say(f"the leader was killed: a new one after {made['new leader']:.2f} s")
        await self._begin_real(name, self.world.machines[name])
        await self.all_well(WELL)
        began = time.monotonic()
        for node in self.workers:
            await node.say({"do": "restart"})
        made["fleet restarts"] = await self._returned(began)
        self.say(f"all hollow ingresses restarted: well after {made['fleet restarts']['last']:.2f} s")
        began = time.monotonic()
        cores = [n for n, m in self.world.machines.items() if m.core]
        for one in cores:
            await self.real.pop(one).end()
        for one in cores:
            await self._begin_real(one, self.world.machines[one])
        made["core restarts"] = await self.all_well(WELL)
        self.say(f"the core restarted: well after {made['core restarts']:.2f} s")
        for node in self.workers:
            await node.say({"do": "cut", "region": "r0"})
        await asyncio.sleep(min(60.0, 3 * self.size.seconds))
        began = time.monotonic()
        for node in self.workers:
            await node.say({"do": "heal"})
        made["region returns"] = await self.all_well(WELL)
        self.say(f"a region was cut off: well {made['region returns']:.2f} s after its return")
        return made

    async def _leader_or_none(self) -> str | None:
        try:
            async with asyncio.timeout(1.0):
                return await self._leader()
        except (TimeoutError, StopIteration):
            return None

    async def _returned(self, began: float) -> dict[str, float]:
        last = await self.all_well(WELL)
        told = [await node.say({"do": "told"}) for node in self.workers]
        times = sorted(w for t in told for w in t["well"])
        return {
            "p50": quantile(times, 0.5),
            "p99": quantile(times, 0.99),
            "last": last,
            "span": time.monotonic() - began,
        }


def summed(rows: list[dict[str, Any]], size: Size) -> dict[str, Any]:
    """Of processes of one role: means, but for what is the most."""
    made = {k: sum(r[k] for r in rows) / len(rows) for k in ("cpu", "bytes_out", "bytes_in", "messages_out")}
    made |= {k: max(r[k] for r in rows) for k in ("mb", "late_p50", "late_p99", "late_most")}
    kinds: dict[str, float] = {}
    for row in rows:
        for kind, per_s in row["kinds"].items():
            kinds[kind] = kinds.get(kind, 0.0) + per_s / len(rows)
    made["kinds"], made["processes"] = kinds, len(rows)
    return made


def changes(acks: list[tuple[float, float]], served: list[dict[str, float]]) -> dict[str, Any]:
    """s from an order's call to its acknowledgement, and to each ingress that serves by it.

    `served`: for each ingress, when it was told each version. What was told between one order's call and the
    next one's is taken for that order's.
    """
    waits = sorted(after - before for before, after in acks)
    told = sorted(spread(acks, served))
    return {
        "count": len(acks), "acked_p50": quantile(waits, 0.5), "acked_p99": quantile(waits, 0.99),
        "acked_last": waits[-1] if waits else 0.0, "served_p50": quantile(told, 0.5),
        "served_p99": quantile(told, 0.99), "served_last": told[-1] if told else 0.0,
    }  # fmt: skip


def spread(acks: list[tuple[float, float]], served: list[dict[str, float]]) -> Iterator[float]:
    for ingress in served:
        times = sorted(ingress.values())
        for before, after in acks:
            if found := next((t for t in times if before <= t <= after + 4.0), None):
                yield found - before
