"""What an ingress was told by the core's leader, and the lease by which it may serve by it.

A plain object without I/O; times are seconds on the ingress's steady clock, but for `cold_until`
(us, the engine's)."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from cairndale.configuration.delta import ConfigDelta, DeltaError
from cairndale.configuration.route_table import RouteTable, TableChange
from cairndale.registry.nodes import LOST, PROMPT, hold
from cairndale.rpc import protocol_pb2 as pb
from cairndale.settings import DRIFT


@dataclass(slots=True)
class KnownEndpoint:
    server: pb.Endpoint
    cold_until: int  # us


@dataclass(slots=True)
class ConfigUpdate:
    """What a cue has changed."""

    route_table: bool = False
    items: TableChange | None = None  # of the bill; None: all of it may be otherwise
    servers: bool = False
    named: frozenset[str] | None = None  # of the servers; None: all of them may be
    place: bool = False
    dropped: str = ""  # nothing was taken: why


class ConfigClient:
    def __init__(self, now: float, cores: Iterable[str]) -> None:
        self.route_table = RouteTable({})
        self.servers: dict[str, KnownEndpoint] = {}
        self.nodes: dict[str, pb.Node] = {}  # those here, by name
        self.cores = list(cores)  # doors of every one ever told of
        self.evacuated: frozenset[str] = frozenset()
        self.lease_end = self.heard_at = float("-inf")
        self.settled = False  # in this life it has been told of all servers that there were
        self.edges = 0  # ingresses that shares are parted over; 0: never told, so none may be spent
        self.seen: tuple[str, int, int, int, int] = (
            "",
            0,
            0,
            0,
            0,
        )  # epoch, script, servers, nodes, gen
        self._counting, self._began = False, now
        self._alone_at = now  # when it last lost touch otherwise than by hearing nothing
        self._told_of: set[str] = set()  # servers, in the term of the newest cue
        # what the leader knows of it, and in which epoch
        self._told: tuple[str, pb.Node] | None = None
        self._wants_whole = False  # a difference did not fit
        self._clock = (0, 0.0)  # what the newest cue said of the leader's, in ms, and when it came

    # What is known.

    def may_serve(self, now: float) -> bool:
        return now < self.lease_end

    def in_touch(self, now: float) -> bool:
        """The counter counts, and heard of this ingress so lately that it knows it does not spend
        by itself."""
        return self._counting and now < self.heard_at + hold(self.edges) + LOST

    def lose_touch(self, now: float) -> None:
        """The leader's connection has ended."""
        if self.in_touch(now):
            self._alone_at = now
        self.heard_at = float("-inf")

    def alone_since(self, now: float) -> float:
        """Since when it may spend without the counter, or a little later; now, while it may not."""
        if self.in_touch(now):
            return now
        if self._counting:
            return max(self._alone_at, self.heard_at + hold(self.edges) + LOST)
        return self._alone_at

    def stands(self, server: str, service: str) -> bool:
        known = self.servers.get(server)
        if known is None or known.server.state != "ready" or known.server.service != service:
            return False
        return known.server.zone not in self.evacuated

    def peers(self, own: str) -> list[str]:
        return [n.address for n in self.nodes.values() if n.kind == "edge" and n.address != own]

    def know_cores(self, addresses: Iterable[str]) -> None:
        for address in addresses:
            if address not in self.cores:
                self.cores.append(address)

    # Asking, and being told.

    def ask(self, node: pb.Node, now: float, wait: float) -> pb.WatchRequest:
        """For what is news, which the leader may keep for `wait` s while there is none."""
        epoch, config_version, servers, nodes, gen = self.seen
        ask = pb.WatchRequest(
            epoch=epoch,
            config_version=config_version,
            gen=gen,
            servers=servers,
            nodes=nodes,
            wait_ms=round(wait * 1000),
            counting=self._counting and now - self.heard_at <= PROMPT,
            clock_ms=self._clock_ms(now),
            idle_ms=0 if self.edges else round((now - self._began) * 1000),
            differences=not self._wants_whole,
        )
        if (epoch, node) == self._told:
            ask.name, ask.life = node.name, node.life
        else:
            ask.node.CopyFrom(node)
        return ask

    def unanswered(self) -> None:
        self._told = None

    def _clock_ms(self, now: float) -> int:
        """On the leader's clock, or behind it."""
        said, came = self._clock
        return int(said + (now - came) * 1000 * (1 - DRIFT)) if said else 0

    def take(
        self, watch_response: pb.WatchResponse, node: pb.Node, asked: float, now: float, us: int
    ) -> ConfigUpdate | None:
        """`asked`: when, and by which `node`; `us`: the engine's clock now. None: it says nothing
        new enough, as nothing goes back within a life. A difference that does not fit is dropped
        with all that came with it, and the whole content is asked for next."""
        if watch_response.config_version < self.seen[1]:
            return None
        items = None
        if watch_response.HasField("difference"):
            told = watch_response.difference
            try:
                if told.gen != watch_response.gen:
                    raise DeltaError(f"to gen {told.gen}, and not to gen {watch_response.gen}")
                items = self.route_table.change(
                    ConfigDelta(told.before, told.gen, told.digest_before, told.digest, told.change)
                )
            except DeltaError as error:
                self._wants_whole = True
                return ConfigUpdate(dropped=str(error))
        elif watch_response.has_content:
            self.route_table = RouteTable(
                json.loads(zlib.decompress(watch_response.content))
                if watch_response.content
                else {}
            )
            self._wants_whole = False
        moved = watch_response.has_config_version and self.evacuated != frozenset(
            watch_response.evacuated
        )
        if moved:
            self.evacuated = frozenset(watch_response.evacuated)
        if watch_response.servers_whole:
            self.servers = {}
        if watch_response.epoch.rstrip("~") != self.seen[0].rstrip("~"):
            self._told_of = set()
        self._told_of.update(server.id for server in watch_response.server)
        if watch_response.rest_gone:
            self.servers = {id: known for id, known in self.servers.items() if id in self._told_of}
        for server in watch_response.server:
            self._know_server(server, us)
        if watch_response.nodes_whole:
            self.nodes = {}
        for name in watch_response.node_gone:
            self.nodes.pop(name, None)
        self.nodes.update((n.name, n) for n in watch_response.node)
        self.know_cores(n.address for n in watch_response.node if n.kind == "core")
        if self._counting and not watch_response.counting:
            self._alone_at = now
        self._counting, self.settled = (
            watch_response.counting,
            self.settled or watch_response.settled,
        )
        self.edges = (
            watch_response.share_of
            if watch_response.counting
            else max(self.edges, watch_response.share_of)
        )
        self.seen, self._told = (
            (
                watch_response.epoch,
                watch_response.config_version,
                watch_response.servers,
                watch_response.nodes,
                watch_response.gen,
            ),
            (watch_response.epoch, node),
        )
        self.heard_at, self._clock = now, (watch_response.clock_ms, now)
        self.lease_end = asked + watch_response.lease_ms / 1000 * (1 - DRIFT)
        anew, route_table = (
            watch_response.servers_whole or watch_response.rest_gone or moved,
            watch_response.has_content or items is not None,
        )
        return ConfigUpdate(
            route_table,
            items,
            bool(watch_response.server) or anew,
            None if anew else frozenset(server.id for server in watch_response.server),
            bool(watch_response.node)
            or bool(watch_response.node_gone)
            or watch_response.nodes_whole
            or route_table,
        )

    def _know_server(self, server: pb.Endpoint, us: int) -> None:
        if server.state == "gone":
            self.servers.pop(server.id, None)
        else:
            self.servers[server.id] = KnownEndpoint(
                server, us + server.cold_ms * 1000 if server.cold_ms else 0
            )
