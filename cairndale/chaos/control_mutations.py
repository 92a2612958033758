"""Known defects of the core, one or more for each of the five points of issue 40: `storm SEED COUNT
NAME`."""

from __future__ import annotations

import json
from dataclasses import replace
from importlib import import_module
from typing import Any


def _module(name: str) -> Any:
    """Looked into when a plant is put in: what it alters may be anywhere."""
    return import_module(name)


# Contact with a majority before serving.


def beats_alone() -> None:
    """Who has lost contact goes on confirming beats, and says that it is ready."""
    follower = _module("cairndale.control.follower").Follower
    follower.in_contact = lambda self, now: True


def unconfirmed() -> None:
    """Whoever once took the lead answers at once, whether anybody follows it still or not."""
    _module("cairndale.control.read_index").ReadIndex._is_confirmed = lambda self, waiting, stand: (
        True
    )
    machine = _module("cairndale.raft.node")
    machine.RaftNode.leads = lambda self, now: (
        self.role is machine.Role.LEADER and self._has_committed_in_term
    )
    follow = machine.RaftNode._become_follower

    def stay(self: Any, now: float, step: Any, term: int, leader: Any) -> None:
        if leader or term > self.term or self.role is not machine.Role.LEADER:
            follow(self, now, step, term, leader)

    machine.RaftNode._become_follower = stay


def _instead(call: str, answer: Any) -> None:
    """`answer` may give one of its own, from the process and the body, to each call whose path
    begins so."""
    api = _module("cairndale.control.api").ControlApi
    control = api.control

    async def held(self: Any, method: str, target: str, body: bytes) -> Any:
        own = answer(self._process, body) if target.startswith(f"/-/{call}") else None
        return own or await control(self, method, target, body)

    api.control = held


def own_reads() -> None:
    """Whoever is asked reads out what it holds itself."""
    from cairndale.http_api.server import json_response

    def content(process: Any, body: bytes) -> Any:
        return json_response(200, process.state.content) if process.state.gen else None

    _instead("Config.Read", content)


# One order at a time, and again.


def short_memory() -> None:
    """Only the last four accepted orders are remembered, and all others refused."""
    state = _module("cairndale.configuration.state")
    state.MAX_IDEMPOTENCY_RECORDS = 4
    state.State.record_may_be_evicted = lambda self, gen: False


def own_refusals() -> None:
    """Whoever is asked refuses by what it holds itself."""
    from cairndale.http_api.server import error_response

    def refusal(process: Any, body: bytes) -> Any:
        order, gen = json.loads(body or b"{}"), process.state.gen
        late = order.get("parent", gen) != gen and order["gen"] > gen
        return error_response(412, f"parent: {order['parent']} is not {gen}") if late else None

    _instead("Config.", refusal)


# Membership by agreement.


def gone_members_vote() -> None:
    """Whoever comes votes, and nobody is taken out."""
    membership = _module("cairndale.raft.membership")
    membership.next_voters = lambda members, *more: frozenset(m.disk_id for m in members)


def new_majority_only() -> None:
    """A change counts by the new voters alone, and several are made at once."""
    replica = _module("cairndale.raft.replica").Replica
    replica._voter_sets = lambda self: (self._voters,)
    _module("cairndale.raft.membership").Membership._may_change_members = lambda self: (
        self._has_committed_in_term
    )


def unsynced_votes() -> None:
    """Terms and votes are not kept, nor are entries: a disk is empty after each start."""
    store = _module("cairndale.raft.storage").RaftStorage
    write = store.write
    heads = ("HardState", "SaveEntries")
    store.write = lambda self, writes: write(
        self, [w for w in writes if type(w).__name__ not in heads]
    )


# Catching up.


def torn_snapshot() -> None:
    """A snapshot counts as installed with the tables of before in it."""
    machine = _module("cairndale.raft.node").RaftNode
    install = machine.install_snapshot

    def torn(self: Any, now: float, snapshot: Any) -> Any:
        step = install(self, now, snapshot)
        step.restored_snapshot = None
        return step

    machine.install_snapshot = torn


# Answers and words of others.


def answers_by_number() -> None:
    """An answer is taken by its number alone, from whomever it comes."""
    pending_calls = _module("cairndale.rpc.pending_calls").PendingCalls
    checked = pending_calls.answered

    def answered(self: Any, connection: Any, answer: Any) -> bool:
        call = self._calls.get(answer.call_id)
        if call is None or call.response.done():
            return bool(checked(self, connection, answer))
        call.response.set_result(answer)
        return True

    pending_calls.answered = answered


def old_words() -> None:
    """An older leader's word is obeyed like any."""
    _module("cairndale.rpc.peer").RpcPeer.is_stale = lambda self, envelope, address: False
    client = _module("cairndale.dataplane.config_client").ConfigClient
    apply = client.apply

    def obey(self: Any, watch_response: Any, *more: Any) -> Any:
        version = min(self.cursor.config_version, watch_response.config_version)
        self.cursor = replace(self.cursor, config_version=version)
        return apply(self, watch_response, *more)

    client.apply = obey


def foreign_words() -> None:
    """Whoever stands at a door is talked to, of whatever system, and what it says as a leader is
    obeyed."""
    _module("cairndale.rpc.peer").RpcPeer.hello_received = lambda self, connection, hello: True
    old_words()
