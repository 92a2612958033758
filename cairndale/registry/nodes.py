"""Which ingresses there are: each holds a lease at the duty's leader and is a member while it
renews it.

Times are seconds on the leader's clock. A lease runs for its leader from when it asked, here from
the answer on: so it has ended there before it ends here."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.lease_timing import (
    FRESH_REQUEST_S,
    LEADER_CONTACT_MARGIN_S,
    NODE_LEASE_S,
    long_poll_timeout,
)

MISSED = 0.8  # s without a word after which clients are no longer sent there


@dataclass(slots=True)
class NodeLease:
    node: pb.Node
    lease_end: float
    heard_at: float
    asked_at: float  # when its newest ask was made, as that is known: not later
    config_version: int  # the version it has told that it serves by
    made_at: float = float("-inf")  # of its newest ask, by the clock that cues tell of
    idle_from: float = float("inf")  # since when it has spent nothing, and ...
    idle_until: float = float("inf")  # ... until when: its first answer let it spend its part
    counting: bool = False  # it spends leased units only
    here: bool = False  # clients are sent there, if it is ready
    current: bool = False  # it had heard all that was told of servers when it last asked
    waiting: bool = False  # its next ask is here, to be answered when there is news


class NodeRegistry:
    def __init__(self) -> None:
        self.leases: dict[str, NodeLease] = {}  # by name
        self.number = 0  # rises with every change of who is here
        self.joined = 0  # rises with every name that is new
        self._changed: dict[
            str, int
        ] = {}  # by name, of those no longer known as well; the newest last

    def _change(self, name: str) -> None:
        self.number += 1
        self._changed.pop(name, None)
        self._changed[name] = self.number

    def begin(self, now: float, names: Iterable[str]) -> None:
        """The duty begins. Each of these may hold a lease of an earlier leader's."""
        for name in names:
            if name not in self.leases:
                unheard = pb.Node(name=name, kind="edge")
                self.leases[name] = NodeLease(
                    unheard, now + NODE_LEASE_S, float("-inf"), float("-inf"), -1
                )
                self.joined += 1
        for held in self.leases.values():
            held.lease_end, held.config_version = now + NODE_LEASE_S, -1
            held.asked_at = held.made_at = float("-inf")
            if (
                held.here
            ):  # as the last leader knew it: clients are sent there until it is missed here
                held.heard_at = now
            held.counting = False
            held.idle_from = held.idle_until = float("inf")

    def was_held_up(self, now: float, node: pb.Node, made: float | None) -> bool:
        """An ask that says nothing of now: a later one of the same life has come before it, or a
        lease that began with it would be over. `made`: when, at the earliest; None: it has not
        heard of this term."""
        known = self.leases.get(node.name)
        before = known.made_at if known and known.node.life == node.life else float("-inf")
        return (
            before > float("-inf") if made is None else made < before or now - made > NODE_LEASE_S
        )

    def ask(
        self, now: float, node: pb.Node, config_version: int, made: float | None = None
    ) -> bool:
        """True if it is news to others."""
        asked = now if made is None or now - made <= FRESH_REQUEST_S else made
        made_at = float("-inf") if made is None else made
        known = self.leases.get(node.name)
        if known is None:
            self.leases[node.name] = NodeLease(
                node,
                now + NODE_LEASE_S,
                now,
                asked,
                config_version,
                made_at,
                here=True,
                waiting=True,
            )
            self._change(node.name)
            self.joined += 1
            return True
        news = known.node != node or not known.here
        new_life = (
            known.node.life != node.life
        )  # a machine runs one life of a role: the one before is over
        known.config_version = (
            config_version if new_life else max(known.config_version, config_version)
        )
        known.node, known.heard_at, known.waiting, known.here = node, now, True, True
        known.asked_at, known.made_at = asked, made_at
        if news:
            self._change(node.name)
        return news

    def watch(self, now: float) -> bool:
        """Those not heard for a while are not here; those whose lease is long over are forgotten.
        True if it is news."""
        before = self.number
        for name, held in list(self.leases.items()):
            if held.here and not held.waiting and now - held.heard_at >= MISSED:
                held.here = False
                self._change(name)
            if not held.here and held.lease_end < now and now - held.heard_at > NODE_LEASE_S:
                del self.leases[name]
        return self.number != before

    def in_touch(self, now: float, held: NodeLease, edges: int) -> bool:
        return (
            held.counting
            and held.asked_at >= now - long_poll_timeout(edges) - LEADER_CONTACT_MARGIN_S
        )

    def silent(self, now: float, edges: int) -> int:
        """Ingresses that may serve, and may be out of touch with the counter."""
        since = (
            now - long_poll_timeout(edges) - LEADER_CONTACT_MARGIN_S
        )  # as `in_touch` has it, reckoned once for all
        return sum(
            1
            for h in self.leases.values()
            if not (h.counting and h.asked_at >= since)
            and h.lease_end >= now
            and h.node.kind == "edge"
        )

    def idle(self, now: float) -> float:
        """s in which nobody at all has spent a unit, of all who held leases when the duty began."""
        edges = [h for h in self.leases.values() if h.node.kind == "edge"]
        if any(h.asked_at == float("-inf") for h in edges):
            return 0.0  # nobody knows what it did
        begun = max((h.idle_from for h in edges), default=now)
        return max(0.0, min([now, *(h.idle_until for h in edges)]) - begun)

    def all_heard(self, now: float) -> bool:
        """Whoever may hold a lease has asked since the duty began."""
        return all(
            h.asked_at > float("-inf")
            for h in self.leases.values()
            if h.node.kind == "edge" and h.lease_end >= now
        )

    def answered(self, now: float, name: str) -> None:
        if held := self.leases.get(name):
            held.lease_end, held.heard_at, held.waiting = now + NODE_LEASE_S, now, False

    def all_at(self, now: float, config_version: int) -> bool:
        """Nobody can serve by an older version any longer."""
        return all(
            h.config_version >= config_version
            for h in self.leases.values()
            if h.lease_end >= now and h.node.kind == "edge"
        )

    def here(self) -> list[pb.Node]:
        return [h.node for h in self.leases.values() if h.here]

    def since(self, number: int) -> tuple[list[pb.Node], list[str]]:
        """Who is here, and who no longer, of those that changed since."""
        names = []
        for name, at in reversed(self._changed.items()):
            if at <= number:
                break
            names.append(name)
        here = [h.node for n in names if (h := self.leases.get(n)) and h.here]
        return here, [n for n in names if n not in self.leases or not self.leases[n].here]

    def take(
        self, nodes: Iterable[pb.Node], gone: Iterable[str], whole: bool, now: float, number: int
    ) -> None:
        """What the leader's roll says, for one that may hold the duty next."""
        if whole:
            self.leases = {}
        for name in gone:
            self.leases.pop(name, None)
        for node in nodes:
            self.leases[node.name] = NodeLease(node, now + NODE_LEASE_S, now, now, -1, here=True)
        self.number = number
