"""Fault schedules: TOML with a checked schema; shipped by name, or generated from a seed."""

from __future__ import annotations

import difflib
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Literal

import msgspec
import tomli_w
from msgspec import Meta, Struct

from cairndale.ingress.cli.checked import about
from cairndale.lab.faults.links import Conditions
from cairndale.lab.faults.plants import PLANTS
from cairndale.lab.scenario import NonNegative, Positive, ScenarioError, Share, checked, text_at

SHIPPED = Path(__file__).parent / "schedules"
MAX_PROCESSES = 64  # of a kind
CALLER_KINDS = "wrqv"

Kind = Literal[
    "cut",
    "flap",
    "slow",
    "datagrams",
    "reset",
    "refuse",
    "unanswered",
    "kill",
    "stop",
    "terminate",
    "starve",
    "clock",
    "disk",
    "upgrade",
    "promote",
]
DRAWN_KINDS: tuple[Kind, ...] = (
    "cut",
    "cut",
    "flap",
    "slow",
    "reset",
    "refuse",
    "unanswered",
    "kill",
    "kill",
    "stop",
    "terminate",
    "starve",
    "clock",
    "disk",
    "upgrade",
)
LINK_FAULTS = {"cut", "flap", "slow", "datagrams", "reset", "refuse", "unanswered"}
Count = Annotated[int, Meta(ge=0, le=MAX_PROCESSES)]


class Fleet(Struct, forbid_unknown_fields=True):
    lists: Annotated[Count, about("list services: l0 leads, the others follow it")] = 2
    ingresses: Annotated[Count, about("ingresses that watch the list services, i0 and so on")] = 2
    servers: Annotated[Count, about("stand-ins for profile servers, s0 and so on")] = 3
    members: Annotated[Count, about("members of a gossip fleet, m0 and so on")] = 0
    counter: Annotated[bool, about("a stand-in for the counter, c0")] = True


class Load(Struct, forbid_unknown_fields=True):
    writers: Annotated[
        Count, about("callers that write to and read from the leader, one call at a time")
    ] = 4
    readers: Annotated[
        Count, about("callers that read from every list service, with the maximum age it states")
    ] = 1
    clients: Annotated[Count, about("callers of the ingresses")] = 3
    viewers: Annotated[Count, about("callers that ask members for their view and status")] = 1
    pause_ms: Annotated[NonNegative, about("mean ms between the operations of a caller")] = 30
    timeout_ms: Annotated[
        Positive, about("ms after which the outcome of an operation is unknown")
    ] = 1000


class Fault(Struct, forbid_unknown_fields=True, omit_defaults=True):
    kind: Kind
    at_s: Annotated[NonNegative, about("s from the start")]
    len_s: Annotated[
        NonNegative, about("s that it lasts; a process is started again after that")
    ] = 1.0
    on: Annotated[
        list[str], about("processes: names, or lists, ingresses, servers, members, all")
    ] = msgspec.field(default_factory=list)
    from_: Annotated[list[str], about("links: one end")] = msgspec.field(
        name="from", default_factory=list
    )
    to: Annotated[list[str], about("links: the other end; empty: all processes not in `from`")] = (
        msgspec.field(default_factory=list)
    )
    both: Annotated[bool, about("both directions, or only what is sent by `from`")] = True
    delay_ms: Annotated[NonNegative, about("slow: ms added to the direction")] = 0.0
    jitter_ms: Annotated[NonNegative, about("slow: mean ms of exponential jitter in addition")] = (
        0.0
    )
    rate: Annotated[NonNegative, about("slow: bytes a second; 0: unlimited")] = 0.0
    loss: Annotated[Share, about("datagrams: share that is lost")] = 0.0
    duplicate: Annotated[Share, about("datagrams: share that is duplicated")] = 0.0
    reorder: Annotated[Share, about("datagrams: share delayed by up to 50 ms")] = 0.0
    truncate: Annotated[Share, about("datagrams: share that is truncated")] = 0.0
    flip: Annotated[Share, about("datagrams: share with one bit changed")] = 0.0
    every_s: Annotated[
        Positive, about("flap, starve: s of a cycle, of which the fault takes half")
    ] = 0.6
    folder: Annotated[
        Literal["same", "empty", "old"], about("kill, terminate: its data folder at the next start")
    ] = "same"
    power: Annotated[bool, about("kill: unsynced data is lost, as with a loss of power")] = False
    in_write: Annotated[
        bool, about("kill: after its next sync, before it answers; otherwise once len_s is over")
    ] = False
    for_good: Annotated[bool, about("kill: it is not started again")] = False
    jump_s: Annotated[float, about("clock: s that the wall clock jumps, forwards or back")] = 0.0
    clock_rate: Annotated[Positive, about("clock: rate of its wall and monotonic clocks")] = 1.0
    disk: Annotated[Literal["full", "failing", "slow"], about("disk: its fault")] = "full"
    sync_ms: Annotated[NonNegative, about("disk slow: ms added to each sync")] = 300.0

    def conditions(self) -> Conditions:
        """The conditions of each link that the fault affects."""
        if self.kind in ("cut", "flap"):
            return Conditions(cut=True)
        return Conditions(
            self.delay_ms,
            self.jitter_ms,
            self.rate,
            False,
            self.loss,
            self.duplicate,
            self.reorder,
            self.truncate,
            self.flip,
        )


class Schedule(Struct, forbid_unknown_fields=True):
    name: str
    title: str = ""
    length_s: Annotated[Positive, about("s that faults and load last")] = 8.0
    settle_s: Annotated[
        Positive, about("s after the last fault within which all processes must agree")
    ] = 10.0
    plant: Annotated[str, about("a known defect to put into the program; empty: none")] = ""
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    load: Load = msgspec.field(default_factory=Load)
    fault: list[Fault] = msgspec.field(default_factory=list)

    def processes(self) -> list[str]:
        fleet = self.fleet
        kinds: tuple[tuple[str, int], ...] = (
            ("l", fleet.lists),
            ("i", fleet.ingresses),
            ("s", fleet.servers),
            ("m", fleet.members),
        )
        kinds += (("c", int(fleet.counter)),)
        return [f"{kind}{n}" for kind, count in kinds for n in range(count)]

    def callers(self) -> list[str]:
        load = self.load
        kinds = (("w", load.writers), ("r", load.readers), ("q", load.clients), ("v", load.viewers))
        return [f"{kind}{n}" for kind, count in kinds for n in range(count)]

    def select(self, names: list[str]) -> list[str]:
        """The processes and callers with these names or in these groups, in the order of the fleet.

        Unknown names are ignored."""
        names_in_order = [*self.processes(), *self.callers()]
        groups = {"lists": "l", "ingresses": "i", "servers": "s", "members": "m", "counter": "c"}
        groups["callers"] = CALLER_KINDS
        found = set(names)
        for name in names:
            found |= {p for p in names_in_order if name == "all" or p[0] in groups.get(name, "")}
        return [p for p in names_in_order if p in found]

    def directions(self, fault: Fault) -> list[tuple[str, str]]:
        """The directions of links that a fault affects."""
        ends = self.select(fault.from_)
        others = (
            self.select(fault.to) if fault.to else [p for p in self.processes() if p not in ends]
        )
        found = [(a, b) for a in ends for b in others if a != b]
        return found + [(b, a) for a, b in found if (b, a) not in found] if fault.both else found


GROUPS = {"lists", "ingresses", "servers", "members", "counter", "callers", "all"}


def cross_field_errors(schedule: Schedule) -> Iterator[str]:
    """Errors that involve more than one key."""
    known = {*schedule.processes(), *schedule.callers(), *GROUPS}
    if schedule.plant and schedule.plant not in PLANTS:
        yield f"plant: {schedule.plant!r} is unknown; known ones are {', '.join(PLANTS)}"
    if schedule.fleet.ingresses and not schedule.fleet.lists:
        yield "fleet.lists: 0 leaves the ingresses no list service to watch"
    for number, fault in enumerate(schedule.fault):
        where, is_link_fault = f"fault[{number}]", fault.kind in LINK_FAULTS
        if fault.at_s + fault.len_s > schedule.length_s:
            yield (
                f"{where}.len_s: ends at {fault.at_s + fault.len_s:g} s, after the run's end at "
                f"{schedule.length_s:g} s"
            )
        expected_key, other_key = ("from", "on") if is_link_fault else ("on", "from")
        given = {"from": fault.from_, "on": fault.on}
        if not given[expected_key]:
            yield f"{where}.{expected_key}: required for {fault.kind}"
        if given[other_key]:
            yield f"{where}.{other_key}: not allowed for {fault.kind}; use {expected_key}"
        for key, names in (("on", fault.on), ("from", fault.from_), ("to", fault.to)):
            for name in sorted(set(names) - known):
                matches = difflib.get_close_matches(name, sorted(known), 1)
                yield f"{where}.{key}: {name!r} does not exist" + (
                    f"; did you mean {matches[0]!r}?" if matches else ""
                )
        if fault.kind == "slow" and not (fault.delay_ms or fault.jitter_ms or fault.rate):
            yield f"{where}: no effect: delay_ms, jitter_ms or rate is required"
        if fault.kind == "clock" and not fault.jump_s and fault.clock_rate == 1:
            yield f"{where}: no effect: jump_s or clock_rate is required"
        for name in schedule.select(fault.on):
            if (
                fault.kind in ("upgrade", "promote")
                and name[0] != {"upgrade": "i", "promote": "l"}[fault.kind]
            ):
                yield f"{where}.on: {name} cannot {fault.kind}"
            elif name[0] in CALLER_KINDS:
                yield f"{where}.on: {name} is a caller of the lab, not a process"
            elif name[0] in "sc" and fault.kind in ("clock", "disk"):
                yield f"{where}.on: {name} is a stand-in without a {fault.kind} of its own"


def parse(text: str, where: str) -> Schedule:
    """Raises ScenarioError with all errors."""
    return checked(text, where, Schedule, cross_field_errors)


def to_toml(schedule: Schedule) -> str:
    return tomli_w.dumps(msgspec.to_builtins(schedule))


def shipped() -> list[str]:
    return sorted(path.stem for path in SHIPPED.glob("*.toml"))


def load(name: str, seed: int = 1) -> Schedule:
    """A shipped schedule by name, `random` or `random:INTENSITY` generated from the seed, or a
    file."""
    prefix, _, intensity = name.partition(":")
    if prefix == "random":
        try:
            return draw_schedule(seed, float(intensity or 1))
        except ValueError:
            raise ScenarioError(
                [f"{name}: the intensity must be a number greater than 0"]
            ) from None
    path = SHIPPED / f"{name}.toml" if name in shipped() else Path(name)
    return parse(text_at(path, name, [*shipped(), "random"]), path.name)


def draw_schedule(seed: int, intensity: float = 1.0, base: Schedule | None = None) -> Schedule:
    """Generates faults from a seed: on average `intensity` of them per 2 s, over 8 s.

    The same seed and intensity give the same schedule. A promotion, if one is drawn, is that of an
    operator who follows the page: the leader is partitioned or stopped at that moment."""
    if not intensity > 0:
        raise ValueError("intensity")
    rng, schedule = random.Random(f"faults {seed} {intensity:g}"), base or Schedule("random")
    schedule = msgspec.structs.replace(
        schedule, name=f"random-{seed}", title=f"drawn by seed {seed}", fault=[]
    )
    if base is None:
        schedule.fleet = Fleet(lists=rng.choice((1, 2, 3)), ingresses=2, servers=3)
    lists, ingresses = (schedule.select([group]) for group in ("lists", "ingresses"))
    programs = lists + ingresses
    span = schedule.length_s
    count = max(1, round(intensity * span / 2 + rng.uniform(-1, 1)))
    for _ in range(count):
        at = round(rng.uniform(0.5, span - 1.5), 2)
        duration = round(min(rng.expovariate(1 / 1.2) + 0.2, span - at - 0.2), 2)
        kind = rng.choice(DRAWN_KINDS)
        fault = Fault(kind, at, duration)
        if kind in LINK_FAULTS:
            process_names = schedule.processes()
            fault.from_ = sorted(
                rng.sample(process_names, rng.randint(1, max(1, len(process_names) // 2)))
            )
            fault.both = rng.random() < 0.7
            if rng.random() < 0.4:
                fault.to = [rng.choice([p for p in process_names if p not in fault.from_])]
        else:
            fault.on = [rng.choice(ingresses if kind == "upgrade" else programs)]
        match kind:
            case "slow":
                fault.delay_ms, fault.jitter_ms = (
                    round(rng.uniform(5, 400)),
                    round(rng.uniform(0, 100)),
                )
                fault.rate = rng.choice((0.0, 2000.0, 50_000.0))
            case "kill":
                fault.power, fault.in_write = rng.random() < 0.5, rng.random() < 0.3
                if fault.on[0] in lists[1:] and rng.random() < 0.3:
                    fault.folder = rng.choice(("empty", "old"))
            case "clock":
                fault.jump_s = round(rng.choice((-1, 1)) * rng.expovariate(1 / 600), 1)
                fault.clock_rate = round(rng.choice((1.0, rng.uniform(0.7, 1.4))), 3)
            case "disk":
                fault.disk = rng.choice(("full", "failing", "slow"))
                fault.on = [rng.choice(lists)]
        schedule.fault.append(fault)
    schedule.fault.sort(key=lambda f: f.at_s)
    return schedule
