"""Orders in which core machines can hear one another, with a change of term, a proposal, a crash
and a wiped disk at any step, and with a change of the configuration at any step: no two leaders of
a term, no two orders, and nothing that was delivered is ever missing."""

from __future__ import annotations

import copy
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from cairndale.raft.messages import AppendReply, Member, Message, PersistedState, Ready, SaveEntries
from cairndale.raft.node import RaftNode, Role, bootstrap_member, bootstrap_state

DOORS = ("a", "b", "c")
FULL = 2  # messages on one way; more are lost, which a network may do
STATES, WALKS = 8_000, 4_000  # looked at
CHANGES = 1_000  # walks with changes of the configuration, which take longer


class Half:
    @staticmethod
    def random() -> float:
        return 0.5


@dataclass
class State:
    """All that there is: machines, their disks, what is under way, what is still to be done."""

    machines: dict[str, RaftNode]
    disks: dict[str, PersistedState]
    ways: dict[tuple[str, str], tuple[Message, ...]] = field(default_factory=dict)
    order: dict[int, tuple[int, bytes]] = field(default_factory=dict)
    left: dict[str, int] = field(default_factory=dict)
    leaders: dict[int, str] = field(default_factory=dict)  # by term: a disk

    def key(self) -> Any:
        seen = []
        for m in self.machines.values():
            peers = tuple(
                sorted(
                    (d, p.next_index, p.match_index, p.in_flight_since >= 0)
                    for d, p in m.peers.items()
                )
            )
            votes = (
                tuple(sorted(m._votes)) if m.role in (Role.PRE_CANDIDATE, Role.CANDIDATE) else ()
            )
            log = tuple((e.index, e.term, e.data, e.members) for e in m.log)
            seen.append(
                (
                    m.me,
                    m.term,
                    m.voted_for,
                    m.role,
                    m.leader,
                    m.commit_index,
                    log,
                    peers,
                    votes,
                    m._has_committed_in_term,
                )
            )
        ways = tuple(
            sorted((k, tuple(plain(message) for message in v)) for k, v in self.ways.items() if v)
        )
        return tuple(seen), ways, tuple(self.left.items())


def plain(message: Message) -> Message:
    return replace(message, sent_at_us=0) if hasattr(message, "sent_at_us") else message


def do(state: State, address: str, step: Ready) -> None:
    kept = state.disks[address]
    machine = state.machines[address]
    if step.writes:
        kept.term, kept.voted_for, kept.snapshot = (
            machine.term,
            machine.voted_for,
            machine.base_snapshot,
        )
        kept.entries = list(machine.log)
    for peer in machine.peers.values():
        peer.tracked_since = -1.0  # time is left out: whoever is to be known for a while, has been
    for to, message in step.sends:
        queue = state.ways.get((address, to), ())
        if len(queue) < FULL:
            state.ways[address, to] = (*queue, message)
    if machine.role is Role.LEADER:
        changes = [
            e for w in step.writes if isinstance(w, SaveEntries) for e in w.entries if e.members
        ]
        first = next(
            (e.index for e in machine.log if e.is_term_start and e.term == machine.term), 0
        )
        earlier = [e.index for e in machine.log if e.members][:-1]
        assert not changes or max(first, *earlier, 0) <= machine.commit_index, "a change too early"
        assert state.leaders.setdefault(machine.term, machine.me.disk_id) == machine.me.disk_id, (
            "two leaders"
        )
    for entry in step.committed_entries:
        known = state.order.setdefault(entry.index, (entry.term, entry.data))
        assert known == (entry.term, entry.data), "two orders"
    if step.received_snapshot:
        do(state, address, machine.install_snapshot(1.0, step.received_snapshot))


def begin(made: type[RaftNode], me: Member, kept: PersistedState) -> RaftNode:
    machine = made(me, kept, 0.0, Half(), addresses=DOORS)  # type: ignore[arg-type]
    machine.last_heartbeat_at = float(
        "-inf"
    )  # time is left out: whoever might have waited long enough, has
    return machine


Deed = Callable[[State], None]


def deeds(made: type[RaftNode], state: State) -> list[Deed]:
    """All that can happen next."""
    found: list[Deed] = []

    def hear(way: tuple[str, str]) -> Deed:
        def deed(state: State) -> None:
            message, state.ways[way] = state.ways[way][0], state.ways[way][1:]
            machine = state.machines[way[1]]
            if machine.role is not Role.LEADER:
                machine.last_heartbeat_at = float("-inf")
            do(state, way[1], machine.receive(1.0, message))

        return deed

    def request_vote(address: str) -> Deed:
        def deed(state: State) -> None:
            step = Ready()
            state.left["term"] -= 1
            state.machines[address]._campaign(1.0, step, pre_vote=False)
            do(state, address, step)

        return deed

    def join(address: str) -> Deed:
        def deed(state: State) -> None:
            state.machines[address]._membership_request_due = 0.0
            do(state, address, state.machines[address].tick(1.0))

        return deed

    def say(address: str) -> Deed:
        def deed(state: State) -> None:
            state.left["say"] -= 1
            do(state, address, state.machines[address].propose(1.0, b"said")[1])

        return deed

    def beat(address: str) -> Deed:
        def deed(state: State) -> None:
            step = Ready()
            for peer in state.machines[address].peers.values():
                peer.in_flight_since = -1.0
            state.machines[address]._broadcast(1.0, step)
            do(state, address, step)

        return deed

    def end(address: str, what: str) -> Deed:
        def deed(state: State) -> None:
            state.left[what] -= 1
            me = state.machines[address].me
            if what == "wipe":
                state.disks[address], me = bootstrap_state(()), Member(address, "wiped")
            state.machines[address] = begin(made, me, copy.deepcopy(state.disks[address]))
            for way in state.ways:
                if address in way:  # its connections are gone, and what was on them
                    state.ways[way] = ()

        return deed

    found += [hear(way) for way, queue in state.ways.items() if queue]

    def silent(address: str, other: str) -> Deed:
        """The leader has heard nothing of another for long, and looks who is to vote."""

        def deed(state: State) -> None:
            step, machine = Ready(), state.machines[address]
            state.left["silent"] -= 1
            machine.peers[other].last_ack_sent_at, machine.peers[other].tracked_since = (
                float("-inf"),
                -100.0,
            )
            machine._propose_members(1.0, step)
            do(state, address, step)

        return deed

    for address, machine in state.machines.items():
        quiet = not any(queue for (sender, _), queue in state.ways.items() if sender == address)
        if state.left["term"] and machine.may_campaign() and machine.role is not Role.LEADER:
            found.append(request_vote(address))
        if not machine.is_member() and quiet:
            found.append(join(address))
        if state.left["say"] and machine.role is Role.LEADER:
            found.append(say(address))
        if machine.role is Role.LEADER and quiet:
            found.append(beat(address))
        if state.left["silent"] and machine.role is Role.LEADER:
            found += [
                silent(address, d) for d, p in machine.peers.items() if p.member in machine.voters
            ]
        found += [end(address, what) for what in ("crash", "wipe") if state.left[what]]
    return found


def opened(made: type[RaftNode]) -> State:
    """A holds the first term, and all have heard of that."""
    members = [bootstrap_member(address) for address in DOORS]
    disks = {address: bootstrap_state(members) for address in DOORS}
    machines = {d: begin(made, bootstrap_member(d), copy.deepcopy(disks[d])) for d in DOORS}
    state = State(
        machines, disks, {}, {}, {"term": 1, "say": 0, "crash": 0, "wipe": 0, "silent": 0}
    )
    deeds(made, state)[0](state)
    while any(state.ways.values()):
        deeds(made, state)[0](state)
    state.left = {"term": 1, "say": 1, "crash": 1, "wipe": 1, "silent": 0}
    return state


def with_learner(made: type[RaftNode]) -> State:
    """D has joined and holds all that there is: if a voter is silent, it steps in. With E there
    would be five voters."""
    state = opened(made)
    for address in ("d", "e"):
        state.disks[address] = bootstrap_state(())
        state.machines[address] = begin(made, Member(address, "new"), bootstrap_state(()))
    do(state, "d", state.machines["d"].tick(1.0))
    while ahead := [way for way, queue in state.ways.items() if queue]:
        message, state.ways[ahead[0]] = state.ways[ahead[0]][0], state.ways[ahead[0]][1:]
        do(state, ahead[0][1], state.machines[ahead[0][1]].receive(1.0, message))
    assert [m.address for m in state.machines["a"].members if m.learner] == ["d"]
    state.left = {"term": 3, "say": 2, "crash": 2, "wipe": 1, "silent": 2}
    return state


def explore(made: type[RaftNode], most: int) -> int:
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


def walk(
    made: type[RaftNode], seed: int, length: int = 60, first: Callable[..., State] = opened
) -> State:
    """One long way through the states."""
    rng, state = random.Random(seed), first(made)
    state.left["term"] = max(2, state.left["term"])
    for _ in range(length):
        if not (ahead := deeds(made, state)):
            break
        rng.choice(ahead)(state)
    return state


def test_no_short_way_leads_to_two_orders() -> None:
    assert explore(RaftNode, STATES) >= STATES


def test_no_long_way_leads_to_two_orders() -> None:
    for seed in range(WALKS):
        walk(RaftNode, seed)


def test_a_change_of_the_configuration_bears_a_crash_and_a_wipe_at_each_step() -> None:
    changed = grown = 0
    for seed in range(CHANGES):
        state = walk(RaftNode, seed, 100, with_learner)
        decided = [m for m in state.machines.values() if m.commit_index >= m._members_index > 0]
        addresses = {tuple(v.address for v in m.voters) for m in decided}
        changed += any("d" in some for some in addresses)
        grown += ("a", "b", "c", "d", "e") in addresses
    assert changed > CHANGES / 8 and grown > CHANGES / 40, (changed, grown)


class AckEarly(RaftNode):
    def _is_on_majority(self, index: int, among: tuple[Member, ...]) -> bool:
        return True


class AnyDisk(RaftNode):
    """Whoever stands at a member's door has its vote."""

    def _handle_vote_reply(self, now: float, step: Ready, message: Any) -> None:
        same = next(
            (m for m in self.members if m.address == message.sender.address), message.sender
        )
        super()._handle_vote_reply(now, step, replace(message, sender=same))

    def is_member(self) -> bool:
        return True

    def _handle_append_reply(self, now: float, step: Ready, message: AppendReply) -> None:
        same = next(
            (m for m in self.members if m.address == message.sender.address), message.sender
        )
        super()._handle_append_reply(now, step, replace(message, sender=same))


class Forgets(RaftNode):
    """What it voted_for is not on disk."""

    def __init__(self, me: Member, kept: PersistedState, *rest: Any, **more: Any) -> None:
        kept.voted_for = ""
        kept.entries = [e for e in kept.entries if e.data == b""]
        super().__init__(me, kept, *rest, **more)


@pytest.mark.parametrize("planted", [AckEarly, AnyDisk, Forgets])
def test_planted_defects_are_seen(planted: type[RaftNode]) -> None:
    with pytest.raises(AssertionError, match=r"two (orders|leaders)"):
        for seed in range(WALKS):
            walk(planted, seed)


class LearnersAck(RaftNode):
    """Whoever has an entry on disk counts for its majority."""

    def _is_on_majority(self, index: int, among: tuple[Member, ...]) -> bool:
        return 1 + sum(p.match_index >= index for p in self.peers.values()) > len(among) // 2


class LearnersVote(RaftNode):
    """All are asked, and all votes count."""

    def _other_voters(self) -> tuple[Member, ...]:
        return tuple(m for m in self.members if m != self.me)

    def _has_majority(self, says: Callable[[Member], bool]) -> bool:
        return sum(map(says, self.members)) > len(self.voters) // 2


class NewMajorityOnly(RaftNode):
    def _voter_sets(self) -> tuple[tuple[Member, ...], ...]:
        return (self._voters,)


class TwoAtOnce(RaftNode):
    """The next change does not wait for the one before."""

    def _may_change_members(self) -> bool:
        return self._has_committed_in_term


class TooEarly(RaftNode):
    """Nor does it wait for the first entry of the term."""

    def _may_change_members(self) -> bool:
        return self._is_configuration_committed()


@pytest.mark.parametrize(
    "planted", [AckEarly, AnyDisk, LearnersAck, LearnersVote, NewMajorityOnly, TwoAtOnce, TooEarly]
)
def test_defects_of_a_change_are_seen(planted: type[RaftNode]) -> None:
    with pytest.raises(AssertionError, match=r"two orders|two leaders|too early"):
        for seed in range(2 * CHANGES):
            walk(planted, seed, 100, with_learner)
