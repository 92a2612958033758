"""The troubles of a storm: each kind by name, its victims and lengths drawn by the storm's seed."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from cairndale.chaos.records import Isolation, Record, Span
from cairndale.chaos.relayed import Pairs, RelayedWorld

SYNC = 4.0  # s in which a machine that is back, or new, has to have caught up (`sync_time`)
FREEZE = (1.0, 10.0)  # s


class Troubles:
    def __init__(
        self, world: RelayedWorld, record: Record, rng: random.Random, until: float
    ) -> None:
        """`until`: by when all of it is over."""
        self.world, self.record, self.rng, self.until = world, record, rng, until
        self.did: list[str] = []
        # disks that were lost, and until when they count as lost
        self._empty: dict[str, float] = {}
        self._busy: set[str] = set()  # machines in trouble now
        self.replacing = False  # one goes for good at a time
        self._loop = asyncio.get_running_loop()

    # What is there.

    def cores(self) -> list[str]:
        return [n for n, m in self.world.machines.items() if m.core and m.here]

    def edges(self) -> list[str]:
        return [n for n, m in self.world.machines.items() if not m.core and m.here]

    async def leader(self) -> str:
        """Its name, or any's of the core while nobody says."""
        with contextlib.suppress(TimeoutError, KeyError):
            _, shown = await self.world.order("GET", "Fleet.Show", within=1.5)
            ip = shown["leader"].partition(":")[0]
            for name in self.cores():
                if self.world.machines[name].ip == ip:
                    return name
        return self.rng.choice(self.cores())

    async def learners(self) -> list[str]:
        """Core machines that carry the log and do not vote, as the leader says."""
        addresses: set[str] = set()
        with contextlib.suppress(TimeoutError, KeyError):
            _, shown = await self.world.order("GET", "Fleet.Show", within=1.5)
            addresses = {m[0] for m in shown["members"] if m[2:] == ["learner"]}
        return [n for n in self.cores() if self.world.own(self.world.machines[n]) in addresses]

    async def follower(self) -> str:
        leader = await self.leader()
        return self.rng.choice([n for n in self.cores() if n != leader])

    async def one(self) -> str:
        """A core machine, the leader more often than others."""
        return await self.leader() if self.rng.random() < 0.6 else self.rng.choice(self.cores())

    def left(self) -> float:
        return max(0.2, self.until - self._loop.time())

    def may_lose_disk(self) -> bool:
        """So many disks at once are borne as leave a majority."""
        now = self._loop.time()
        lost = sum(1 for until in self._empty.values() if until > now)
        return lost < (self.world.cores - 1) // 2

    def span(self, low: float, high: float) -> float:
        return min(self.left(), self.rng.uniform(low, high))

    # What is done.

    async def run(self, kind: str) -> None:
        """Never raises for what the system does: that is the judge's to see."""
        await TROUBLES[kind](self)

    @contextlib.asynccontextmanager
    async def during(self, kind: str, victims: Iterable[str]):  # type: ignore[no-untyped-def]
        begun, victims = self._loop.time(), list(victims)
        mine = Span(kind, begun, self.until + 60.0)
        self.record.spans.append(mine)
        self._busy |= set(victims)
        try:
            yield mine
        finally:
            self._busy -= set(victims)
            mine.end = self._loop.time()
            self.did.append(f"{kind} {' '.join(victims)} {begun % 1000:.1f}+{mine.end - begun:.1f}")

    async def cut(self, kind: str, victim: str, others: list[str], ways: str, span: float) -> None:
        pairs: Pairs = self.world.between([victim], others, ways)
        off = set(others) >= set(self.cores() + self.edges()) - {victim} and victim in self.cores()
        async with self.during(f"{kind} ({ways})", [victim]):
            begun = self._loop.time()
            self.world.cut(pairs, silent=self.rng.random() < 0.7)
            try:
                await asyncio.sleep(span)
            finally:
                if off and ways == "both":
                    address = self.world.address(self.world.machines[victim], 1)
                    self.record.isolations.append(Isolation(address, begun, self._loop.time()))
                self.world.heal(pairs)

    async def down(
        self, kind: str, victims: list[str], span: float, number: int = signal.SIGKILL
    ) -> None:
        async with self.during(kind, victims):
            killed = [v for v in victims if self.world.machines[v].process]
            await asyncio.gather(*(self.world.kill(v, number) for v in killed))
            await asyncio.sleep(span)
            for name in killed:
                if self.world.machines[name].here:
                    self.start(name)

    async def freeze(self, kind: str, victim: str, span: float) -> None:
        async with self.during(kind, [victim]):
            self.world.tell(victim, signal.SIGSTOP)
            await asyncio.sleep(span)
            self.world.tell(victim, signal.SIGCONT)

    async def wipe(self, kind: str, victim: str, span: float) -> None:
        self._empty[victim] = float("inf")
        async with self.during(kind, [victim]):
            await self.world.wipe(victim)
            await asyncio.sleep(span)
            self.start(victim)
        self._empty[victim] = self._loop.time() + SYNC

    async def fill(self, kind: str, victim: str, span: float) -> None:
        """Whoever ends by itself over that, or is killed, is started again when there is room
        again."""
        async with self.during(kind, [victim]):
            self.world.fill_disk(victim, True)
            await asyncio.sleep(span)
            self.world.fill_disk(victim, False)
            if self.rng.random() < 0.5:
                await self.world.kill(victim)
            self.start(victim)

    def start(self, name: str) -> None:
        """Unless another trouble has already done so."""
        process = self.world.machines[name].process
        if process is None or process.poll() is not None:
            self.world.start(name)

    async def platform(self) -> None:
        """Starts again what ended by itself, until it is cancelled."""
        while True:
            await asyncio.sleep(0.2)
            for name, machine in self.world.machines.items():
                process = machine.process
                if (
                    machine.here
                    and process
                    and process.poll() is not None
                    and name not in self._busy
                ):
                    self.record.ended.append(f"{name} ended by itself with {process.returncode}")
                    self.world.start(name)

    async def replace(self, victim: str, new: str) -> None:
        """A machine goes for good; one with an empty disk, at a door of its own, takes its place;
        the list of operators and servers, and the seeds, follow a little later."""
        world, machines = self.world, self.world.machines
        self._empty[victim] = float("inf")
        async with self.during("replace", [victim, new]):
            await world.kill(victim)
            machines[victim].here = False
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))
            machines[new].here, machines[new].zone = True, machines[victim].zone
            running = [world.address(machines[n], 1) for n in self.cores() if n != new]
            seeds = [
                *self.rng.sample(running, min(2, len(running))),
                world.address(machines[new], 1),
            ]
            self.rng.shuffle(seeds)
            world.seeds = seeds
            world.start(new)
        await asyncio.sleep(self.rng.uniform(0.0, 1.5))
        world.relist()
        world.reseed(seeds)
        self._empty.pop(victim)
        self._empty[new] = self._loop.time() + SYNC


Kind = Callable[[Troubles], Awaitable[None]]
TROUBLES: dict[str, Kind] = {}


def trouble(made: Kind) -> Kind:
    TROUBLES[made.__name__.replace("_", "-")] = made
    return made


# Cuts between the system's own.


@trouble
async def cut_leader(t: Troubles) -> None:
    leader = await t.leader()
    await t.cut("cut-leader", leader, [*t.cores(), *t.edges()], "both", t.span(1, 20))


@trouble
async def cut_follower(t: Troubles) -> None:
    one = await t.follower()
    await t.cut("cut-follower", one, [*t.cores(), *t.edges()], "both", t.span(1, 20))


@trouble
async def cut_core(t: Troubles) -> None:
    """From the core alone: ingresses still reach it."""
    await t.cut("cut-core", await t.one(), t.cores(), "both", t.span(1, 20))


@trouble
async def cut_one_way(t: Troubles) -> None:
    others = t.cores() if t.rng.random() < 0.5 else [*t.cores(), *t.edges()]
    await t.cut("cut-one-way", await t.one(), others, t.rng.choice(["in", "out"]), t.span(1, 20))


@trouble
async def cut_some(t: Troubles) -> None:
    one = await t.one()
    others = [n for n in [*t.cores(), *t.edges()] if n != one]
    some = t.rng.sample(others, t.rng.randint(1, len(others) - 1))
    await t.cut("cut-some", one, some, t.rng.choice(["both", "both", "in", "out"]), t.span(1, 20))


@trouble
async def cut_ingress(t: Troubles) -> None:
    one, cores = t.rng.choice(t.edges()), t.cores()
    some = cores if t.rng.random() < 0.5 else t.rng.sample(cores, t.rng.randint(1, len(cores)))
    await t.cut("cut-ingress", one, some, t.rng.choice(["both", "in", "out"]), t.span(1, 20))


# Processes.


@trouble
async def kill(t: Troubles) -> None:
    await t.down("kill", [t.rng.choice([*t.cores(), *t.edges()])], t.span(0.1, 2))


@trouble
async def kill_leader(t: Troubles) -> None:
    await t.down("kill-leader", [await t.leader()], t.span(0.1, 2))


@trouble
async def stop_leader(t: Troubles) -> None:
    """In order."""
    await t.down("stop-leader", [await t.leader()], t.span(0.1, 2), signal.SIGTERM)


@trouble
async def kill_core(t: Troubles) -> None:
    await t.down("kill-core", t.cores(), t.span(0.1, 2))


@trouble
async def kill_all(t: Troubles) -> None:
    await t.down("kill-all", [*t.cores(), *t.edges()], t.span(0.1, 2))


@trouble
async def freeze_leader(t: Troubles) -> None:
    await t.freeze("freeze-leader", await t.leader(), t.span(*FREEZE))


@trouble
async def freeze(t: Troubles) -> None:
    await t.freeze("freeze", t.rng.choice([*t.cores(), *t.edges()]), t.span(*FREEZE))


# Disks.


@trouble
async def wipe(t: Troubles) -> None:
    victim = await t.one()
    if t.may_lose_disk():
        await t.wipe("wipe", victim, t.span(0.1, 1.5))


@trouble
async def full_disk(t: Troubles) -> None:
    await t.fill("full-disk", await t.one(), t.span(0.5, 4))


# Replacement.


@trouble
async def replacement(t: Troubles) -> None:
    """One core machine after the other, each with a second loss while its place is taken."""
    if t.replacing:
        return
    for new in [n for n, m in t.world.machines.items() if m.spare and not m.here and not m.starts]:
        t.replacing = t.left() >= SYNC + 3
        if not t.replacing:
            return
        victim = await t.one()
        going = [asyncio.ensure_future(t.replace(victim, new))]
        await asyncio.sleep(t.rng.uniform(0.0, 1.5))
        others = [n for n in t.cores() if n not in (victim, new)]
        second = t.rng.choice(others)
        how = t.rng.choice(["kill", "freeze", "wipe", "none"])
        if how == "wipe" and t.may_lose_disk():
            going.append(asyncio.ensure_future(t.wipe("second wipe", second, t.span(0.1, 1))))
        elif how == "freeze":
            going.append(asyncio.ensure_future(t.freeze("second freeze", second, t.span(1, 4))))
        elif how != "none":
            going.append(asyncio.ensure_future(t.down("second kill", [second], t.span(0.1, 2))))
        await asyncio.gather(*going)
        await asyncio.sleep(SYNC)
    t.replacing = False


@trouble
async def cut_steps(t: Troubles) -> None:
    """Two voters are cut off from the leader and the learners, and the other voters about when
    learners take the places of those two: the four hear each other, and were a majority before that
    change. They lead, or the change is known to one of them."""
    leader, learners = await t.leader(), await t.learners()
    voters = [n for n in t.cores() if n != leader and n not in learners]
    if len(learners) < 2 or len(voters) < 4 or t.left() < 3:
        return
    t.rng.shuffle(voters)
    steps = [t.world.between(some, [leader, *learners]) for some in (voters[:2], voters[2:])]
    async with t.during("cut-steps", voters):
        t.world.cut(steps[0], silent=True)
        await asyncio.sleep(t.rng.uniform(0.9, 1.7))
        t.world.cut(steps[1], silent=True)
        await asyncio.sleep(t.span(6, 12))
        for pairs in steps:
            t.world.heal(pairs)


@trouble
async def reused_door(t: Troubles) -> None:
    """A core machine goes for good, another takes its place, and its door becomes one of another
    system."""
    spares = [n for n, m in t.world.machines.items() if m.spare and not m.here and not m.starts]
    if t.replacing or not spares or t.left() < SYNC + 3:
        return
    t.replacing = True
    victim = await t.one()
    await t.replace(victim, spares[0])
    await asyncio.sleep(t.rng.uniform(0.0, 2.0))
    t.world.take_over(victim)
    t.did.append(f"the door of {victim} is another system's")
    await asyncio.sleep(SYNC)
    t.replacing = False


# Servers.


@dataclass(frozen=True, slots=True)
class Spoil:
    all: bool

    async def __call__(self, t: Troubles) -> None:
        """One, or all of a service, break off their answers, or say nothing, or turn all away."""
        ready = [s for s in t.world.up if s.state == "ready" and not s.how]
        if not ready:
            return
        one = t.rng.choice(ready)
        some = [s for s in ready if s.service == one.service] if self.all else [one]
        how = "cut" if self.all else t.rng.choice(["cut", "mute", "full"])
        span = t.span(0.2, 3.0)
        t.did.append(f"spoil {len(some)} {one.service} for {span:.1f}")
        for server in some:
            server.how = how
        await asyncio.sleep(span)
        for server in some:
            server.how = ""


TROUBLES["spoil"], TROUBLES["spoil-all"] = Spoil(False), Spoil(True)


@trouble
async def server(t: Troubles) -> None:
    """One crashes under its requests and another starts."""
    one = t.rng.choice([s for s in t.world.up if s.state == "ready" and not s.how])
    one.crash()
    one.state = "gone"
    span = t.span(0.1, 1.5)
    t.did.append(f"server {one.id} for {span:.1f}")
    await asyncio.sleep(span)
    await t.world.add_server(one.service, one.zone)
