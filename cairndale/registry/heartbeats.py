"""Heartbeats received by a follower that report no change, collected for the leader.

Most heartbeats report no change. A follower in contact with the leader responds to them itself and
reports them in batches, which keeps the leader's load independent of the number of servers.
"""

from __future__ import annotations

from dataclasses import dataclass

from cairndale.json_text import decode_json
from cairndale.registry.endpoints import Endpoint, EndpointRegistry, read_heartbeat
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.integer_ranges import MAX_UINT32, MAX_UINT64
from cairndale.settings import Settings


@dataclass(frozen=True, slots=True, order=True)
class _CollectedHeartbeat:
    seq: int
    received_at: float


class HeartbeatCollector:
    """Collects heartbeats without changes until a leader has acknowledged them.

    A leader change loses none of them: the report is repeated to the next leader.
    Times are seconds on this process's clock.
    """

    def __init__(
        self, settings: Settings, endpoint_registry: EndpointRegistry, node_registry: NodeRegistry
    ) -> None:
        self._settings = settings
        self._endpoint_registry = endpoint_registry
        self._node_registry = node_registry
        self._unacknowledged: dict[str, _CollectedHeartbeat] = {}  # by endpoint id

    def heartbeat_redirect(self, body: bytes) -> dict[str, str]:
        """The response field that redirects a server's later heartbeats to a closer control node.

        Heartbeats are most of the traffic between zones. Empty if the server is in this zone, or
        no closer node is in contact with the leader.
        """
        zone = decode_json(body)["details"]["zone"]
        region = self._settings.zones.get(zone, "")
        if zone == self._settings.zone:
            return {}
        listed = self._node_registry.listed_nodes()
        control_nodes = [n for n in listed if n.kind == "core" and n.control_address]
        closer = [n for n in control_nodes if n.zone == zone]
        if not closer and region != self._settings.region:
            closer = [n for n in control_nodes if n.region == region]
        return {"beatUrl": f"http://{closer[0].control_address}"} if closer else {}

    def parse(self, id: str, body: bytes, now: float) -> Endpoint | None:
        """The endpoint that a heartbeat describes; None if it is not valid.

        The leader reports the errors of an invalid one to its sender.
        """
        try:
            return read_heartbeat(id, decode_json(body), now)
        except ValueError:
            return None

    def collect(self, id: str, body: bytes, now: float) -> bool:
        """Collect a heartbeat that reports no change; False if the leader has to receive it."""
        known = self._endpoint_registry.endpoints.get(id)
        if known is None or known.state != "ready":
            return False
        heartbeat = self.parse(id, body, now)
        if heartbeat is None or not known.is_refreshed_by(heartbeat):
            return False
        if heartbeat.seq > MAX_UINT64:
            return False
        collected = _CollectedHeartbeat(heartbeat.seq, now)
        before = self._unacknowledged.get(id, _CollectedHeartbeat(0, now))
        self._unacknowledged[id] = max(collected, before)
        return True

    def report(self, now: float) -> pb.HeartbeatReport:
        """All heartbeats that no leader has acknowledged yet, with their ages in ms."""
        known = self._endpoint_registry.endpoints
        self._unacknowledged = {i: h for i, h in self._unacknowledged.items() if i in known}
        collected = self._unacknowledged.values()
        return pb.HeartbeatReport(
            ids=list(self._unacknowledged),
            seqs=[h.seq for h in collected],
            ages_ms=[min(MAX_UINT32, round((now - h.received_at) * 1000)) for h in collected],
        )

    def acknowledge(self, report: pb.HeartbeatReport) -> None:
        """Drop heartbeats that a leader has acknowledged, but not those received since."""
        for id, seq in zip(report.ids, report.seqs, strict=True):
            if id in self._unacknowledged and self._unacknowledged[id].seq <= seq:
                del self._unacknowledged[id]
