"""Soak of acknowledged orders and departures: real processes, overlapping series of faults.

`python -m cairndale.chaos.control_soak SEED [COUNT] [--length S] [--edges N]`. Three series run
beside a light load, restarts in order and signals:

- an order for a zone is acknowledged, the opposite is ordered, and a copy of the first, which a
  partition held up, arrives last: on a connection that is open since then, or on a new one;
- servers announce their departure, all control processes are killed and come back, and a heartbeat
  from before the departure arrives late, while the server still serves;
- configurations with odd but valid values come into force, and at times one without tenants.

What was acknowledged has to hold at the end and, for departures, all the time (`violations`).
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

from cairndale.chaos.configuration_operator import ConfigurationOperator
from cairndale.chaos.key_removal import (
    KeylessTime,
    Removal,
    key_violations,
    removal_body,
    send_refused_requests,
)
from cairndale.chaos.odd_configurations import (
    GENERATION_STEPS,
    UNREADABLE_TEXT,
    odd_route,
    odd_tenant,
)
from cairndale.chaos.soak_runner import parse_options, run_and_keep_logs, run_seeds
from cairndale.chaos.standins import Server
from cairndale.chaos.supervised_world import SupervisedWorld, exit_violations

ORDERED_ZONE = "south-c"  # without servers and ingresses: its orders disturb nothing else
DRAIN_S = 3.0  # `drain` in the settings of the processes
CONTACT_S = 4.0  # after which processes that were restarted have to know what was acknowledged
ACK_S = 6.0  # `ack`: for which an order may be sent again
CALL_TIMEOUT_S = 1.0  # after which a caller goes on to another control node
RESTART_PAUSE_S = 0.8  # for which killed control processes stay down
DEFAULT_LENGTH_S = 20.0
DEFAULT_EDGES = 2
READY_WITHIN_S = 30.0
LOAD_PAUSE_S = 0.05
# After which the close of a late order's connection arrives.
CLOSE_DELAYS_S = (0.0, 0.002, 0.04, 0.5)
RELAYED_CLOSE_DELAYS_S = (0.0, 0.002, 0.04, 0.15)  # on a new connection: up to a round trip


@dataclass(slots=True)
class Departed:
    """A server whose departure was acknowledged at `at`, in seconds on the loop's clock."""

    server: Server
    at: float


@dataclass(slots=True)
class Disturbance:
    """A time in which processes were down, in seconds on the loop's clock."""

    began_at: float
    ended_at: float = float("inf")

    def covers(self, time: float) -> bool:
        """Whether some process may not be in touch at that time."""
        return self.began_at <= time <= self.ended_at + CONTACT_S


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """How large a soak is: data-plane nodes, and seconds of load and faults."""

    edges: int = DEFAULT_EDGES
    length_s: float = DEFAULT_LENGTH_S
    pause_s: tuple[float, float] = (0.1, 1.5)  # between two actions of a series
    key_removal_share: float = 0.15  # of the changes of the configuration


@dataclass
class ControlSoak(SupervisedWorld):
    """One run; `seed` determines the actions and their pauses."""

    seed: int = 0
    plan: SoakPlan = field(default_factory=SoakPlan)

    def __post_init__(self) -> None:
        self.cores, self.edges, self.servers = 5, self.plan.edges, 2
        super().__post_init__()
        self.zones[ORDERED_ZONE] = "south"
        self.rng = random.Random(self.seed)
        self.actions: list[str] = []
        self.departed: list[Departed] = []
        self.orders_in_force = 0
        self.disturbances: list[Disturbance] = []
        self.keyless_times: list[KeylessTime] = []
        self.unanswered: list[str] = []  # actions that had no clear answer in time
        self.operator = ConfigurationOperator(self, self.actions)
        # One loss of control processes, or of data-plane processes, at a time.
        self._core_lock, self._edge_lock = asyncio.Lock(), asyncio.Lock()
        self._until = 0.0
        self._load_ended = False

    def now(self) -> float:
        """Seconds on the loop's clock."""
        return asyncio.get_running_loop().time()

    async def run(self) -> list[str]:
        """Run the soak; return the violations, a line each."""
        await self.begin()
        try:
            await self.operator.replace(self._next_configuration(odd=False))
            await self.ready(self.edges, READY_WITHIN_S)
        except TimeoutError as error:
            return [f"the system did not start: {error}"]
        self._until = self.now() + self.plan.length_s
        series = (
            self._late_order,
            self._departure,
            self._kill_all,
            self._reconfigure,
            self._restart_core,
            self._restart_edge,
            self._send_sighup,
        )
        tasks = [asyncio.ensure_future(self._repeat(action)) for action in series]
        load = asyncio.ensure_future(self._load())
        platform = asyncio.ensure_future(self.supervise())
        try:
            async with asyncio.timeout(self.plan.length_s + 2 * READY_WITHIN_S):
                await asyncio.gather(*tasks)
            await self.ready(self.edges, READY_WITHIN_S)
            await asyncio.sleep(CONTACT_S)
            self._load_ended = True
            await load
            served = await self.request("GET", "/tiles/end")
            await self.operator.read_in_force()
            violations = [*self.violations, *exit_violations(self.unexpected_exits)]
            return violations + self.verdict() + await self._check_end(served.status)
        except TimeoutError as error:
            return [*self.violations, f"not recovered in time: {error}; {self.actions[-3:]}"]
        finally:
            for task in (*tasks, load, platform):
                task.cancel()
            await asyncio.gather(*tasks, load, platform, return_exceptions=True)

    def start(self, name: str) -> None:
        """Start a process, which is not in touch for a while."""
        super().start(name)
        self.disturbances.append(Disturbance(self.now(), self.now()))

    async def _repeat(self, action: Callable[[], Coroutine[Any, Any, None]]) -> None:
        while self.now() < self._until:
            await asyncio.sleep(self.rng.uniform(*self.plan.pause_s))
            try:
                await action()
            except TimeoutError:
                self.unanswered.append(action.__name__)

    async def _load(self) -> None:
        while not self._load_ended:
            await self.request("GET", f"/tiles/{len(self.attempts)}")
            await asyncio.sleep(LOAD_PAUSE_S)

    # Late copies of orders.

    async def _late_order(self) -> None:
        """A copy of an order arrives after the opposite was ordered."""
        first = "Drain.Finish" if self.orders_in_force else "Drain.Begin"
        second = "Drain.Begin" if first == "Drain.Finish" else "Drain.Finish"
        is_relayed = self.rng.random() < 0.5
        held = None if is_relayed else await self._open_connection()
        held_from = self.now()
        await self._acknowledge_order(first)
        # An order may be sent again within `ack`; after that the next one is another.
        await asyncio.sleep(self.rng.choice([0.0, 0.5, 7.0]))
        await self._acknowledge_order(second)
        if self.now() - held_from < CALL_TIMEOUT_S:
            await asyncio.sleep(CALL_TIMEOUT_S)
        if is_relayed:  # by a proxy that connects only after the partition
            held = await self._open_connection()
        if held is not None:
            delays = RELAYED_CLOSE_DELAYS_S if is_relayed else CLOSE_DELAYS_S
            await self._send_held(held, first, self.rng.choice(delays))
        self.actions.append(f"{first}, {second}, a late copy of {first}")

    async def _open_connection(self) -> asyncio.StreamWriter | None:
        host, _, port = self.rng.choice(self.control).rpartition(":")
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return (await asyncio.open_connection(host, int(port)))[1]
        except (OSError, TimeoutError):
            return None

    async def _send_held(
        self, connection: asyncio.StreamWriter, call: str, close_delay_s: float
    ) -> None:
        """Deliver the held-up order and, after a delay, the close of its connection."""
        head = f"POST /-/{call}/{ORDERED_ZONE} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        connection.write(head.encode())
        await asyncio.sleep(close_delay_s)
        connection.close()

    async def _acknowledge_order(self, call: str) -> None:
        """Order until it is acknowledged. Raises TimeoutError after `ack`, as it may not go on."""
        try:
            status, answer = await self.order(
                "POST", f"{call}/{ORDERED_ZONE}", within=ACK_S, attempt_timeout=CALL_TIMEOUT_S
            )
        except TimeoutError:
            await self._read_orders_in_force()
            raise
        if status != 200:
            self.violations.append(f"{call}: {status} {answer}")
            return
        self.orders_in_force += 1 if call == "Drain.Begin" else -1

    async def _read_orders_in_force(self) -> None:
        """After an order without an answer: whether it is in force, once no copy can come."""
        await asyncio.sleep(CALL_TIMEOUT_S)
        _, shown = await self.order("GET", "Fleet.Show", within=READY_WITHIN_S)
        self.orders_in_force = shown["evacuated"].get(ORDERED_ZONE, 0)
        self.actions.append("an order was not acknowledged")

    # Departures, and kills of all control processes.

    async def _departure(self) -> None:
        """A server announces its departure, serves on, and a heartbeat from before arrives late."""
        server = await self.add_server("tiles", self.rng.choice(["north-a", "south-a"]))
        await asyncio.sleep(1.0)
        ends = self.rng.random() < 0.7
        body = server.heartbeat_body()
        await server.leave(by_ending=ends)
        self.departed.append(Departed(server, self.now()))
        self.actions.append(f"{server.id} {'ended' if ends else 'drains'}")
        for _ in range(3):
            await asyncio.sleep(self.rng.uniform(0.1, 3.0))
            await server.send_late_heartbeat(body, CALL_TIMEOUT_S)

    async def _kill_all(self) -> None:
        """Kill all control processes, or all processes, at once; they come back within a second."""
        await asyncio.sleep(self.rng.uniform(0.0, 6.0))
        async with self._core_lock:
            if self.rng.random() < 0.3:
                async with self._edge_lock:
                    await self._kill_at_once(list(self.machines))
                self.actions.append("all processes killed")
            else:
                await self._kill_at_once([m.name for m in self.machines.values() if m.core])
                self.actions.append("all control processes killed")
            await asyncio.sleep(CONTACT_S * self.rng.uniform(0.3, 1.5))

    async def _kill_at_once(self, names: list[str]) -> None:
        disturbance = self._begin_disturbance()
        await asyncio.gather(*(self.kill(name) for name in names))
        await asyncio.sleep(RESTART_PAUSE_S)
        for name in names:
            self.start(name)
        disturbance.ended_at = self.now()

    async def _restart_core(self) -> None:
        """Restart one control process in order."""
        async with self._core_lock:
            name = self.rng.choice([m.name for m in self.machines.values() if m.core])
            await self._restart(name)
            self.actions.append(f"{name} restarted")
        await asyncio.sleep(2.0)

    async def _restart_edge(self) -> None:
        """Restart one data-plane process in order."""
        name = self.rng.choice([m.name for m in self.machines.values() if not m.core])
        async with self._edge_lock:
            await self._restart(name)
        self.actions.append(f"{name} restarted")
        await asyncio.sleep(3.0)

    async def _restart(self, name: str) -> None:
        disturbance = self._begin_disturbance()
        await self.kill(name, signal.SIGTERM)
        self.start(name)
        disturbance.ended_at = self.now()

    def _begin_disturbance(self) -> Disturbance:
        disturbance = Disturbance(self.now())
        self.disturbances.append(disturbance)
        return disturbance

    async def _send_sighup(self) -> None:
        """Have processes read their settings again, whatever they are doing."""
        for name in self.rng.sample(sorted(self.machines), 2):
            with suppress(ProcessLookupError):
                if self.machines[name].process:
                    self.send_signal(name, signal.SIGHUP)

    # Configurations.

    def _next_configuration(self, odd: bool) -> dict[str, Any]:
        """The next configuration; `odd`: with values that are rare, but valid."""
        step = self.rng.choice(GENERATION_STEPS) if odd else 1
        gen = self.operator.gen
        content = self.content() | {"gen": gen + step, "parent": gen}
        for tenant in content["tenants"]:
            tenant |= {"ratePerS": 0, "burst": 0}
        if odd:
            content["routes"].append(odd_route(self.rng, ("books", "tiles")))
            content["tenants"].append(odd_tenant(self.rng))
        return content

    async def _reconfigure(self) -> None:
        """Replace the configuration; it is sent until there is a clear answer."""
        if self.rng.random() < 0.2:
            await self._send_unreadable_configuration()
        if self.rng.random() < self.plan.key_removal_share:
            await self._remove_keys()
        await self.operator.replace(self._next_configuration(odd=self.rng.random() < 0.8))

    async def _remove_keys(self) -> None:
        """Remove all tenants for a while; the next configuration has them again."""
        before, gen = self.operator.in_force, self.operator.gen
        generations = {"gen": gen + 1, "parent": gen}
        how = self.rng.choice(list(Removal))
        body = removal_body(how, before) | generations
        content = before | generations | {"tenants": []}
        if how is Removal.NO_LIST:
            del content["tenants"]
        call = "Update" if how is Removal.UPDATE else "Replace"
        if await self.operator.send(call, body, content) != 200:
            return
        self.keyless_times.append(await send_refused_requests(self, self.rng))

    async def _send_unreadable_configuration(self) -> None:
        content = self._next_configuration(odd=False)
        content["routes"][0]["host"] = UNREADABLE_TEXT
        status, answer = await self.order("POST", "Config.Replace", content, within=30.0)
        self.actions.append(f"unreadable gen {content['gen']}: {status}")
        if status != 400:
            self.violations.append(f"unreadable gen {content['gen']}: {status} {answer}")

    # Checks.

    async def _check_end(self, served: int) -> list[str]:
        wrong = [] if served == 200 else [f"a request at the end got {served}"]
        wrong += key_violations(self, self.keyless_times)
        _, shown = await self.order("GET", "Fleet.Show")
        evacuated = shown["evacuated"].get(ORDERED_ZONE, 0)
        if evacuated != self.orders_in_force:
            wrong.append(f"orders in force: {evacuated}, not {self.orders_in_force}")
        ready = {server["id"] for server in shown["servers"] if server["state"] == "ready"}
        for departed in self.departed:
            id = departed.server.id
            if id in ready:
                wrong.append(f"{id} is ready, though its departure was acknowledged")
            late = [
                execution.at - departed.at
                for execution in self.ledger.executions
                if execution.server == id
                and execution.at > departed.at + DRAIN_S
                and not any(d.covers(execution.at) for d in self.disturbances)
            ]
            if late:
                wrong.append(f"{id} ran {len(late)} requests, the last after {max(late):.1f} s")
        return wrong


async def run_soak(seed: int, plan: SoakPlan | None = None) -> tuple[ControlSoak, list[str]]:
    """Run one soak; return it and the violations. With violations, the logs are kept."""
    with tempfile.TemporaryDirectory() as folder:
        soak = ControlSoak(Path(folder), seed=seed, plan=plan or SoakPlan())
        return await run_and_keep_logs(soak, folder, f"control-soak-{seed}")


def main() -> int:
    """Run soaks from the command line; the exit code is 1 if one of them had violations."""
    options = parse_options("cairndale.chaos.control_soak", DEFAULT_EDGES, DEFAULT_LENGTH_S)
    plan = SoakPlan(options.edges, options.length)
    return run_seeds(
        range(options.seed, options.seed + options.count),
        lambda seed: run_soak(seed, plan),
        lambda soak: f"{len(soak.actions)} actions, {len(soak.departed)} departures",
    )


if __name__ == "__main__":
    sys.exit(main())
