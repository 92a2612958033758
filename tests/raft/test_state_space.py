"""State space exploration: message orders, with elections, proposals, crashes and wiped disks.

Configuration changes may happen at any step too. No two members lead in one term, no two entries
are committed at one index, and no committed entry is lost."""

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
MAX_IN_FLIGHT = 2  # maximum messages in flight per link; more are dropped
MAX_STATES, WALKS = 8_000, 4_000  # number explored
CONFIGURATION_WALKS = 1_000  # walks with configuration changes, which take longer


class FixedRandom:
    @staticmethod
    def random() -> float:
        return 0.5


@dataclass
class State:
    """The global state: nodes, disks, messages in flight, and the remaining events."""

    nodes: dict[str, RaftNode]
    disks: dict[str, PersistedState]
    links: dict[tuple[str, str], tuple[Message, ...]] = field(default_factory=dict)
    committed: dict[int, tuple[int, bytes]] = field(default_factory=dict)
    remaining: dict[str, int] = field(default_factory=dict)
    leaders: dict[int, str] = field(default_factory=dict)  # by term: disk id

    def key(self) -> Any:
        node_keys = []
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
            node_keys.append(
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
        links = tuple(
            sorted(
                (k, tuple(without_timestamp(message) for message in v))
                for k, v in self.links.items()
                if v
            )
        )
        return tuple(node_keys), links, tuple(self.remaining.items())


def without_timestamp(message: Message) -> Message:
    return replace(message, sent_at_us=0) if hasattr(message, "sent_at_us") else message


def execute(state: State, address: str, ready: Ready) -> None:
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
        peer.tracked_since = -1.0  # time is not modelled: every peer counts as tracked for long
    for receiver, message in ready.sends:
        queue = state.links.get((address, receiver), ())
        if len(queue) < MAX_IN_FLIGHT:
            state.links[address, receiver] = (*queue, message)
    if node.role is Role.LEADER:
        changes = [
            e for w in ready.writes if isinstance(w, SaveEntries) for e in w.entries if e.members
        ]
        first = next((e.index for e in node.log if e.is_term_start and e.term == node.term), 0)
        earlier = [e.index for e in node.log if e.members][:-1]
        assert not changes or max(first, *earlier, 0) <= node.commit_index, (
            "configuration change too early"
        )
        assert state.leaders.setdefault(node.term, node.me.disk_id) == node.me.disk_id, (
            "two leaders in one term"
        )
    for entry in ready.committed_entries:
        expected = state.committed.setdefault(entry.index, (entry.term, entry.data))
        assert expected == (entry.term, entry.data), "two entries committed at one index"
    if ready.received_snapshot:
        execute(state, address, node.install_snapshot(1.0, ready.received_snapshot))


def start_node(node_class: type[RaftNode], me: Member, persisted: PersistedState) -> RaftNode:
    node = node_class(me, persisted, 0.0, FixedRandom(), addresses=ADDRESSES)  # type: ignore[arg-type]
    node.last_heartbeat_at = float("-inf")  # time is not modelled: every timeout may have passed
    return node


Action = Callable[[State], None]


def possible_actions(node_class: type[RaftNode], state: State) -> list[Action]:
    """All events that can happen next."""
    actions: list[Action] = []

    def deliver(link: tuple[str, str]) -> Action:
        def action(state: State) -> None:
            message, state.links[link] = state.links[link][0], state.links[link][1:]
            node = state.nodes[link[1]]
            if node.role is not Role.LEADER:
                node.last_heartbeat_at = float("-inf")
            execute(state, link[1], node.receive(1.0, message))

        return action

    def request_vote(address: str) -> Action:
        def action(state: State) -> None:
            ready = Ready()
            state.remaining["term"] -= 1
            state.nodes[address]._campaign(1.0, ready, pre_vote=False)
            execute(state, address, ready)

        return action

    def join(address: str) -> Action:
        def action(state: State) -> None:
            state.nodes[address]._membership_request_due = 0.0
            execute(state, address, state.nodes[address].tick(1.0))

        return action

    def propose(address: str) -> Action:
        def action(state: State) -> None:
            state.remaining["propose"] -= 1
            execute(state, address, state.nodes[address].propose(1.0, b"said")[1])

        return action

    def send_heartbeat(address: str) -> Action:
        def action(state: State) -> None:
            ready = Ready()
            for peer in state.nodes[address].peers.values():
                peer.in_flight_since = -1.0
            state.nodes[address]._broadcast(1.0, ready)
            execute(state, address, ready)

        return action

    def restart(address: str, event: str) -> Action:
        def action(state: State) -> None:
            state.remaining[event] -= 1
            me = state.nodes[address].me
            if event == "wipe":
                state.disks[address], me = bootstrap_state(()), Member(address, "wiped")
            state.nodes[address] = start_node(node_class, me, copy.deepcopy(state.disks[address]))
            for link in state.links:
                if address in link:  # its connections break, and messages on them are lost
                    state.links[link] = ()

        return action

    actions += [deliver(link) for link, queue in state.links.items() if queue]

    def unresponsive(address: str, other: str) -> Action:
        """The leader has received no reply of a member for long, and chooses the voters again."""

        def action(state: State) -> None:
            ready, node = Ready(), state.nodes[address]
            state.remaining["unresponsive"] -= 1
            node.peers[other].last_ack_sent_at, node.peers[other].tracked_since = (
                float("-inf"),
                -100.0,
            )
            node._propose_members(1.0, ready)
            execute(state, address, ready)

        return action

    for address, node in state.nodes.items():
        has_no_messages = not any(
            queue for (sender, _), queue in state.links.items() if sender == address
        )
        if state.remaining["term"] and node.may_campaign() and node.role is not Role.LEADER:
            actions.append(request_vote(address))
        if not node.is_member() and has_no_messages:
            actions.append(join(address))
        if state.remaining["propose"] and node.role is Role.LEADER:
            actions.append(propose(address))
        if node.role is Role.LEADER and has_no_messages:
            actions.append(send_heartbeat(address))
        if state.remaining["unresponsive"] and node.role is Role.LEADER:
            actions += [
                unresponsive(address, d) for d, p in node.peers.items() if p.member in node.voters
            ]
        actions += [
            restart(address, event) for event in ("crash", "wipe") if state.remaining[event]
        ]
    return actions


def initial_state(node_class: type[RaftNode]) -> State:
    """`a` leads in the first term, and all members have received that."""
    members = [bootstrap_member(address) for address in ADDRESSES]
    disks = {address: bootstrap_state(members) for address in ADDRESSES}
    nodes = {
        d: start_node(node_class, bootstrap_member(d), copy.deepcopy(disks[d])) for d in ADDRESSES
    }
    state = State(
        nodes, disks, {}, {}, {"term": 1, "propose": 0, "crash": 0, "wipe": 0, "unresponsive": 0}
    )
    possible_actions(node_class, state)[0](state)
    while any(state.links.values()):
        possible_actions(node_class, state)[0](state)
    state.remaining = {"term": 1, "propose": 1, "crash": 1, "wipe": 1, "unresponsive": 0}
    return state


def with_learner(node_class: type[RaftNode]) -> State:
    """`d` has joined as a caught-up learner, which replaces an unresponsive voter.

    If `e` joins too, there are five voters."""
    state = initial_state(node_class)
    for address in ("d", "e"):
        state.disks[address] = bootstrap_state(())
        state.nodes[address] = start_node(node_class, Member(address, "new"), bootstrap_state(()))
    execute(state, "d", state.nodes["d"].tick(1.0))
    while pending := [link for link, queue in state.links.items() if queue]:
        message, state.links[pending[0]] = state.links[pending[0]][0], state.links[pending[0]][1:]
        execute(state, pending[0][1], state.nodes[pending[0][1]].receive(1.0, message))
    assert [m.address for m in state.nodes["a"].members if m.learner] == ["d"]
    state.remaining = {"term": 3, "propose": 2, "crash": 2, "wipe": 1, "unresponsive": 2}
    return state


def explore(node_class: type[RaftNode], max_states: int) -> int:
    """Breadth-first search that visits each state once; returns the number of states."""
    first = initial_state(node_class)
    seen, pending = {first.key()}, deque([first])
    while pending and len(seen) < max_states:
        state = pending.popleft()
        for action in possible_actions(node_class, state):
            successor = copy.deepcopy(state)
            action(successor)
            if (key := successor.key()) not in seen:
                seen.add(key)
                pending.append(successor)
    return len(seen)


def random_walk(
    node_class: type[RaftNode],
    seed: int,
    length: int = 60,
    first: Callable[..., State] = initial_state,
) -> State:
    """A random walk through the states; returns the last one."""
    rng, state = random.Random(seed), first(node_class)
    state.remaining["term"] = max(2, state.remaining["term"])
    for _ in range(length):
        if not (actions := possible_actions(node_class, state)):
            break
        rng.choice(actions)(state)
    return state


def test_breadth_first_search_finds_no_violation() -> None:
    assert explore(RaftNode, MAX_STATES) >= MAX_STATES


def test_random_walks_find_no_violation() -> None:
    for seed in range(WALKS):
        random_walk(RaftNode, seed)


def test_configuration_change_survives_a_crash_and_a_wipe_at_each_step() -> None:
    changed = grown = 0
    for seed in range(CONFIGURATION_WALKS):
        state = random_walk(RaftNode, seed, 100, with_learner)
        committed_nodes = [
            m for m in state.nodes.values() if m.commit_index >= m._members_index > 0
        ]
        addresses = {tuple(v.address for v in m.voters) for m in committed_nodes}
        changed += any("d" in voter_addresses for voter_addresses in addresses)
        grown += ("a", "b", "c", "d", "e") in addresses
    assert changed > CONFIGURATION_WALKS / 8 and grown > CONFIGURATION_WALKS / 40, (changed, grown)


class CommitsWithoutMajority(RaftNode):
    def _is_on_majority(self, index: int, voters: tuple[Member, ...]) -> bool:
        return True


class IgnoresDiskIds(RaftNode):
    """Attributes replies to the member at the sender's address, whatever the sender's disk is."""

    def _handle_vote_reply(self, now: float, ready: Ready, message: Any) -> None:
        member_at_address = next(
            (m for m in self.members if m.address == message.sender.address), message.sender
        )
        super()._handle_vote_reply(now, ready, replace(message, sender=member_at_address))

    def is_member(self) -> bool:
        return True

    def _handle_append_reply(self, now: float, ready: Ready, message: AppendReply) -> None:
        member_at_address = next(
            (m for m in self.members if m.address == message.sender.address), message.sender
        )
        super()._handle_append_reply(now, ready, replace(message, sender=member_at_address))


class ForgetsVote(RaftNode):
    """Loses its vote and its commands on a restart."""

    def __init__(self, me: Member, persisted: PersistedState, *rest: Any, **more: Any) -> None:
        persisted.voted_for = ""
        persisted.entries = [e for e in persisted.entries if e.data == b""]
        super().__init__(me, persisted, *rest, **more)


@pytest.mark.parametrize("defective_node", [CommitsWithoutMajority, IgnoresDiskIds, ForgetsVote])
def test_injected_defects_are_detected(defective_node: type[RaftNode]) -> None:
    with pytest.raises(AssertionError, match=r"two (entries committed|leaders)"):
        for seed in range(WALKS):
            random_walk(defective_node, seed)


class CountsLearnersForCommit(RaftNode):
    """Counts learners in the majority for a commit."""

    def _is_on_majority(self, index: int, voters: tuple[Member, ...]) -> bool:
        return 1 + sum(p.match_index >= index for p in self.peers.values()) > len(voters) // 2


class CountsLearnersForVote(RaftNode):
    """Requests votes from learners and counts them."""

    def _other_voters(self) -> tuple[Member, ...]:
        return tuple(m for m in self.members if m != self.me)

    def _has_majority(self, predicate: Callable[[Member], bool]) -> bool:
        return sum(map(predicate, self.members)) > len(self.voters) // 2


class NewMajorityOnly(RaftNode):
    def _voter_sets(self) -> tuple[tuple[Member, ...], ...]:
        return (self._voters,)


class IgnoresPendingChange(RaftNode):
    """Does not wait until the previous configuration is committed."""

    def _may_change_members(self) -> bool:
        return self._has_committed_in_term


class IgnoresTermStart(RaftNode):
    """Does not wait until the first entry of the term is committed."""

    def _may_change_members(self) -> bool:
        return self._is_configuration_committed()


@pytest.mark.parametrize(
    "defective_node",
    [
        CommitsWithoutMajority,
        IgnoresDiskIds,
        CountsLearnersForCommit,
        CountsLearnersForVote,
        NewMajorityOnly,
        IgnoresPendingChange,
        IgnoresTermStart,
    ],
)
def test_injected_defects_of_a_configuration_change_are_detected(
    defective_node: type[RaftNode],
) -> None:
    with pytest.raises(AssertionError, match=r"two entries committed|two leaders|too early"):
        for seed in range(2 * CONFIGURATION_WALKS):
            random_walk(defective_node, seed, 100, with_learner)
