"""Which ingresses a client is sent to: those ready in its region, else all that are, else those about to
stop."""

from __future__ import annotations

from urllib.parse import parse_qs

from playhouse.stagedoor.doors import Answer, told, wrong
from playhouse.wings import cues_pb2 as pb

MOST = 64
TTL = 1.5  # s at the most: how long one that has left is still called


def lookup(target: str, nodes: list[pb.Node], ttl_max: float) -> Answer:
    query = parse_qs(target.partition("?")[2], max_num_fields=20)
    region, zone = (query.get(name, [""])[0] for name in ("region", "zone"))
    edges = [n for n in nodes if n.kind == "edge" and n.http]
    fit = [n for n in edges if n.ready and not n.leaving] or [n for n in edges if n.leaving]
    near = [n for n in fit if n.region == region] or [n for n in fit if n.zone == zone] or fit
    if not near:
        return wrong(503, "no ingress is ready")
    ttl = int(min(TTL, ttl_max) * 1000)
    return told(200, {"addrs": sorted({n.http for n in near})[:MOST], "ttl": f"{ttl}ms"})
