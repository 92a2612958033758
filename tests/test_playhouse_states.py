"""Orders in which three core machines can hear one another, with a change of term, a proposal, a crash and a
wiped disk at any step: no two orders, and nothing that was delivered is ever missing."""

from __future__ import annotations

import copy
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from playhouse.promptbook.machine import Machine, Role, founded, founder
from playhouse.promptbook.messages import (
    AppendReply,
    Kept,
    Member,
    Message,
    Step,
)

DOORS = ("a", "b", "c")
FULL = 2  # messages on one way; more are lost, which a network may do
STATES, WALKS = 8_000, 4_000  # looked at


class Half:
    @staticmethod
    def random() -> float:
        return 0.5


@dataclass
class State:
    """All that there is: machines, their disks, what is under way, what is still to be done."""

    machines: dict[str, Machine]
    disks: dict[str, Kept]
    ways: dict[tuple[str, str], tuple[Message, ...]] = field(default_factory=dict)
    order: dict[int, tuple[int, bytes]] = field(default_factory=dict)
    left: dict[str, int] = field(default_factory=dict)

    def key(self) -> Any:
        seen = []
        for door in DOORS:
            m = self.machines[door]
            peers = tuple(sorted((d, p.next, p.match, p.out_at >= 0) for d, p in m.peers.items()))
            votes = tuple(sorted(m._votes)) if m.role in (Role.PRE_CANDIDATE, Role.CANDIDATE) else ()
            log = tuple((e.index, e.term, e.data, e.members) for e in m.log)
            seen.append(
                (m.me, m.term, m.voted_for, m.role, m.leader, m.commit_index, log, peers, votes, m._opened)
            )
        ways = tuple(sorted((k, tuple(plain(message) for message in v)) for k, v in self.ways.items() if v))
        return tuple(seen), ways, tuple(self.left.items())


def plain(message: Message) -> Message:
    return replace(message, sent=0) if hasattr(message, "sent") else message


def do(state: State, door: str, step: Step) -> None:
    kept = state.disks[door]
    machine = state.machines[door]
    if step.writes:
        kept.term, kept.voted_for, kept.snapshot = machine.term, machine.voted_for, machine.base
        kept.entries = list(machine.log)
    for to, message in step.sends:
        queue = state.ways.get((door, to), ())
        if len(queue) < FULL:
            state.ways[door, to] = (*queue, message)
    for entry in step.delivered:
        known = state.order.setdefault(entry.index, (entry.term, entry.data))
        assert known == (entry.term, entry.data), "two orders"
    if step.received:
        do(state, door, machine.install(1.0, step.received))


def begin(made: type[Machine], me: Member, kept: Kept) -> Machine:
    machine = made(me, kept, 0.0, Half(), doors=DOORS)  # type: ignore[arg-type]
    machine.heard_at = float("-inf")  # time is left out: whoever might have waited long enough, has
    return machine


Deed = Callable[[State], None]


def deeds(made: type[Machine], state: State) -> list[Deed]:
    """All that can happen next."""
    found: list[Deed] = []

    def hear(way: tuple[str, str]) -> Deed:
        def deed(state: State) -> None:
            message, state.ways[way] = state.ways[way][0], state.ways[way][1:]
            machine = state.machines[way[1]]
            if machine.role is not Role.LEADER:
                machine.heard_at = float("-inf")
            do(state, way[1], machine.received(1.0, message))

        return deed

    def request_vote(door: str) -> Deed:
        def deed(state: State) -> None:
            step = Step()
            state.left["term"] -= 1
            state.machines[door]._campaign(1.0, step, pre_vote=False)
            do(state, door, step)

        return deed

    def join(door: str) -> Deed:
        def deed(state: State) -> None:
            state.machines[door]._join_at = 0.0
            do(state, door, state.machines[door].tick(1.0))

        return deed

    def say(door: str) -> Deed:
        def deed(state: State) -> None:
            state.left["say"] -= 1
            do(state, door, state.machines[door].propose(1.0, b"said")[1])

        return deed

    def beat(door: str) -> Deed:
        def deed(state: State) -> None:
            step = Step()
            for peer in state.machines[door].peers.values():
                peer.out_at = -1.0
            state.machines[door]._beat(1.0, step)
            do(state, door, step)

        return deed

    def end(door: str, what: str) -> Deed:
        def deed(state: State) -> None:
            state.left[what] -= 1
            me = state.machines[door].me
            if what == "wipe":
                state.disks[door], me = founded(()), Member(door, "wiped")
            state.machines[door] = begin(made, me, copy.deepcopy(state.disks[door]))
            for way in state.ways:
                if door in way:  # its connections are gone, and what was on them
                    state.ways[way] = ()

        return deed

    found += [hear(way) for way, queue in state.ways.items() if queue]
    for door in DOORS:
        machine = state.machines[door]
        quiet = not any(queue for (sender, _), queue in state.ways.items() if sender == door)
        if state.left["term"] and machine.is_member() and machine.role is not Role.LEADER:
            found.append(request_vote(door))
        if not machine.is_member() and quiet:
            found.append(join(door))
        if state.left["say"] and machine.role is Role.LEADER:
            found.append(say(door))
        if machine.role is Role.LEADER and quiet:
            found.append(beat(door))
        found += [end(door, what) for what in ("crash", "wipe") if state.left[what]]
    return found


def opened(made: type[Machine]) -> State:
    """A holds the first term, and all have heard of that."""
    members = [founder(door) for door in DOORS]
    disks = {door: founded(members) for door in DOORS}
    machines = {d: begin(made, founder(d), copy.deepcopy(disks[d])) for d in DOORS}
    state = State(machines, disks, {}, {}, {"term": 1, "say": 0, "crash": 0, "wipe": 0})
    deeds(made, state)[0](state)
    while any(state.ways.values()):
        deeds(made, state)[0](state)
    state.left = {"term": 1, "say": 1, "crash": 1, "wipe": 1}
    return state


def explore(made: type[Machine], most: int) -> int:
    """Breadth first, each state once."""
    first = opened(made)
    seen, ahead = {first.key()}, deque([first])
    while ahead and len(seen) < most:
        state = ahead.popleft()
        for deed in deeds(made, state):
            other = copy.deepcopy(state)
            deed(other)
            if (key := other.key()) not in seen:
                seen.add(key)
                ahead.append(other)
    return len(seen)


def walk(made: type[Machine], seed: int, length: int = 60) -> None:
    """One long way through the states."""
    rng, state = random.Random(seed), opened(made)
    state.left["term"] = 2
    for _ in range(length):
        if not (ahead := deeds(made, state)):
            return
        rng.choice(ahead)(state)


def test_no_short_way_leads_to_two_orders() -> None:
    assert explore(Machine, STATES) >= STATES


def test_no_long_way_leads_to_two_orders() -> None:
    for seed in range(WALKS):
        walk(Machine, seed)


class AckEarly(Machine):
    def _held(self, index: int, among: tuple[Member, ...]) -> bool:
        return True


class AnyDisk(Machine):
    """Whoever stands at a member's door has its vote."""

    def _vote_replied(self, now: float, step: Step, message: Any) -> None:
        same = next((m for m in self.members if m.door == message.sender.door), message.sender)
        super()._vote_replied(now, step, replace(message, sender=same))

    def is_member(self) -> bool:
        return True

    def _append_replied(self, now: float, step: Step, message: AppendReply) -> None:
        same = next((m for m in self.members if m.door == message.sender.door), message.sender)
        super()._append_replied(now, step, replace(message, sender=same))


class Forgets(Machine):
    """What it voted_for is not on disk."""

    def __init__(self, me: Member, kept: Kept, *rest: Any, **more: Any) -> None:
        kept.voted_for = ""
        kept.entries = [e for e in kept.entries if e.data == b""]
        super().__init__(me, kept, *rest, **more)


@pytest.mark.parametrize("planted", [AckEarly, AnyDisk, Forgets])
def test_planted_defects_are_seen(planted: type[Machine]) -> None:
    with pytest.raises(AssertionError, match="two orders"):
        for seed in range(WALKS):
            walk(planted, seed)
