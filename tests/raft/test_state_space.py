"""Orders in which control nodes can hear one another, with a change of term, a proposal, a crash
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

ADDRESSES = ("a", "b", "c")
FULL = 2  # messages on one way; more are lost, which a network may do
STATES, WALKS = 8_000, 4_000  # looked at
CHANGES = 1_000  # walks with changes of the configuration, which take longer


class FixedRandom:
    @staticmethod
    def random() -> float:
        return 0.5


@dataclass
class State:
    """All that there is: machines, their disks, what is under way, what is still to be done."""

    nodes: dict[str, RaftNode]
    disks: dict[str, PersistedState]
    ways: dict[tuple[str, str], tuple[Message, ...]] = field(default_factory=dict)
    order: dict[int, tuple[int, bytes]] = field(default_factory=dict)
    left: dict[str, int] = field(default_factory=dict)
    leaders: dict[int, str] = field(default_factory=dict)  # by term: a disk

    def key(self) -> Any:
        seen = []
        for m in self.nodes.values():
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


def do(state: State, address: str, ready: Ready) -> None:
    persisted = state.disks[address]
    node = state.nodes[address]
    if ready.writes:
        persisted.term, persisted.voted_for, persisted.snapshot = (
            node.term,
            node.voted_for,
            node.base_snapshot,
        )
        persisted.entries = list(node.log)
    for peer in node.peers.values():
        peer.tracked_since = -1.0  # time is left out: whoever is to be known for a while, has been
    for to, message in ready.sends:
        queue = state.ways.get((address, to), ())
        if len(queue) < FULL:
            state.ways[address, to] = (*queue, message)
    if node.role is Role.LEADER:
        changes = [
            e for w in ready.writes if isinstance(w, SaveEntries) for e in w.entries if e.members
        ]
        first = next((e.index for e in node.log if e.is_term_start and e.term == node.term), 0)
        earlier = [e.index for e in node.log if e.members][:-1]
        assert not changes or max(first, *earlier, 0) <= node.commit_index, "a change too early"
        assert state.leaders.setdefault(node.term, node.me.disk_id) == node.me.disk_id, (
            "two leaders"
        )
    for entry in ready.committed_entries:
        known = state.order.setdefault(entry.index, (entry.term, entry.data))
        assert known == (entry.term, entry.data), "two orders"
    if ready.received_snapshot:
        do(state, address, node.install_snapshot(1.0, ready.received_snapshot))


def begin(made: type[RaftNode], me: Member, persisted: PersistedState) -> RaftNode:
    node = made(me, persisted, 0.0, FixedRandom(), addresses=ADDRESSES)  # type: ignore[arg-type]
    node.last_heartbeat_at = float(
        "-inf"
    )  # time is left out: whoever might have waited long enough, has
    return node


Action = Callable[[State], None]


def possible_actions(made: type[RaftNode], state: State) -> list[Action]:
    """All that can happen next."""
    found: list[Action] = []

    def hear(way: tuple[str, str]) -> Action:
        def action(state: State) -> None:
            message, state.ways[way] = state.ways[way][0], state.ways[way][1:]
            node = state.nodes[way[1]]
            if node.role is not Role.LEADER:
                node.last_heartbeat_at = float("-inf")
            do(state, way[1], node.receive(1.0, message))

        return action

    def request_vote(address: str) -> Action:
        def action(state: State) -> None:
            ready = Ready()
            state.left["term"] -= 1
            state.nodes[address]._campaign(1.0, ready, pre_vote=False)
            do(state, address, ready)

        return action

    def join(address: str) -> Action:
        def action(state: State) -> None:
            state.nodes[address]._membership_request_due = 0.0
            do(state, address, state.nodes[address].tick(1.0))

        return action

    def say(address: str) -> Action:
        def action(state: State) -> None:
            state.left["say"] -= 1
            do(state, address, state.nodes[address].propose(1.0, b"said")[1])

        return action

    def beat(address: str) -> Action:
        def action(state: State) -> None:
            ready = Ready()
            for peer in state.nodes[address].peers.values():
                peer.in_flight_since = -1.0
            state.nodes[address]._broadcast(1.0, ready)
            do(state, address, ready)

        return action

    def end(address: str, what: str) -> Action:
        def action(state: State) -> None:
            state.left[what] -= 1
            me = state.nodes[address].me
            if what == "wipe":
                state.disks[address], me = bootstrap_state(()), Member(address, "wiped")
            state.nodes[address] = begin(made, me, copy.deepcopy(state.disks[address]))
            for way in state.ways:
                if address in way:  # its connections are gone, and what was on them
                    state.ways[way] = ()

        return action

    found += [hear(way) for way, queue in state.ways.items() if queue]

    def silent(address: str, other: str) -> Action:
        """The leader has heard nothing of another for long, and looks who is to vote."""

        def action(state: State) -> None:
            ready, node = Ready(), state.nodes[address]
            state.left["silent"] -= 1
            node.peers[other].last_ack_sent_at, node.peers[other].tracked_since = (
                float("-inf"),
                -100.0,
            )
            node._propose_members(1.0, ready)
            do(state, address, ready)

        return action

    for address, node in state.nodes.items():
        quiet = not any(queue for (sender, _), queue in state.ways.items() if sender == address)
        if state.left["term"] and node.may_campaign() and node.role is not Role.LEADER:
            found.append(request_vote(address))
        if not node.is_member() and quiet:
            found.append(join(address))
        if state.left["say"] and node.role is Role.LEADER:
            found.append(say(address))
        if node.role is Role.LEADER and quiet:
            found.append(beat(address))
        if state.left["silent"] and node.role is Role.LEADER:
            found += [silent(address, d) for d, p in node.peers.items() if p.member in node.voters]
        found += [end(address, what) for what in ("crash", "wipe") if state.left[what]]
    return found


def opened(made: type[RaftNode]) -> State:
    """A holds the first term, and all have heard of that."""
    members = [bootstrap_member(address) for address in ADDRESSES]
    disks = {address: bootstrap_state(members) for address in ADDRESSES}
    nodes = {d: begin(made, bootstrap_member(d), copy.deepcopy(disks[d])) for d in ADDRESSES}
    state = State(nodes, disks, {}, {}, {"term": 1, "say": 0, "crash": 0, "wipe": 0, "silent": 0})
    possible_actions(made, state)[0](state)
    while any(state.ways.values()):
        possible_actions(made, state)[0](state)
    state.left = {"term": 1, "say": 1, "crash": 1, "wipe": 1, "silent": 0}
    return state


def with_learner(made: type[RaftNode]) -> State:
    """D has joined and holds all that there is: if a voter is silent, it steps in. With E there
    would be five voters."""
    state = opened(made)
    for address in ("d", "e"):
        state.disks[address] = bootstrap_state(())
        state.nodes[address] = begin(made, Member(address, "new"), bootstrap_state(()))
    do(state, "d", state.nodes["d"].tick(1.0))
    while ahead := [way for way, queue in state.ways.items() if queue]:
        message, state.ways[ahead[0]] = state.ways[ahead[0]][0], state.ways[ahead[0]][1:]
        do(state, ahead[0][1], state.nodes[ahead[0][1]].receive(1.0, message))
    assert [m.address for m in state.nodes["a"].members if m.learner] == ["d"]
    state.left = {"term": 3, "say": 2, "crash": 2, "wipe": 1, "silent": 2}
    return state


def explore(made: type[RaftNode], most: int) -> int:
    """Breadth first, each state once."""
    first = opened(made)
    seen, ahead = {first.key()}, deque([first])
    while ahead and len(seen) < most:
        state = ahead.popleft()
        for action in possible_actions(made, state):
            other = copy.deepcopy(state)
            action(other)
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
        if not (ahead := possible_actions(made, state)):
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
        decided = [m for m in state.nodes.values() if m.commit_index >= m._members_index > 0]
        addresses = {tuple(v.address for v in m.voters) for m in decided}
        changed += any("d" in some for some in addresses)
        grown += ("a", "b", "c", "d", "e") in addresses
    assert changed > CHANGES / 8 and grown > CHANGES / 40, (changed, grown)


class AckEarly(RaftNode):
    def _is_on_majority(self, index: int, among: tuple[Member, ...]) -> bool:
        return True


class AnyDisk(RaftNode):
    """Whoever answers at a member's address has its vote."""

    def _handle_vote_reply(self, now: float, ready: Ready, message: Any) -> None:
        same = next(
            (m for m in self.members if m.address == message.sender.address), message.sender
        )
        super()._handle_vote_reply(now, ready, replace(message, sender=same))

    def is_member(self) -> bool:
        return True

    def _handle_append_reply(self, now: float, ready: Ready, message: AppendReply) -> None:
        same = next(
            (m for m in self.members if m.address == message.sender.address), message.sender
        )
        super()._handle_append_reply(now, ready, replace(message, sender=same))


class Forgets(RaftNode):
    """What it voted_for is not on disk."""

    def __init__(self, me: Member, persisted: PersistedState, *rest: Any, **more: Any) -> None:
        persisted.voted_for = ""
        persisted.entries = [e for e in persisted.entries if e.data == b""]
        super().__init__(me, persisted, *rest, **more)


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
