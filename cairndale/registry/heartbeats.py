"""Beats that come to one that does not lead: those that say nothing new are told to the leader
together."""

from __future__ import annotations

import json

from cairndale.registry.endpoints import Endpoint, EndpointRegistry, read_heartbeat
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.settings import Settings


class HeartbeatCollector:
    """Times are seconds on this process's clock."""

    def __init__(
        self, settings: Settings, endpoint_registry: EndpointRegistry, node_registry: NodeRegistry
    ) -> None:
        self._settings, self._endpoint_registry, self._node_registry = (
            settings,
            endpoint_registry,
            node_registry,
        )
        self._beats: dict[
            str, tuple[int, float]
        ] = {}  # by server: seq, and when it came; not told for sure

    def nearer(self, body: bytes) -> dict[str, str]:
        """Where a server's later beats are to go, if that is not here: they are the most of what
        crosses zones. Only those that the leader has heard of late are named."""
        zone = json.loads(body)["details"]["zone"]
        region = self._settings.zones.get(zone, "")
        if zone == self._settings.zone:
            return {}
        cores = [n for n in self._node_registry.here() if n.kind == "core" and n.ctl]
        near = [n for n in cores if n.zone == zone]
        if not near and region != self._settings.region:
            near = [n for n in cores if n.region == region]
        return {"beatUrl": f"http://{near[0].ctl}"} if near else {}

    def read(self, id: str, body: bytes, now: float) -> Endpoint | None:
        """None: not a beat that is sound; the leader says what is wrong."""
        try:
            return read_heartbeat(id, json.loads(body), now)
        except ValueError:
            return None

    def plain(self, id: str, body: bytes, now: float) -> bool:
        """A beat that says what is known already: the leader hears of it with others."""
        known = self._endpoint_registry.servers.get(id)
        if known is None or known.state != "ready":
            return False
        seen = self.read(id, body, now)
        if seen is None or not known.plain(seen):
            return False
        self._beats[id] = max((seen.seq, now), self._beats.get(id, (0, now)))
        return True

    def report(self, now: float) -> pb.HeartbeatReport:
        """What is to be told to the leader."""
        self._beats = {
            id: beat for id, beat in self._beats.items() if id in self._endpoint_registry.servers
        }
        ages = [round((now - came) * 1000) for _, came in self._beats.values()]
        return pb.HeartbeatReport(
            id=list(self._beats), seq=[seq for seq, _ in self._beats.values()], age_ms=ages
        )

    def told(self, beats: pb.HeartbeatReport) -> None:
        """A leader has answered that it has heard this."""
        for id, seq in zip(beats.id, beats.seq, strict=True):
            if id in self._beats and self._beats[id][0] <= seq:
                del self._beats[id]
