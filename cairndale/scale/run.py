"""One scale run: starts the processes, measures what each role costs in steady state, then injects
faults and measures recovery."""

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
from cairndale.scale.content import content, route_update
from cairndale.scale.node import WorkerProcess
from cairndale.scale.sizes import Size
from cairndale.scale.tally import change_latencies, recovery_times, role_usage, simulated_totals

HEARTBEAT_INTERVAL_S = 1.5  # of each server
# Of all simulated servers together, however many: seven times the 10,000 a day that are expected.
SERVER_RESTARTS_PER_S = 1 / 1.2
QUOTA_LEASES_PER_S = 2.0  # of each ingress
START_TIMEOUT_S = 60.0
RECOVERY_TIMEOUT_S = 30.0
ZONES_PER_REGION = 3
LOOKUPS_PER_S, LOOKUP_SPAN_S = 100.0, 5.0  # at one real ingress
ORDER_ATTEMPT_TIMEOUT_S = 8.0  # for one core machine to answer an order
PROGRESS_INTERVAL_S = 5.0  # between progress reports

Report = Callable[[str], None]


class Deployment(World):
    """The real processes of a run, spread over its regions."""

    def __init__(self, folder: Path, size: Size) -> None:
        self.size = size
        self.regions_by_zone = {
            f"z{r}{z}": f"r{r}" for r in range(size.regions) for z in range(ZONES_PER_REGION)
        }
        super().__init__(folder, cores=size.cores, edges=size.real, servers=0)
        zones = list(self.regions_by_zone)
        for number, machine in enumerate(self.machines.values()):
            machine.zone = zones[
                number * ZONES_PER_REGION % len(zones)
                + number * ZONES_PER_REGION // len(zones) % ZONES_PER_REGION
            ]

    def settings(self, machine: Any) -> dict[str, Any]:
        settings = (
            super().settings(machine)
            if machine.zone not in self.regions_by_zone
            else self._regional_settings(machine)
        )
        settings["infra"]["heartbeat"] = f"{HEARTBEAT_INTERVAL_S:.1f}s"
        settings["self"]["limits"]["nofile"] = 20_000
        return settings

    def _regional_settings(self, machine: Any) -> dict[str, Any]:
        """Return the settings of a machine in a zone of this run, which `World` does not know."""
        zone, machine.zone = machine.zone, "north-a"
        settings = super().settings(machine)
        machine.zone = zone
        settings["self"] |= {"zone": zone, "region": self.regions_by_zone[zone]}
        settings["network"]["zones"] = self.regions_by_zone
        return settings


class ScaleRun:
    """The processes of one run, and its measurements."""

    def __init__(self, folder: Path, size: Size, seed: int, report: Report) -> None:
        self.size, self.folder, self.report = size, folder, report
        self.world = Deployment(folder, size)
        self.rng = random.Random(seed)
        self.real_processes: dict[str, WorkerProcess] = {}
        self.ingress_workers: list[WorkerProcess] = []
        self.server_workers: list[WorkerProcess] = []
        self.learners: set[str] = set()
        self.gen = self.change_count = 0
        self.acks: list[tuple[float, float]] = []  # times of call and acknowledgement
        self.updates: list[tuple[float, int]] = []  # time of call, and the generation that it makes
        self.failed_orders = 0  # without a clear answer, or rejected

    # Processes.

    async def begin(self) -> None:
        """Start all processes and apply the first configuration."""
        env = {"PATH": os.environ.get("PATH", "")}
        for name, machine in self.world.machines.items():
            await self._start_real(name, machine)
        await self._apply_first_configuration()
        zones, shares = list(self.world.regions_by_zone), self._ingress_shares()
        mean_lifetime = self.size.servers / SERVER_RESTARTS_PER_S
        common: dict[str, Any] = {
            "control": self.world.control,
            "beat": HEARTBEAT_INTERVAL_S,
            "life": mean_lifetime,
        }
        for number, ingresses in enumerate(shares):
            parameters = common | {
                "cores": self._addresses(),
                "lease_per_s": QUOTA_LEASES_PER_S,
                "ingresses": ingresses,
            }
            parameters["seed"] = self.rng.getrandbits(32)
            await self._start_simulated(f"ingresses-{number}", parameters, env)
        size = self.size
        for number in range(size.server_processes):
            servers = [
                {"number": n, "service": f"s{n % size.services}", "zone": zones[n % len(zones)]}
                for n in range(number, size.servers, size.server_processes)
            ]
            parameters = common | {
                "seed": self.rng.getrandbits(32),
                "cores": [],
                "servers": servers,
            }
            await self._start_simulated(f"servers-{number}", parameters, env)

    async def _start_real(self, name: str, machine: Any) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.world.settings(machine)))
        machine.starts += 1
        env = self.world.environment(path)
        self.real_processes[name] = await WorkerProcess.begin(name, self.folder, ["real"], env)
        await self.real_processes[name].read_answer(START_TIMEOUT_S)

    async def _start_simulated(
        self, name: str, parameters: dict[str, Any], env: dict[str, str]
    ) -> None:
        worker = await WorkerProcess.begin(name, self.folder, [], env)
        processes = self.ingress_workers if parameters.get("ingresses") else self.server_workers
        processes.append(worker)
        await worker.request(parameters, START_TIMEOUT_S)

    def _addresses(self) -> list[str]:
        return [f"{m.ip}:{self.world.port_base}" for m in self.world.machines.values() if m.core]

    def _ingress_shares(self) -> list[list[dict[str, Any]]]:
        ip_block, zones = self.rng.randrange(100, 180), list(self.world.regions_by_zone)
        ingresses = [
            {
                "name": f"hollow-{n}",
                "ip": f"127.{ip_block}.{n // 250}.{n % 250 + 1}",
                "port": self.world.port_base + 1,
                "zone": zones[n % len(zones)],
                "region": self.world.regions_by_zone[zones[n % len(zones)]],
            }
            for n in range(self.size.ingresses)
        ]
        return [
            ingresses[number :: self.size.ingress_processes]
            for number in range(self.size.ingress_processes)
        ]

    async def end(self) -> None:
        """Kill all processes, at whatever point the run stopped. A process that is not registered
        yet exits at the end of its standard input."""
        nodes = [*self.ingress_workers, *self.server_workers, *self.real_processes.values()]
        for worker in nodes:
            worker.kill()
        await asyncio.gather(*(worker.end() for worker in nodes), return_exceptions=True)

    # The operator.

    async def _order(
        self, method: str, call: str, raw: Any = None, within: float = 20.0
    ) -> tuple[int, Any]:
        return await self.world.order(
            method, call, raw, within, attempt_timeout=ORDER_ATTEMPT_TIMEOUT_S
        )

    async def _apply_first_configuration(self) -> None:
        size = self.size
        self.gen = 1
        configuration = content(1, size.routes, size.tenants, size.services) | {"parent": 0}
        status, answer = await self._order("POST", "Config.Replace", configuration, START_TIMEOUT_S)
        if status != 200:
            raise OSError(f"the first configuration was not accepted: {status} {answer}")

    async def _submit_change(self) -> None:
        """Submit an update of one route, or every tenth time evacuate and restore a zone."""
        self.change_count += 1
        began_at = time.monotonic()
        if self.change_count % 10 == 5:
            zone = self.rng.choice(list(self.world.regions_by_zone))
            status, _ = await self._order("POST", f"Drain.Begin/{zone}")
            self.acks.append((began_at, time.monotonic()))
            await self._order("POST", f"Drain.Finish/{zone}")
        else:
            update = route_update(
                self.gen + 1, self.gen, self.size.routes, self.size.services, self.change_count
            )
            self.updates.append((began_at, self.gen + 1))
            status, _ = await self._order("POST", "Config.Update", update)
            if status == 200:
                self.gen += 1
                self.acks.append((began_at, time.monotonic()))
            else:
                self.updates.pop()
        self.failed_orders += status != 200

    async def _operator(self, until: float) -> None:
        while self.size.changes_per_s and time.monotonic() < until:
            began_at = time.monotonic()
            try:
                await self._submit_change()
            except TimeoutError:
                self.failed_orders += 1
            await asyncio.sleep(
                max(
                    0.0, began_at + self.rng.expovariate(self.size.changes_per_s) - time.monotonic()
                )
            )

    # Measurements.

    async def recovered_ingresses(self) -> list[tuple[int, float]]:
        """Return, for each simulated ingress with a lease and a configuration, the term of the
        lease and since when it has had both."""
        answers = await asyncio.gather(
            *(worker.request({"do": "told"}) for worker in self.ingress_workers)
        )
        return [(term, since) for answer in answers for term, since in answer["well"]]

    async def wait_recovered(
        self, began_at: float, term: int = 0, partitioned: int = 0
    ) -> dict[str, float]:
        """Wait until all simulated ingresses have a configuration and a lease of that term or
        later.

        Returns the seconds from `began_at` until half, 99% and all of them had both, -1 if not
        within `RECOVERY_TIMEOUT_S`, and the share that had both at the end. With `partitioned`,
        only that many ingresses are expected, which had neither before.
        """
        deadline, times, expected = (
            time.monotonic() + RECOVERY_TIMEOUT_S,
            list[float](),
            partitioned or self.size.ingresses,
        )
        while time.monotonic() < deadline and len(times) < expected:
            ready_delays = [
                since - began_at
                for lease_term, since in await self.recovered_ingresses()
                if lease_term >= term
            ]
            times = sorted(
                max(0.0, since) for since in ready_delays if since >= 0 or not partitioned
            )
            await asyncio.sleep(0.05)
        return recovery_times(times, expected)

    async def term(self) -> int:
        return max((term for term, _ in await self.recovered_ingresses()), default=0)

    async def collect_usage(self) -> dict[str, list[dict[str, Any]]]:
        """Return the usage of each process since the last call, by role."""
        machines = self.world.machines
        running = [n for n, m in machines.items() if m.core and n in self.real_processes]
        cores = {n: await self.real_processes[n].request({}) for n in running}
        leader = cores.pop(max(cores, key=lambda n: float(cores[n]["bytes_out"])))
        edges = [
            await self.real_processes[n].request({}) for n, m in machines.items() if not m.core
        ]
        usage = {
            "leader": [leader],
            "follower": [usage_row for n, usage_row in cores.items() if n not in self.learners],
        }
        usage["learner"] = [usage_row for n, usage_row in cores.items() if n in self.learners]
        usage["real ingress"] = edges
        usage["hollow ingresses"] = [
            await worker.request({"do": "count"}) for worker in self.ingress_workers
        ]
        usage["hollow servers"] = [
            await worker.request({"do": "count"}) for worker in self.server_workers
        ]
        return usage

    async def find_learners(self) -> None:
        """Find out which core machines are learners."""
        _, fleet = await self._order("GET", "Fleet.Show")
        addresses = {address for address, _, kind in fleet["members"] if kind == "learner"}
        self.learners = {
            n
            for n, m in self.world.machines.items()
            if f"{m.ip}:{self.world.port_base}" in addresses
        }

    async def measure_lookups(self) -> dict[str, Any]:
        """Run look-ups at the first real ingress. The cost of one is computed from the processor
        time that this ingress uses beyond that of the others in the same interval."""
        names = [n for n, m in self.world.machines.items() if not m.core]
        if len(names) < 2:
            return {}
        for name in names:
            await self.real_processes[name].request({})
        order = {
            "do": "look up",
            "door": self.world.address(self.world.machines[names[0]], 2),
            "per_s": LOOKUPS_PER_S,
            "span": LOOKUP_SPAN_S,
            "regions": sorted(set(self.world.regions_by_zone.values())),
        }
        result = await self.server_workers[0].request(order, LOOKUP_SPAN_S + START_TIMEOUT_S)
        measured, *others = [await self.real_processes[name].request({}) for name in names]
        others_cpu = sum(row["cpu"] for row in others) / len(others)
        per_s = result["count"] / measured["span"]
        result |= {"per_s": per_s, "cpu": measured["cpu"], "cpu_others": others_cpu}
        result["cpu_each"] = max(0.0, measured["cpu"] - others_cpu) / per_s if per_s else 0.0
        return result

    async def measure(self) -> dict[str, Any]:
        """Measure the costs of all roles while an operator submits changes."""
        await self.find_learners()
        await self.collect_usage()
        self.acks, self.updates, self.failed_orders = [], [], 0
        until = time.monotonic() + self.size.seconds
        operator = asyncio.create_task(self._operator(until))
        try:
            while (left := until - time.monotonic()) > 0:
                await asyncio.sleep(min(PROGRESS_INTERVAL_S, left))
                self.report(f"{len(self.acks)} orders acknowledged, {self.failed_orders} not")
            usage = await self.collect_usage()
            await operator
        finally:
            operator.cancel()
        roles = {role: role_usage(rows) for role, rows in usage.items() if rows}
        served = [
            times
            for worker in self.ingress_workers
            for times in (await worker.request({"do": "served"}))["served"]
        ]
        simulated = usage["hollow ingresses"]
        return {
            "roles": roles,
            "changes": change_latencies(self.acks, self.updates, served),
            "refused": self.failed_orders,
            "hollow": simulated_totals(simulated, usage["hollow servers"]),
        }

    async def _leader_name(self, within: float) -> str | None:
        """Return the leader's name; None if there is none, or no node answered in time."""
        try:
            _, fleet = await self._order("GET", "Fleet.Show", within=within)
        except TimeoutError:
            return None
        leader = str(fleet.get("leader", "")) if isinstance(fleet, dict) else ""
        return next(
            (n for n, m in self.world.machines.items() if leader.startswith(f"{m.ip}:")), None
        )

    async def inject_faults(self, results: dict[str, Any]) -> None:
        """Inject faults one after the other, and add to `results` the seconds until recovery from
        each; -1 if not within `RECOVERY_TIMEOUT_S`."""
        results["waited"] = RECOVERY_TIMEOUT_S
        name, term = await self._leader_name(RECOVERY_TIMEOUT_S), await self.term()
        if name is None:
            raise OSError("no leader is known")
        began_at = time.monotonic()
        await self.real_processes.pop(name).end()
        while (new_leader := await self._leader_name(1.0)) in (
            None,
            name,
        ) and time.monotonic() < began_at + RECOVERY_TIMEOUT_S:
            await asyncio.sleep(0.02)
        results["new leader"] = -1.0 if new_leader in (None, name) else time.monotonic() - began_at
        self.report(f"the leader was killed: a new one after {results['new leader']:.2f} s")
        results["leases of the new leader"] = await self.wait_recovered(began_at, term + 1)
        self.report(
            "all hollow ingresses hold its leases: "
            f"{format_times(results['leases of the new leader'])}"
        )
        await self._start_real(name, self.world.machines[name])
        began_at = time.monotonic()
        await asyncio.gather(
            *(
                worker.request({"do": "restart"}, RECOVERY_TIMEOUT_S)
                for worker in self.ingress_workers
            )
        )
        results["fleet restarts"] = await self.wait_recovered(began_at)
        self.report(
            f"all hollow ingresses restarted at once: {format_times(results['fleet restarts'])}"
        )
        cores = [n for n, m in self.world.machines.items() if m.core]
        term, began_at = await self.term(), time.monotonic()
        await asyncio.gather(*(self.real_processes.pop(core).end() for core in cores))
        await asyncio.gather(*(self._start_real(core, self.world.machines[core]) for core in cores))
        results["core restarts"] = await self.wait_recovered(began_at, term + 1)
        self.report(f"the core was killed and restarted: {format_times(results['core restarts'])}")
        running_ingresses = sum(
            [
                (await worker.request({"do": "cut", "region": "r0"}))["ingresses"]
                for worker in self.ingress_workers
            ]
        )
        results["cut for"] = min(60.0, 3 * self.size.seconds)
        await asyncio.sleep(results["cut for"])
        began_at = time.monotonic()
        await asyncio.gather(
            *(worker.request({"do": "heal"}, RECOVERY_TIMEOUT_S) for worker in self.ingress_workers)
        )
        results["region returns"] = await self.wait_recovered(
            began_at, partitioned=self.size.ingresses - running_ingresses
        )
        self.report(
            f"a region was partitioned for {results['cut for']:.0f} s: "
            f"{format_times(results['region returns'])}"
        )


def format_times(times: dict[str, float]) -> str:
    if times["last"] < 0:
        return f"{100 * times['share']:.0f}% recovered after {RECOVERY_TIMEOUT_S:.0f} s"
    return (
        f"recovered after {times['p50']:.2f} s (p50), {times['p99']:.2f} (p99), "
        f"{times['last']:.2f} (last)"
    )
