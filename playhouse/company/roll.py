"""Which ingresses there are: each holds a lease at the duty's holder and is a member while it renews it.

Times are seconds on the holder's clock. A lease runs for its holder from when it asked, here from the
answer on: so it has ended there before it ends here.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from playhouse.wings import cues_pb2 as pb

LEASE = 4.5  # s: shorter than `ack`, as an acknowledgement waits for those silent to have stopped
MISSED = 0.8  # s without a word after which clients are no longer sent there
HOLD = 0.25  # s that an ask may be kept while there is no news, or ...
HOLD_EACH = 0.015  # ... so many for each ingress, if that is more
HEARD = 0.25  # s beyond that after which an ingress may be out of touch, as far as its holder can tell ...
LOST = 0.4  # ... and after which it is, as it sees it itself


def hold(edges: int) -> float:
    return max(HOLD, HOLD_EACH * edges)


@dataclass(slots=True)
class Held:
    node: pb.Node
    lease_end: float
    heard_at: float
    asked_at: float  # when its newest ask came
    script: int  # the version it has told that it serves by
    counting: bool = False  # it spends leased units only
    current: bool = False  # it had heard all that was told of servers when it last asked
    waiting: bool = False  # its next ask is here, to be answered when there is news


class Roll:
    def __init__(self) -> None:
        self.held: dict[str, Held] = {}  # by name
        self.number = 0

    def begin(self, now: float, names: Iterable[str]) -> None:
        """The duty begins. Each of these may hold a lease of an earlier holder's."""
        for name in names:
            if name not in self.held:
                unheard = pb.Node(name=name, kind="edge")
                self.held[name] = Held(unheard, now + LEASE, float("-inf"), float("-inf"), -1)
        for held in self.held.values():
            held.lease_end, held.script, held.asked_at = now + LEASE, -1, float("-inf")
            if held.node.http:  # the last holder knew it: clients are sent there until it is missed here
                held.heard_at = now
            held.counting = False

    def ask(self, now: float, node: pb.Node, script: int) -> bool:
        """True if it is news to others."""
        known = self.held.get(node.name)
        if known is None:
            self.held[node.name] = Held(node, now + LEASE, now, now, script, waiting=True)
            self.number += 1
            return True
        news = known.node != node or now > known.lease_end
        news = news or (not known.waiting and now - known.heard_at > MISSED)
        new_life = known.node.life != node.life  # a machine runs one life of a role: the one before is over
        known.script = script if new_life else max(known.script, script)
        known.node, known.heard_at, known.asked_at, known.waiting = node, now, now, True
        self.number += news
        return news

    def in_touch(self, now: float, held: Held, edges: int) -> bool:
        return held.counting and now - held.asked_at <= hold(edges) + HEARD

    def silent(self, now: float, edges: int) -> int:
        """Ingresses that may serve, and may be out of touch with the counter."""
        here = [h for h in self.held.values() if h.node.kind == "edge" and h.lease_end >= now]
        return sum(1 for h in here if not self.in_touch(now, h, edges))

    def all_heard(self, now: float) -> bool:
        """Whoever may hold a lease has asked since the duty began."""
        here = [h for h in self.held.values() if h.node.kind == "edge" and h.lease_end >= now]
        return all(h.asked_at > float("-inf") for h in here)

    def answered(self, now: float, name: str) -> None:
        if held := self.held.get(name):
            held.lease_end, held.heard_at, held.waiting = now + LEASE, now, False

    def expire(self, now: float) -> bool:
        gone = [n for n, h in self.held.items() if h.lease_end < now and now - h.heard_at > LEASE]
        for name in gone:
            del self.held[name]
        self.number += bool(gone)
        return bool(gone)

    def all_at(self, now: float, script: int) -> bool:
        """Nobody can serve by an older version any longer."""
        return all(
            h.script >= script for h in self.held.values() if h.lease_end >= now and h.node.kind == "edge"
        )

    def here(self, now: float) -> list[pb.Node]:
        return [h.node for h in self.held.values() if h.waiting or now - h.heard_at < MISSED]

    def take(self, nodes: list[pb.Node], now: float, number: int) -> None:
        """What the holder's roll says, for one that may hold the duty next."""
        self.held = {n.name: Held(n, now + LEASE, now, now, -1) for n in nodes}
        self.number = number
