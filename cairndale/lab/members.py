"""A fleet of members in virtual time: the machines of `members/core.py` amid a network drawn by a
seed."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count

from cairndale.gossip.core import (
    Action,
    Core,
    MembershipChanged,
    Persist,
    PersistentState,
    RequestExchange,
    Send,
    Timing,
)
from cairndale.gossip.wire import Address, Codec, Peer, View


@dataclass(slots=True)
class Node:
    name: str
    address: Address
    seeds: tuple[Address, ...]
    founds: bool
    zone: str = ""
    core: Core | None = None  # None: not running
    disk: PersistentState | None = None
    stopped: bool = False
    inbox: list[tuple[Address, bytes]] = field(default_factory=list)  # while it is stopped, bounded
    starts: int = 0
    woken: float = -1.0  # the tick that is planned
    views: list[tuple[float, View]] = field(default_factory=list)
    words: list[tuple[float, str]] = field(default_factory=list)
    sent: int = 0
    bytes: int = 0


@dataclass(slots=True)
class Net:
    """`loss` of each datagram; `delay`: (least, most) s. `cut` says whether nothing passes from one
    name to another; `slow` how long a member takes to hear (starved of CPU)."""

    seed: int
    timing: Timing = field(default_factory=Timing)
    loss: float = 0.0
    delay: tuple[float, float] = (0.0002, 0.002)
    now: float = 0.0
    nodes: dict[str, Node] = field(default_factory=dict)
    cut: Callable[[str, str], bool] = lambda a, b: False
    slow: dict[str, float] = field(default_factory=dict)
    rng: random.Random = field(init=False)
    datagrams: int = 0
    largest: int = 0  # bytes of a datagram
    _by: dict[Address, Node] = field(default_factory=dict)
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _ids: count[int] = field(default_factory=count)
    _codec: Codec = field(default_factory=lambda: Codec("lab", b"key"))

    def __post_init__(self) -> None:
        self.rng = random.Random(f"members {self.seed}")

    # Life.

    def add(self, names: Iterable[str], seeds: int = 3) -> None:
        names = list(names)
        places = [("127.0.0.1", 10_000 + len(self.nodes) + n) for n in range(len(names))]
        for n, name in enumerate(names):
            first = not self.nodes
            known = tuple(list(self._by)[:seeds] or places[:seeds])
            self.nodes[name] = self._by[places[n]] = Node(
                name, places[n], known, first, f"z{n % 3}"
            )

    def start(self, name: str, folder: bool = True) -> None:
        node = self.nodes[name]
        node.starts += 1
        host, port = node.address
        stored = node.disk if folder else None
        rng = random.Random(f"{self.seed} {name} {node.starts}")
        peer = Peer(name, 0, host, port, node.zone)
        node.core = Core(peer, "lab", self.timing, rng, node.seeds, node.founds)
        node.stopped, node.inbox = False, []
        self._carry_out(node, node.core.start(self.now, stored))

    def kill(self, name: str) -> None:
        self.nodes[name].core = None

    def stop(self, name: str) -> None:
        self.nodes[name].stopped = True

    def go_on(self, name: str) -> None:
        """What came meanwhile is heard first, as from a socket's buffer; then the time is seen."""
        node = self.nodes[name]
        node.stopped = False
        inbox, node.inbox = node.inbox, []
        for source, data in inbox:
            self._arrives(node, source, data)
        self._wake(node)

    def leave(self, name: str) -> None:
        node = self.nodes[name]
        if node.core:
            self._carry_out(node, node.core.leave(self.now))
            self.at(self.now + 1.0, lambda: self.kill(name))

    # Time.

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._ids), what))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, what = heapq.heappop(self._events)
            what()
        self.now = until

    def until(self, holds: Callable[[], bool], limit: float, step: float = 0.05) -> float | None:
        """s until it holds; None if it did not within the limit."""
        begin = self.now
        while self.now - begin < limit:
            if holds():
                return self.now - begin
            self.run(self.now + step)
        return self.now - begin if holds() else None

    def _wake(self, node: Node) -> None:
        core = node.core
        if core is None or node.stopped:
            return
        when = max(self.now, core.wake_at())
        if node.woken >= 0 and self.now <= node.woken <= when:
            return
        node.woken = when
        self.at(when, lambda: self._tick(node, core, when))

    def _tick(self, node: Node, core: Core, when: float) -> None:
        if node.core is core and not node.stopped:
            if node.woken == when:
                node.woken = -1.0
            if core.wake_at() <= self.now:
                self._carry_out(node, core.tick(self.now))
            else:
                self._wake(node)

    # Network.

    def _carry_out(self, node: Node, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(to, packet):
                    data = self._codec.encode(packet)
                    node.sent += 1
                    node.bytes += len(data)
                    self._datagram(node, to, data)
                case RequestExchange(to, _):
                    self._exchange(node, to, action)
                case Persist(stored):
                    node.disk = stored
                case MembershipChanged(view, standing, added, gone):
                    if added or gone:
                        node.views.append((self.now, view))
                    node.words.append((self.now, standing.status))
        self._wake(node)

    def _way(self) -> float:
        return self.rng.uniform(*self.delay)

    def _datagram(self, node: Node, to: Address, data: bytes) -> None:
        self.datagrams += 1
        self.largest = max(self.largest, len(data))
        target = self._by.get(to)
        if target is None or self.rng.random() < self.loss or self.cut(node.name, target.name):
            return
        late = self._way() + self.slow.get(target.name, 0.0) * self.rng.random()
        self.at(self.now + late, lambda: self._arrives(target, node.address, data))

    def _arrives(self, node: Node, source: Address, data: bytes) -> None:
        if node.core is None:
            return
        if node.stopped:
            if len(node.inbox) < 1000:
                node.inbox.append((source, data))
            return
        packet = Codec("lab", b"key").decode(data, source[0])
        self._carry_out(node, node.core.receive(self.now, source, packet))

    def _exchange(self, node: Node, to: Address, ask: RequestExchange) -> None:
        """Over TCP: both ways must be open, and the other one there."""
        core, target = node.core, self._by.get(to)

        def reaches() -> None:
            if target is None or target.core is None or target.stopped or self._apart(node, target):
                return
            answer, actions = target.core.receive_exchange(self.now, ask.state)
            self._carry_out(target, actions)
            self.at(self.now + self._way(), lambda: back(answer))

        def back(answer: object) -> None:
            if node.core is core and core is not None and not node.stopped:
                self._carry_out(node, core.receive_exchange_answer(self.now, to, answer))  # type: ignore[arg-type]

        self.at(self.now + self._way(), reaches)

    def _apart(self, a: Node, b: Node) -> bool:
        return self.cut(a.name, b.name) or self.cut(b.name, a.name)

    # What is seen.

    def running(self) -> list[Node]:
        return [n for n in self.nodes.values() if n.core is not None and not n.stopped]

    def agree(self, names: Iterable[str] | None = None) -> bool:
        """Whether those that run, or those named, have one view, of just them."""
        wanted = sorted(names if names is not None else (n.name for n in self.running()))
        views = [self.nodes[n].core.view if self.nodes[n].core else None for n in wanted]  # type: ignore[union-attr]
        first = views[0] if views else None
        return (
            first is not None
            and all(v == first for v in views)
            and [p.name for p in first.members] == wanted
        )

    def form(self, size: int, limit: float = 300.0) -> float | None:
        """Starts so many members and waits until all have one view."""
        self.add([f"m{n:04d}" for n in range(size)])
        for n, name in enumerate(self.nodes):
            self.at(0.02 * n, lambda name=name: self.start(name))  # type: ignore[misc]
        return self.until(lambda: len(self.running()) == size and self.agree(), limit, 0.5)
