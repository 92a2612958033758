"""Storm: random schedules of faults in the system's real processes, under load and many operator
orders.

`python -m cairndale.chaos.storm SEED [COUNT] [PLANT] [--long] [--only KIND,...]`. The processes run
in the fault lab's wrapper (`cairndale/lab/faults/launch.py`) behind its relays. Faults are in
`faults.py`, operators in `operators.py`, and the checks of the recorded history in `judge.py`."""

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
from cairndale.chaos.faults import CATCH_UP_S, FAULTS, FaultInjector
from cairndale.chaos.operators import VERSION_KEY, Operators
from cairndale.chaos.records import Order, Probe, QuorumAnswer, Read, Record
from cairndale.chaos.register import Observation
from cairndale.chaos.relayed import RelayedWorld
from cairndale.chaos.standins import Server, http_call
from cairndale.chaos.world import OTHER_KEY, ROOT, Machine
from cairndale.raft.voters import MIN_VOTERS

RECOVERY_TIMEOUT_S = 15.0  # from the end of the faults to full recovery (`recovery`)
# slow start of a server: how long it lasts, and the requests a second that it handles meanwhile
WARMUP_S, COLD_REQUESTS_PER_S = (2.0, 3.0)
TENANT_RATE_PER_S, TENANT_BURST = 30, 10  # of the tenant that exceeds its quota
SLO = {"retrySlack": 12, "quotaSlack": 5}  # overrides those of `World`
EVACUATED_ZONE = "south-a"

# kinds that need more than three core machines
LARGE_CLUSTER_FAULTS = ("replacement", "reused-door", "cut-steps")


@dataclass(frozen=True, slots=True)
class StormPlan:
    """How large a storm is, and the kinds of faults that it injects."""

    length_s: float = 7.0  # of load and faults
    cores: int = 3
    spares: int = 0
    operator_count: int = 2  # that submit configuration changes, one order at a time each
    mean_pause: float = 0.2  # s between the orders of one operator
    fault_kinds: tuple[str, ...] = tuple(k for k in FAULTS if k not in LARGE_CLUSTER_FAULTS)


LONG_PLAN = StormPlan(30.0, 5, 7, 8, 0.05, tuple(FAULTS))


@dataclass
class Storm(RelayedWorld):
    """One run under load, operator orders and random faults."""

    seed: int = 0
    plan: StormPlan = field(default_factory=StormPlan)
    faulty_service: str = ""  # a service of which one server truncates all its responses

    def __post_init__(self) -> None:
        self.cores, self.spares = self.plan.cores, self.plan.spares
        self.servers = 3
        super().__post_init__()
        self.warmup = WARMUP_S
        self.rng = random.Random(self.seed)
        self.record = Record(self.ledger)
        self.fault_log: list[str] = []
        self.supervisor: asyncio.Task[None] | None = None

    @property
    def acknowledged_orders(self) -> list[Order]:
        return [o for o in self.record.orders.values() if o.acked_at < float("inf")]

    def settings(self, machine: Machine) -> dict[str, Any]:
        settings = super().settings(machine)
        settings["sla"]["slo"] |= SLO
        return settings

    async def end(self) -> None:
        if self.supervisor:
            self.supervisor.cancel()
        await super().end()

    # Load.

    async def send_requests(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            path = random.choice(["/tiles/1", "/books/1"])
            await self.request("GET" if path == "/tiles/1" else "POST", path)
            await asyncio.sleep(random.uniform(0, 0.1))

    async def exceed_quota(self, until: float) -> None:
        """Send requests of one tenant far above its quota."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await self.request("GET", "/tiles/2", OTHER_KEY)
            await asyncio.sleep(random.uniform(0, 0.03))

    async def probe_ingress(self, edge: str, until: float) -> None:
        loop, machine = asyncio.get_running_loop(), self.machines[edge]
        while loop.time() < until:
            incarnation, sent_at = machine.starts, loop.time()
            attempt = await self.request("GET", "/tiles/probe", VERSION_KEY, at=self.edge(edge))
            self.record.probes.append(Probe(edge, incarnation, attempt.request, sent_at))
            await asyncio.sleep(0.03)

    async def drain_servers(self, until: float) -> None:
        """Add servers and drain each after 0.6 s, at whichever node accepts its heartbeats."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(random.uniform(0.5, 3.0))
            if loop.time() > until - 1.0:
                return
            server: Server = await self.add_server("tiles", "north-a")
            await asyncio.sleep(0.6)
            await server.drain()
            self.record.drained.append((server.id, loop.time()))

    async def poll_readiness(self, until: float) -> None:
        """Record each time that a core machine reports that it is ready."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            for address in list(self.control):
                sent_at = loop.time()
                try:
                    async with asyncio.timeout(0.5):
                        status, _ = await http_call(address, "GET", "/-/readyz")
                except (OSError, TimeoutError, ValueError):
                    continue
                if status == 200:
                    self.record.quorum_answers.append(
                        QuorumAnswer(address, "a readiness probe", sent_at, loop.time())
                    )
            await asyncio.sleep(0.3)

    # The run.

    async def apply_first_configuration(self, operators: Operators) -> dict[str, Any]:
        """Apply the first configuration; return the content that later ones replace it with."""
        content = self.content()
        content["tenants"][1] |= {"ratePerS": TENANT_RATE_PER_S, "burst": TENANT_BURST}
        warmup_settings = {"warmup": f"{WARMUP_S}s", "warmupPerS": COLD_REQUESTS_PER_S}
        content["backends"] = [backend | warmup_settings for backend in content["backends"]]
        status = await operators.submit(operators.next_order(content), loss_probability=0.0)
        if status != 200:
            raise TimeoutError("the first configuration was not accepted")
        return content

    async def run(self) -> list[str]:
        """Run the storm and return the violations."""
        loop = asyncio.get_running_loop()
        await self.begin()
        operators = Operators(self, self.record, loop.time(), self.plan.mean_pause)
        try:
            content = await self.apply_first_configuration(operators)
            await self.ready(self.edges)
        except TimeoutError as error:
            return [f"the system did not start: {error}"]
        # a new machine has that long to become a voter
        if voter_violations := await self.check_voters(loop.time() + CATCH_UP_S):
            return voter_violations
        until = operators.until = loop.time() + self.plan.length_s
        if self.faulty_service:
            next(s for s in self.started_servers if s.service == self.faulty_service).fault = "cut"
        jobs: list[Callable[[], Any]] = [lambda: self.send_requests(until)] * 6 + [
            lambda: self.exceed_quota(until)
        ] * 3
        edges = [name for name, machine in self.machines.items() if not machine.core]
        jobs += [partial(self.probe_ingress, name, until + 1) for name in edges]
        jobs += [lambda: operators.submit_changes(content)] * self.plan.operator_count + [
            operators.read_repeatedly
        ] * 3
        jobs += [
            operators.resend_accepted,
            operators.show_repeatedly,
            lambda: operators.evacuate_repeatedly(EVACUATED_ZONE),
        ]
        jobs += [lambda: self.drain_servers(until), lambda: self.poll_readiness(until)]
        tasks = [asyncio.ensure_future(job()) for job in jobs]
        try:
            await self.inject_faults(until - 1)
            recovery_began_at = loop.time()
            async with asyncio.timeout(max(0.0, until - recovery_began_at) + RECOVERY_TIMEOUT_S):
                await asyncio.gather(*tasks)
            violations, last = await self.check_recovery(operators)
        except TimeoutError as error:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            violations, last = [f"not recovered in time: {error}"], None
        slo = self.settings(next(iter(self.machines.values())))["sla"]["slo"]
        violations += self.verdict() + judge.record_violations(self.record, last)
        return violations + judge.bound_violations(
            self.record,
            self.attempts,
            slo,
            self.services,
            TENANT_RATE_PER_S,
            TENANT_BURST,
            COLD_REQUESTS_PER_S,
        )

    async def inject_faults(self, until: float) -> None:
        injector, loop = (
            FaultInjector(self, self.record, self.rng, until),
            asyncio.get_running_loop(),
        )
        self.fault_log, self.supervisor = injector.fault_log, loop.create_task(injector.supervise())
        await asyncio.sleep(self.rng.uniform(0.1, 0.5))
        while loop.time() < until:
            kinds = [
                self.rng.choice(self.plan.fault_kinds)
                for _ in range(1 if self.rng.random() < 0.7 else 2)
            ]
            await asyncio.gather(*(injector.run(kind) for kind in kinds))
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))

    async def check_recovery(self, operators: Operators) -> tuple[list[str], Observation | None]:
        """Check that requests are served, orders are accepted and read back, and a leader exists.

        Returns the violations and the last read. Raises TimeoutError if the system does not
        recover.
        """
        loop, violations = asyncio.get_running_loop(), []
        began_at = loop.time()
        await self.ready(self.edges, RECOVERY_TIMEOUT_S)
        if await operators.submit(operators.next_order(), RECOVERY_TIMEOUT_S, 0.0) != 200:
            raise TimeoutError("no order is accepted")
        for name in [n for n, m in self.machines.items() if not m.core]:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                while (await self.request("GET", "/tiles/1", at=self.edge(name))).status != 200:
                    await asyncio.sleep(0.1)
        read: Read | None = None
        for address in self.control:  # every node answers reads, followers by asking the leader
            started_at, read = loop.time(), None
            while read is None and loop.time() < started_at + RECOVERY_TIMEOUT_S:
                read = await operators.read(address)
            if read is None:
                raise TimeoutError(f"no answer to a read at {address}")
        assert read
        last = Observation(read.gen, read.sent_at, read.received_at)
        _, fleet = await self.order("GET", "Fleet.Show", within=RECOVERY_TIMEOUT_S)
        if EVACUATED_ZONE in fleet["evacuated"]:
            violations.append(
                f"{EVACUATED_ZONE} was restored, but is still evacuated: {fleet['evacuated']}"
            )
        if (newest := judge.newest_acknowledged(self.record)) and read.marker != newest.marker:
            violations.append(
                f"{newest.marker} was acknowledged last, but {read.marker} is read back"
            )
        violations += await self.check_voters(began_at + RECOVERY_TIMEOUT_S)
        self.fault_log.append(f"recovered after {loop.time() - began_at:.1f} s")
        return violations, last

    async def check_voters(self, until: float) -> list[str]:
        """Wait until the voters are an odd number of deployed machines, without removed ones;
        return a violation if that takes longer than `until`."""
        loop = asyncio.get_running_loop()
        deployed = {
            self.peer_address(m) for m in self.machines.values() if m.core and m.is_deployed
        }
        while True:
            _, fleet = await self.order("GET", "Fleet.Show", within=RECOVERY_TIMEOUT_S)
            voters = [m[0] for m in fleet["members"] if m[2:] != ["learner"]]
            removed = [address for address in voters if address not in deployed]
            if not removed and len(voters) % 2 and len(voters) >= min(self.plan.cores, MIN_VOTERS):
                return []
            if loop.time() > until:
                return [
                    f"{len(voters)} voters, {len(removed)} of them removed: {' '.join(removed)}"
                ]
            await asyncio.sleep(0.2)


async def run_storm(
    seed: int, plant: str = "", faulty_service: str = "", plan: StormPlan | None = None
) -> Storm:
    with tempfile.TemporaryDirectory() as folder:
        storm = Storm(
            Path(folder),
            seed=seed,
            plant=plant,
            faulty_service=faulty_service,
            plan=plan or StormPlan(),
        )
        violations = ["the storm did not end"]
        try:
            violations = await storm.run()
            if any("plants.py" in log.read_text() for log in Path(folder).glob("*.log")):
                raise RuntimeError("the known defect was not applied; see the logs")
        finally:
            await storm.end()
            if violations:  # keep the logs of all processes
                log_folder = ROOT / "lab-out" / f"storm-{seed}"
                shutil.rmtree(log_folder, ignore_errors=True)
                shutil.copytree(folder, log_folder)
        storm.violations = violations
        return storm


def main() -> int:
    parser = argparse.ArgumentParser(prog="cairndale.chaos.storm")
    parser.add_argument("seed", type=int, nargs="?", default=1)
    parser.add_argument("count", type=int, nargs="?", default=1)
    parser.add_argument(
        "plant",
        nargs="?",
        default="",
        help="known defect: MODULE:FUNCTION, or a function of cairndale.chaos.mutations",
    )
    parser.add_argument(
        "--long", action="store_true", help="30 s, 5 core machines, 8 concurrent operators"
    )
    parser.add_argument("--only", default="", help="kinds of faults: " + ", ".join(FAULTS))
    parser.add_argument("--length", type=float, help="seconds of load and faults")
    parser.add_argument(
        "--cores", type=int, help="core machines; with 7, two are learners, as cut-steps requires"
    )
    options = parser.parse_args()
    plan = LONG_PLAN if options.long else StormPlan()
    fault_kinds = tuple(options.only.split(",")) if options.only else plan.fault_kinds
    if unknown := set(fault_kinds) - set(FAULTS):
        parser.error(f"unknown kind of fault: {', '.join(unknown)}")
    cores = options.cores or plan.cores
    plan = StormPlan(
        options.length or plan.length_s,
        cores,
        plan.spares,
        plan.operator_count,
        plan.mean_pause,
        fault_kinds,
    )
    plant = (
        options.plant
        if ":" in options.plant or not options.plant
        else f"cairndale.chaos.mutations:{options.plant}"
    )
    violated_runs = attempts = acknowledged = 0
    for seed in range(options.seed, options.seed + options.count):
        storm = asyncio.run(run_storm(seed, plant, plan=plan))
        violations = storm.violations
        served = sum(1 for attempt in storm.attempts if attempt.status == 200)
        sent = sum(len(o.submissions) for o in storm.record.orders.values())
        attempts, acknowledged, violated_runs = (
            attempts + len(storm.attempts),
            acknowledged + len(storm.acknowledged_orders),
            violated_runs + bool(violations),
        )
        orders, reads = len(storm.record.orders), len(storm.record.reads)
        print(
            f"seed {seed}: {len(storm.attempts)} attempts, {served} served, "
            f"{len(storm.acknowledged_orders)} versions ",
            end="",
        )
        print(f"of {orders} orders sent {sent} times, {reads} reads, ", end="")
        print(f"{len(violations)} violations; " + "; ".join(storm.fault_log), flush=True)
        for line in violations[:8]:
            print(f"  {line}", flush=True)
    print(
        f"{options.count} schedules, {violated_runs} with violations; {attempts} attempts, "
        f"{acknowledged} versions acknowledged"
    )
    return 1 if violated_runs else 0


if __name__ == "__main__":
    sys.exit(main())
