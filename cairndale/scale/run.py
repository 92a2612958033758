"""One scale run: begins the processes, lets them be, brings trouble about, and counts what each
role cost."""

from __future__ import annotations

import asyncio
import json
import os
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cairndale.chaos.world import World
from cairndale.scale.content import content, turned
from cairndale.scale.node import Node
from cairndale.scale.sizes import Size
from cairndale.scale.tally import changes, returned, summed, totals

BEAT = 1.5  # s between a server's heartbeats
RESTARTS = 1 / 1.2  # of hollow servers a second, however many: seven times 10,000 a day
LEASES = 2.0  # of units, a second and ingress
BEGIN = 60.0  # s for all to be there
WELL = 30.0  # s, at the most, that a return is waited for
ZONES_EACH = 3  # zones of a region
LOOK_UPS, LOOK_SPAN = 100.0, 5.0  # a second at one real ingress, and for how many seconds
ORDER = 8.0  # s that one core machine is given for an order
PROGRESS = 5.0  # s between two lines about it

Say = Callable[[str], None]


class Deployment(World):
    """The run's real processes, in as many regions as asked."""

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
        raw = (
            super().settings(machine) if machine.zone not in self.places else self._placed(machine)
        )
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


class Run:
    def __init__(self, folder: Path, size: Size, seed: int, say: Say) -> None:
        self.size, self.folder, self.say = size, folder, say
        self.world = Deployment(folder, size)
        self.rng = random.Random(seed)
        self.real: dict[str, Node] = {}
        self.workers: list[Node] = []
        self.beaters: list[Node] = []
        self.learners: set[str] = set()
        self.gen = self.turn = 0
        # when an order was called, and its acknowledgement
        self.acks: list[tuple[float, float]] = []
        # when one was called, and the generation it makes
        self.updates: list[tuple[float, int]] = []
        self.refused = 0  # orders without a clear answer, or with another than was wanted

    # Processes.

    async def begin(self) -> None:
        env = {"PATH": os.environ.get("PATH", "")}
        for name, machine in self.world.machines.items():
            await self._begin_real(name, machine)
        await self._first()
        zones, shares = list(self.world.places), self._ingresses()
        life = self.size.servers / RESTARTS
        common: dict[str, Any] = {"control": self.world.control, "beat": BEAT, "life": life}
        for number, share in enumerate(shares):
            made = common | {"cores": self._addresses(), "lease_per_s": LEASES, "ingresses": share}
            made["seed"] = self.rng.getrandbits(32)
            await self._hollow(f"ingresses-{number}", made, env)
        size = self.size
        for number in range(size.beaters):
            servers = [
                {"number": n, "service": f"s{n % size.services}", "zone": zones[n % len(zones)]}
                for n in range(number, size.servers, size.beaters)
            ]
            made = common | {"seed": self.rng.getrandbits(32), "cores": [], "servers": servers}
            await self._hollow(f"servers-{number}", made, env)

    async def _begin_real(self, name: str, machine: Any) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.world.settings(machine)))
        machine.starts += 1
        env = self.world.environment(path)
        self.real[name] = await Node.begin(name, self.folder, ["real"], env)
        await self.real[name].heard(BEGIN)

    async def _hollow(self, name: str, made: dict[str, Any], env: dict[str, str]) -> None:
        node = await Node.begin(name, self.folder, [], env)
        where = self.workers if made.get("ingresses") else self.beaters
        where.append(node)
        await node.say(made, BEGIN)

    def _addresses(self) -> list[str]:
        return [f"{m.ip}:{self.world.port_base}" for m in self.world.machines.values() if m.core]

    def _ingresses(self) -> list[list[dict[str, Any]]]:
        block, zones = self.rng.randrange(100, 180), list(self.world.places)
        made = [
            {
                "name": f"hollow-{n}",
                "ip": f"127.{block}.{n // 250}.{n % 250 + 1}",
                "port": self.world.port_base + 1,
                "zone": zones[n % len(zones)],
                "region": self.world.places[zones[n % len(zones)]],
            }
            for n in range(self.size.ingresses)
        ]
        return [made[number :: self.size.workers] for number in range(self.size.workers)]

    async def end(self) -> None:
        """Whatever it was broken off in. One that is not known here yet ends with its standard
        input."""
        nodes = [*self.workers, *self.beaters, *self.real.values()]
        for node in nodes:
            node.kill()
        await asyncio.gather(*(node.end() for node in nodes), return_exceptions=True)

    # The operator.

    async def _order(
        self, method: str, call: str, raw: Any = None, within: float = 20.0
    ) -> tuple[int, Any]:
        return await self.world.order(method, call, raw, within, attempt_timeout=ORDER)

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
            self.updates.append((began, self.gen + 1))
            status, _ = await self._order("POST", "Config.Update", raw)
            if status == 200:
                self.gen += 1
                self.acks.append((began, time.monotonic()))
            else:
                self.updates.pop()
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

    async def well(self) -> list[tuple[int, float]]:
        """Of each hollow ingress that holds a lease and a configuration: the lease's term, and
        since when."""
        told = await asyncio.gather(*(node.say({"do": "told"}) for node in self.workers))
        return [(term, since) for t in told for term, since in t["well"]]

    async def all_well(self, began: float, term: int = 0, cut: int = 0) -> dict[str, float]:
        """s from `began` until half, 99 in 100 and all hollow ingresses held a lease of a leader of
        that term or later, and a configuration; -1: not within WELL. `share`: how many do at the
        end. `cut`: so many had neither before, and only these are meant."""
        until, times, wanted = time.monotonic() + WELL, list[float](), cut or self.size.ingresses
        while time.monotonic() < until and len(times) < wanted:
            found = [since - began for t, since in await self.well() if t >= term]
            times = sorted(max(0.0, since) for since in found if since >= 0 or not cut)
            await asyncio.sleep(0.05)
        return returned(times, wanted)

    async def term(self) -> int:
        return max((term for term, _ in await self.well()), default=0)

    async def count(self) -> dict[str, list[dict[str, Any]]]:
        """Since the last count, by role."""
        machines = self.world.machines
        here = [n for n, m in machines.items() if m.core and n in self.real]
        cores = {n: await self.real[n].say({}) for n in here}
        leader = cores.pop(max(cores, key=lambda n: float(cores[n]["bytes_out"])))
        edges = [await self.real[n].say({}) for n, m in machines.items() if not m.core]
        made = {
            "leader": [leader],
            "follower": [row for n, row in cores.items() if n not in self.learners],
        }
        made["learner"] = [row for n, row in cores.items() if n in self.learners]
        made["real ingress"] = edges
        made["hollow ingresses"] = [await node.say({"do": "count"}) for node in self.workers]
        made["hollow servers"] = [await node.say({"do": "count"}) for node in self.beaters]
        return made

    async def find_learners(self) -> None:
        """Core machines without a vote."""
        _, shown = await self._order("GET", "Fleet.Show")
        addresses = {address for address, _, kind in shown["members"] if kind == "learner"}
        self.learners = {
            n
            for n, m in self.world.machines.items()
            if f"{m.ip}:{self.world.port_base}" in addresses
        }

    async def look_ups(self) -> dict[str, Any]:
        """Clients look up at the first real ingress; what one costs it is what it takes more than
        the others do in the same seconds."""
        names = [n for n, m in self.world.machines.items() if not m.core]
        if len(names) < 2:
            return {}
        for name in names:
            await self.real[name].say({})
        order = {
            "do": "look up",
            "door": self.world.address(self.world.machines[names[0]], 2),
            "per_s": LOOK_UPS,
            "span": LOOK_SPAN,
            "regions": sorted(set(self.world.places.values())),
        }
        told = await self.beaters[0].say(order, LOOK_SPAN + BEGIN)
        asked, *others = [await self.real[name].say({}) for name in names]
        others_cpu = sum(row["cpu"] for row in others) / len(others)
        per_s = told["count"] / asked["span"]
        told |= {"per_s": per_s, "cpu": asked["cpu"], "cpu_others": others_cpu}
        told["cpu_each"] = max(0.0, asked["cpu"] - others_cpu) / per_s if per_s else 0.0
        return told

    async def measure(self) -> dict[str, Any]:
        await self.find_learners()
        await self.count()
        self.acks, self.updates, self.refused = [], [], 0
        until = time.monotonic() + self.size.seconds
        operator = asyncio.create_task(self._operator(until))
        try:
            while (left := until - time.monotonic()) > 0:
                await asyncio.sleep(min(PROGRESS, left))
                self.say(f"{len(self.acks)} orders acknowledged, {self.refused} not")
            counted = await self.count()
            await operator
        finally:
            operator.cancel()
        roles = {role: summed(rows) for role, rows in counted.items() if rows}
        served = [s for node in self.workers for s in (await node.say({"do": "served"}))["served"]]
        simulated = counted["hollow ingresses"]
        return {
            "roles": roles,
            "changes": changes(self.acks, self.updates, served),
            "refused": self.refused,
            "hollow": totals(simulated, counted["hollow servers"]),
        }

    async def _leader(self, within: float) -> str | None:
        """None: there is none, or nobody said so in so many seconds."""
        try:
            _, shown = await self._order("GET", "Fleet.Show", within=within)
        except TimeoutError:
            return None
        leader = str(shown.get("leader", "")) if isinstance(shown, dict) else ""
        return next(
            (n for n, m in self.world.machines.items() if leader.startswith(f"{m.ip}:")), None
        )

    async def troubles(self, made: dict[str, Any]) -> None:
        """What each takes, in seconds until its end for all, is added; -1: not within WELL."""
        made["waited"] = WELL
        name, term = await self._leader(WELL), await self.term()
        if name is None:
            raise OSError("no leader is known")
        began = time.monotonic()
        await self.real.pop(name).end()
        while (now := await self._leader(1.0)) in (None, name) and time.monotonic() < began + WELL:
            await asyncio.sleep(0.02)
        made["new leader"] = -1.0 if now in (None, name) else time.monotonic() - began
        self.say(f"the leader was killed: a new one after {made['new leader']:.2f} s")
        made["leases of the new leader"] = await self.all_well(began, term + 1)
        self.say(
            f"all hollow ingresses hold its leases: {shown_times(made['leases of the new leader'])}"
        )
        await self._begin_real(name, self.world.machines[name])
        began = time.monotonic()
        await asyncio.gather(*(node.say({"do": "restart"}, WELL) for node in self.workers))
        made["fleet restarts"] = await self.all_well(began)
        self.say(f"all hollow ingresses restarted at once: {shown_times(made['fleet restarts'])}")
        cores = [n for n, m in self.world.machines.items() if m.core]
        term, began = await self.term(), time.monotonic()
        await asyncio.gather(*(self.real.pop(one).end() for one in cores))
        await asyncio.gather(*(self._begin_real(one, self.world.machines[one]) for one in cores))
        made["core restarts"] = await self.all_well(began, term + 1)
        self.say(f"the core was killed and started again: {shown_times(made['core restarts'])}")
        left = sum(
            [(await node.say({"do": "cut", "region": "r0"}))["ingresses"] for node in self.workers]
        )
        made["cut for"] = min(60.0, 3 * self.size.seconds)
        await asyncio.sleep(made["cut for"])
        began = time.monotonic()
        await asyncio.gather(*(node.say({"do": "heal"}, WELL) for node in self.workers))
        made["region returns"] = await self.all_well(began, cut=self.size.ingresses - left)
        self.say(
            f"a region was cut off for {made['cut for']:.0f} s: "
            f"{shown_times(made['region returns'])}"
        )


def shown_times(times: dict[str, float]) -> str:
    if times["last"] < 0:
        return f"{100 * times['share']:.0f}% well after {WELL:.0f} s"
    return (
        f"well after {times['p50']:.2f} s (p50), {times['p99']:.2f} (p99), "
        f"{times['last']:.2f} (last)"
    )
