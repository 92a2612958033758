"""The nemesis of a storm: the kinds of faults by name. Victims and durations are drawn from the
storm's seed."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from cairndale.chaos.records import FaultInterval, Isolation, Record
from cairndale.chaos.relayed import Links, RelayedWorld

CATCH_UP_S = 4.0  # in which a restarted or new machine has to catch up (`sync_time`)
FREEZE_RANGE_S = (1.0, 10.0)
SLOW_RUNNING_S, SLOW_STOPPED_S = 0.01, 0.04  # in turn, while a process is slowed down


class FaultInjector:
    """Injects faults into the machines of a storm, and records when each began and ended."""

    def __init__(
        self, world: RelayedWorld, record: Record, rng: random.Random, until: float
    ) -> None:
        """`until`: the time by which all faults have ended, on the event loop's clock."""
        self.world, self.record, self.rng, self.until = world, record, rng, until
        self.fault_log: list[str] = []
        # by machine: until when its disk counts as lost
        self._disk_lost_until: dict[str, float] = {}
        self._faulty: Counter[str] = Counter()  # faults now, by machine
        self.replacing = False  # one machine is replaced at a time
        self._loop = asyncio.get_running_loop()

    # Machines to choose from.

    def cores(self) -> list[str]:
        return [n for n, m in self.world.machines.items() if m.core and m.is_deployed]

    def edges(self) -> list[str]:
        return [n for n, m in self.world.machines.items() if not m.core and m.is_deployed]

    async def leader(self) -> str:
        """Return the leader's name, or that of a random core machine while none is reported."""
        with contextlib.suppress(TimeoutError, KeyError):
            _, fleet = await self.world.order("GET", "Fleet.Show", within=1.5)
            ip = fleet["leader"].partition(":")[0]
            for name in self.cores():
                if self.world.machines[name].ip == ip:
                    return name
        return self.rng.choice(self.cores())

    async def learners(self) -> list[str]:
        """Return the non-voting core machines, as the leader reports them."""
        addresses: set[str] = set()
        with contextlib.suppress(TimeoutError, KeyError):
            _, fleet = await self.world.order("GET", "Fleet.Show", within=1.5)
            addresses = {m[0] for m in fleet["members"] if m[2:] == ["learner"]}
        return [
            n for n in self.cores() if self.world.peer_address(self.world.machines[n]) in addresses
        ]

    async def follower(self) -> str:
        leader = await self.leader()
        return self.rng.choice([n for n in self.cores() if n != leader])

    async def pick_core(self) -> str:
        """Return a random core machine, the leader with at least 60% probability."""
        return await self.leader() if self.rng.random() < 0.6 else self.rng.choice(self.cores())

    def time_left(self) -> float:
        return max(0.2, self.until - self._loop.time())

    def may_lose_disk(self) -> bool:
        """Whether a majority would still have its disks after one more loss."""
        now = self._loop.time()
        lost_disks = sum(1 for until in self._disk_lost_until.values() if until > now)
        return lost_disks < (self.world.cores - 1) // 2

    def duration(self, low: float, high: float) -> float:
        return min(self.time_left(), self.rng.uniform(low, high))

    # Faults.

    async def run(self, kind: str) -> None:
        """Inject a fault of that kind. Failures of the system are left for the checkers to find."""
        await FAULTS[kind](self)

    @contextlib.asynccontextmanager
    async def record_fault(self, kind: str, victims: Iterable[str]):  # type: ignore[no-untyped-def]
        began_at, victims = self._loop.time(), list(victims)
        interval = FaultInterval(kind, began_at, self.until + 60.0)
        self.record.faults.append(interval)
        self._faulty.update(victims)
        try:
            yield interval
        finally:
            self._faulty.subtract(victims)
            interval.end = self._loop.time()
            self.fault_log.append(
                f"{kind} {' '.join(victims)} {began_at % 1000:.1f}+{interval.end - began_at:.1f}"
            )

    async def partition(
        self, kind: str, victim: str, others: list[str], direction: str, duration: float
    ) -> None:
        links: Links = self.world.links_between([victim], others, direction)
        is_isolated = (
            set(others) >= set(self.cores() + self.edges()) - {victim} and victim in self.cores()
        )
        async with self.record_fault(f"{kind} ({direction})", [victim]):
            began_at = self._loop.time()
            self.world.partition(links, silent=self.rng.random() < 0.7)
            try:
                await asyncio.sleep(duration)
            finally:
                if is_isolated and direction == "both":
                    address = self.world.address(self.world.machines[victim], 1)
                    self.record.isolations.append(Isolation(address, began_at, self._loop.time()))
                self.world.heal(links)

    async def take_down(
        self, kind: str, victims: list[str], duration: float, signal_number: int = signal.SIGKILL
    ) -> None:
        async with self.record_fault(kind, victims):
            killed = [v for v in victims if self.world.machines[v].process]
            await asyncio.gather(*(self.world.kill(v, signal_number) for v in killed))
            await asyncio.sleep(duration)
            for name in killed:
                if self.world.machines[name].is_deployed:
                    self.start(name)

    async def freeze(self, kind: str, victim: str, duration: float) -> None:
        async with self.record_fault(kind, [victim]):
            self.world.send_signal(victim, signal.SIGSTOP)
            await asyncio.sleep(duration)
            self.world.send_signal(victim, signal.SIGCONT)

    async def wipe(self, kind: str, victim: str, duration: float) -> None:
        self._disk_lost_until[victim] = float("inf")
        async with self.record_fault(kind, [victim]):
            await self.world.wipe(victim)
            await asyncio.sleep(duration)
            self.start(victim)
        self._disk_lost_until[victim] = self._loop.time() + CATCH_UP_S

    async def fill_disk(self, kind: str, victim: str, duration: float) -> None:
        """Fill the disk of a machine for a while; then restart its process if it has exited by
        itself, or was killed, which happens half of the time."""
        async with self.record_fault(kind, [victim]):
            self.world.fill_disk(victim, True)
            await asyncio.sleep(duration)
            self.world.fill_disk(victim, False)
            if self.rng.random() < 0.5:
                await self.world.kill(victim)
            self.start(victim)

    def start(self, name: str) -> None:
        """Start the process, unless another fault has already restarted it."""
        process = self.world.machines[name].process
        if process is None or process.poll() is not None:
            self.world.start(name)

    async def supervise(self) -> None:
        """Restart processes that exited by themselves, until cancelled."""
        while True:
            await asyncio.sleep(0.2)
            for name, machine in self.world.machines.items():
                process = machine.process
                if (
                    machine.is_deployed
                    and process
                    and process.poll() is not None
                    and not self._faulty[name]
                ):
                    self.record.unexpected_exits.append(
                        f"{name} exited unexpectedly with status {process.returncode}"
                    )
                    self.world.start(name)

    async def replace(self, victim: str, new: str) -> None:
        """Replace a machine for good by one with an empty disk and an address of its own. The
        addresses that operators and servers use, and the seeds, are updated a little later."""
        world, machines = self.world, self.world.machines
        self._disk_lost_until[victim] = float("inf")
        async with self.record_fault("replace", [victim, new]):
            await world.kill(victim)
            machines[victim].is_deployed = False
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))
            machines[new].is_deployed, machines[new].zone = True, machines[victim].zone
            running = [world.address(machines[n], 1) for n in self.cores() if n != new]
            seeds = [
                *self.rng.sample(running, min(2, len(running))),
                world.address(machines[new], 1),
            ]
            self.rng.shuffle(seeds)
            world.seeds = seeds
            world.start(new)
        await asyncio.sleep(self.rng.uniform(0.0, 1.5))
        world.update_control_addresses()
        world.update_seeds(seeds)
        self._disk_lost_until.pop(victim)
        self._disk_lost_until[new] = self._loop.time() + CATCH_UP_S


FaultFunction = Callable[[FaultInjector], Awaitable[None]]
FAULTS: dict[str, FaultFunction] = {}


def fault(function: FaultFunction) -> FaultFunction:
    """Register a kind of fault under the function's name."""
    FAULTS[function.__name__.replace("_", "-")] = function
    return function


# Network partitions between the system's machines.


@fault
async def cut_leader(injector: FaultInjector) -> None:
    leader = await injector.leader()
    await injector.partition(
        "cut-leader",
        leader,
        [*injector.cores(), *injector.edges()],
        "both",
        injector.duration(1, 20),
    )


@fault
async def cut_follower(injector: FaultInjector) -> None:
    victim = await injector.follower()
    await injector.partition(
        "cut-follower",
        victim,
        [*injector.cores(), *injector.edges()],
        "both",
        injector.duration(1, 20),
    )


@fault
async def cut_core(injector: FaultInjector) -> None:
    """Partition a core machine from the core only: ingresses still reach it."""
    await injector.partition(
        "cut-core", await injector.pick_core(), injector.cores(), "both", injector.duration(1, 20)
    )


@fault
async def cut_one_way(injector: FaultInjector) -> None:
    others = (
        injector.cores() if injector.rng.random() < 0.5 else [*injector.cores(), *injector.edges()]
    )
    await injector.partition(
        "cut-one-way",
        await injector.pick_core(),
        others,
        injector.rng.choice(["in", "out"]),
        injector.duration(1, 20),
    )


@fault
async def cut_some(injector: FaultInjector) -> None:
    victim = await injector.pick_core()
    others = [n for n in [*injector.cores(), *injector.edges()] if n != victim]
    subset = injector.rng.sample(others, injector.rng.randint(1, len(others) - 1))
    await injector.partition(
        "cut-some",
        victim,
        subset,
        injector.rng.choice(["both", "both", "in", "out"]),
        injector.duration(1, 20),
    )


@fault
async def cut_ingress(injector: FaultInjector) -> None:
    victim, cores = injector.rng.choice(injector.edges()), injector.cores()
    subset = (
        cores
        if injector.rng.random() < 0.5
        else injector.rng.sample(cores, injector.rng.randint(1, len(cores)))
    )
    await injector.partition(
        "cut-ingress",
        victim,
        subset,
        injector.rng.choice(["both", "in", "out"]),
        injector.duration(1, 20),
    )


# Processes.


@fault
async def kill(injector: FaultInjector) -> None:
    await injector.take_down(
        "kill",
        [injector.rng.choice([*injector.cores(), *injector.edges()])],
        injector.duration(0.1, 2),
    )


@fault
async def kill_leader(injector: FaultInjector) -> None:
    await injector.take_down("kill-leader", [await injector.leader()], injector.duration(0.1, 2))


@fault
async def stop_leader(injector: FaultInjector) -> None:
    """In order."""
    await injector.take_down(
        "stop-leader", [await injector.leader()], injector.duration(0.1, 2), signal.SIGTERM
    )


@fault
async def kill_core(injector: FaultInjector) -> None:
    await injector.take_down("kill-core", injector.cores(), injector.duration(0.1, 2))


@fault
async def kill_all(injector: FaultInjector) -> None:
    await injector.take_down(
        "kill-all", [*injector.cores(), *injector.edges()], injector.duration(0.1, 2)
    )


@fault
async def freeze_leader(injector: FaultInjector) -> None:
    await injector.freeze(
        "freeze-leader", await injector.leader(), injector.duration(*FREEZE_RANGE_S)
    )


@fault
async def freeze(injector: FaultInjector) -> None:
    await injector.freeze(
        "freeze",
        injector.rng.choice([*injector.cores(), *injector.edges()]),
        injector.duration(*FREEZE_RANGE_S),
    )


async def slow_down(injector: FaultInjector) -> None:
    """Give a process a fifth of a processor for a while. Not among `FAULTS`."""
    victim = injector.rng.choice([*injector.cores(), *injector.edges()])
    async with injector.record_fault("slow-down", [victim]):
        ends_at = asyncio.get_running_loop().time() + injector.duration(0.5, 5)
        try:
            while asyncio.get_running_loop().time() < ends_at:
                injector.world.send_signal(victim, signal.SIGSTOP)
                await asyncio.sleep(SLOW_STOPPED_S)
                injector.world.send_signal(victim, signal.SIGCONT)
                await asyncio.sleep(SLOW_RUNNING_S)
        finally:
            injector.world.send_signal(victim, signal.SIGCONT)


# Disks.


@fault
async def wipe(injector: FaultInjector) -> None:
    victim = await injector.pick_core()
    if injector.may_lose_disk():
        await injector.wipe("wipe", victim, injector.duration(0.1, 1.5))


@fault
async def full_disk(injector: FaultInjector) -> None:
    await injector.fill_disk("full-disk", await injector.pick_core(), injector.duration(0.5, 4))


# Replacement.


@fault
async def replacement(injector: FaultInjector) -> None:
    """Replace one core machine after the other; mostly a second fault hits another machine while a
    replacement is under way."""
    if injector.replacing:
        return
    for new in [
        n
        for n, m in injector.world.machines.items()
        if m.spare and not m.is_deployed and not m.starts
    ]:
        injector.replacing = injector.time_left() >= CATCH_UP_S + 3
        if not injector.replacing:
            return
        victim = await injector.pick_core()
        tasks = [asyncio.ensure_future(injector.replace(victim, new))]
        await asyncio.sleep(injector.rng.uniform(0.0, 1.5))
        others = [n for n in injector.cores() if n not in (victim, new)]
        second_victim = injector.rng.choice(others)
        second_fault = injector.rng.choice(["kill", "freeze", "wipe", "none"])
        if second_fault == "wipe" and injector.may_lose_disk():
            tasks.append(
                asyncio.ensure_future(
                    injector.wipe("second wipe", second_victim, injector.duration(0.1, 1))
                )
            )
        elif second_fault == "freeze":
            tasks.append(
                asyncio.ensure_future(
                    injector.freeze("second freeze", second_victim, injector.duration(1, 4))
                )
            )
        elif second_fault != "none":
            tasks.append(
                asyncio.ensure_future(
                    injector.take_down("second kill", [second_victim], injector.duration(0.1, 2))
                )
            )
        await asyncio.gather(*tasks)
        await asyncio.sleep(CATCH_UP_S)
    injector.replacing = False


@fault
async def cut_steps(injector: FaultInjector) -> None:
    """Partition two voters from the leader and the learners, and later the other voters, about when
    learners replace the first two as voters.

    The four partitioned voters reach each other, and were a majority before that membership change.
    They elect a leader, unless one of them knows of the change.
    """
    leader, learners = await injector.leader(), await injector.learners()
    voters = [n for n in injector.cores() if n != leader and n not in learners]
    if len(learners) < 2 or len(voters) < 4 or injector.time_left() < 3:
        return
    injector.rng.shuffle(voters)
    partitions = [
        injector.world.links_between(group, [leader, *learners])
        for group in (voters[:2], voters[2:])
    ]
    async with injector.record_fault("cut-steps", voters):
        injector.world.partition(partitions[0], silent=True)
        await asyncio.sleep(injector.rng.uniform(0.9, 1.7))
        injector.world.partition(partitions[1], silent=True)
        await asyncio.sleep(injector.duration(6, 12))
        for links in partitions:
            injector.world.heal(links)


@fault
async def reused_door(injector: FaultInjector) -> None:
    """Replace a core machine for good, then give its address to a machine of another system."""
    spares = [
        n
        for n, m in injector.world.machines.items()
        if m.spare and not m.is_deployed and not m.starts
    ]
    if injector.replacing or not spares or injector.time_left() < CATCH_UP_S + 3:
        return
    injector.replacing = True
    victim = await injector.pick_core()
    await injector.replace(victim, spares[0])
    await asyncio.sleep(injector.rng.uniform(0.0, 2.0))
    injector.world.take_over(victim)
    injector.fault_log.append(f"another system took over the address of {victim}")
    await asyncio.sleep(CATCH_UP_S)
    injector.replacing = False


# Servers.


@dataclass(frozen=True, slots=True)
class ServerFault:
    """Makes one server, or all of a service, truncate or omit responses, or reject all requests."""

    whole_service: bool

    async def __call__(self, injector: FaultInjector) -> None:
        ready = [s for s in injector.world.started_servers if s.state == "ready" and not s.fault]
        if not ready:
            return
        chosen = injector.rng.choice(ready)
        servers = (
            [s for s in ready if s.service == chosen.service] if self.whole_service else [chosen]
        )
        server_fault = "cut" if self.whole_service else injector.rng.choice(["cut", "mute", "full"])
        duration = injector.duration(0.2, 3.0)
        injector.fault_log.append(f"spoil {len(servers)} {chosen.service} for {duration:.1f}")
        for server in servers:
            server.fault = server_fault
        await asyncio.sleep(duration)
        for server in servers:
            server.fault = ""


FAULTS["spoil"], FAULTS["spoil-all"] = ServerFault(False), ServerFault(True)


@fault
async def server(injector: FaultInjector) -> None:
    """Crash a server that may have requests in flight, and start another one."""
    crashed = injector.rng.choice(
        [s for s in injector.world.started_servers if s.state == "ready" and not s.fault]
    )
    crashed.crash()
    crashed.state = "gone"
    duration = injector.duration(0.1, 1.5)
    injector.fault_log.append(f"server {crashed.id} for {duration:.1f}")
    await asyncio.sleep(duration)
    await injector.world.add_server(crashed.service, crashed.zone)
