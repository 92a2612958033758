"""Known defects of the control plane, one or more for each of the five points of issue 40. They
show that the checkers of a storm detect them: `storm SEED COUNT NAME`."""

from __future__ import annotations

import json
from dataclasses import replace
from importlib import import_module
from typing import Any


def _module(name: str) -> Any:
    """Import a module only when a defect is applied, since each defect patches other modules."""
    return import_module(name)


# Contact with a majority before serving.


def beats_alone() -> None:
    """A follower that lost contact with the leader still confirms heartbeats and reports ready."""
    follower = _module("cairndale.control.follower").Follower
    follower.in_contact = lambda self, now: True


def unconfirmed() -> None:
    """A node that once became leader answers reads without confirming that it still leads."""
    _module("cairndale.control.read_index").ReadIndex._is_confirmed = lambda self, waiting, stand: (
        True
    )
    raft_node = _module("cairndale.raft.node")
    raft_node.RaftNode.leads = lambda self, now: (
        self.role is raft_node.Role.LEADER and self._has_committed_in_term
    )
    become_follower = raft_node.RaftNode._become_follower

    def keep_leading(self: Any, now: float, step: Any, term: int, leader: Any) -> None:
        if leader or term > self.term or self.role is not raft_node.Role.LEADER:
            become_follower(self, now, step, term, leader)

    raft_node.RaftNode._become_follower = keep_leading


def _override_call(call: str, answer: Any) -> None:
    """Override the answer to control calls whose path starts with `call`.

    `answer` takes the process and the request body; where it returns None, the call is handled as
    usual.
    """
    api = _module("cairndale.control.api").ControlApi
    control = api.control

    async def intercepted(self: Any, method: str, target: str, body: bytes) -> Any:
        replacement = answer(self._process, body) if target.startswith(f"/-/{call}") else None
        return replacement or await control(self, method, target, body)

    api.control = intercepted


def own_reads() -> None:
    """A node answers a configuration read from its own state, without a read index."""
    from cairndale.http_api.server import json_response

    def content(process: Any, body: bytes) -> Any:
        return json_response(200, process.state.content) if process.state.gen else None

    _override_call("Config.Read", content)


# Serialized, idempotent orders.


def short_memory() -> None:
    """Only the last four accepted orders are remembered; a retry of an older one is rejected."""
    state = _module("cairndale.configuration.state")
    state.MAX_IDEMPOTENCY_RECORDS = 4
    state.State.record_may_be_evicted = lambda self, gen: False


def own_refusals() -> None:
    """A node rejects an order by its own state, without asking the leader."""
    from cairndale.http_api.server import error_response

    def rejection(process: Any, body: bytes) -> Any:
        order, gen = json.loads(body or b"{}"), process.state.gen
        conflicts = order.get("parent", gen) != gen and order["gen"] > gen
        return error_response(412, f"parent: {order['parent']} is not {gen}") if conflicts else None

    _override_call("Config.", rejection)


# Membership changes by consensus.


def gone_members_vote() -> None:
    """Every member that joins votes, and none is removed."""
    membership = _module("cairndale.raft.membership")
    membership.next_voters = lambda members, *more: frozenset(m.disk_id for m in members)


def new_majority_only() -> None:
    """A membership change needs a majority of the new voters only, and several run at once."""
    replica = _module("cairndale.raft.replica").Replica
    replica._voter_sets = lambda self: (self._voters,)
    _module("cairndale.raft.membership").Membership._may_change_members = lambda self: (
        self._has_committed_in_term
    )


def unsynced_votes() -> None:
    """Terms, votes and log entries are not written: the disk is empty after each start."""
    store = _module("cairndale.raft.storage").RaftStorage
    write = store.write
    dropped = ("HardState", "SaveEntries")
    store.write = lambda self, writes: write(
        self, [item for item in writes if type(item).__name__ not in dropped]
    )


# Catching up by snapshot.


def torn_snapshot() -> None:
    """A snapshot counts as installed although the state machine keeps its previous tables."""
    raft_node = _module("cairndale.raft.node").RaftNode
    install = raft_node.install_snapshot

    def install_without_tables(self: Any, now: float, snapshot: Any) -> Any:
        step = install(self, now, snapshot)
        step.restored_snapshot = None
        return step

    raft_node.install_snapshot = install_without_tables


# Responses and messages of other nodes.


def answers_by_number() -> None:
    """A response is matched by its call id alone, whichever connection it comes from."""
    pending_calls = _module("cairndale.rpc.pending_calls").PendingCalls
    answered_if_matching = pending_calls.answered

    def answered(self: Any, connection: Any, answer: Any) -> bool:
        call = self._calls.get(answer.call_id)
        if call is None or call.response.done():
            return bool(answered_if_matching(self, connection, answer))
        call.response.set_result(answer)
        return True

    pending_calls.answered = answered


def old_words() -> None:
    """Messages from a leader of an older term are accepted."""
    _module("cairndale.rpc.peer").RpcPeer.is_stale = lambda self, envelope, address: False
    client = _module("cairndale.dataplane.config_client").ConfigClient
    apply = client.apply

    def apply_any(self: Any, watch_response: Any, *more: Any) -> Any:
        version = min(self.cursor.config_version, watch_response.config_version)
        self.cursor = replace(self.cursor, config_version=version)
        return apply(self, watch_response, *more)

    client.apply = apply_any


def foreign_words() -> None:
    """The system id in a peer's hello is not checked, and messages of any leader are accepted."""
    _module("cairndale.rpc.peer").RpcPeer.hello_received = lambda self, connection, hello: True
    old_words()
