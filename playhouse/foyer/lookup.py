"""Which ingresses a client is sent to: those ready in its region, else all that are, else those about to
stop. Where routes of the host have homes, another region comes in only if it is a home, as long as one there
or in the client's region serves: bodies must not go elsewhere because a list said so."""

from __future__ import annotations

from urllib.parse import parse_qs

from playhouse.script.playbill import Playbill
from playhouse.stagedoor.doors import Answer, told, wrong
from playhouse.wings import cues_pb2 as pb

MOST = 64
TTL = 1.5  # s at the most: how long one that has left is still called


def homes_of(bill: Playbill | None, host: str) -> frozenset[str]:
    """Regions in which all routes of the host that have homes have one; empty: nothing binds them."""
    routes = bill.hosts.get(host.lower().encode(), {}).values() if bill else ()
    homes = [route.homes for route in routes if route.homes]
    return frozenset.intersection(*homes) if homes else frozenset()


def lookup(target: str, nodes: list[pb.Node], ttl_max: float, bill: Playbill | None = None) -> Answer:
    """`ttl_max` in s; `bill`: the configuration, where it is known."""
    query = parse_qs(target.partition("?")[2], max_num_fields=20)
    region, zone, name = (query.get(field, [""])[0] for field in ("region", "zone", "name"))
    edges, homes = [n for n in nodes if n.kind == "edge" and n.http], homes_of(bill, name)
    ready, leaving = [n for n in edges if n.ready and not n.leaving], [n for n in edges if n.leaving]
    near = [n for n in ready if n.region == region] or [n for n in ready if n.zone == zone]
    near = near or [n for n in ready if n.region in homes]
    near = near or [n for n in leaving if homes and n.region in homes | {region}]
    if not near:
        fit = ready or leaving
        near = [n for n in fit if n.region == region] or [n for n in fit if n.zone == zone] or fit
    if not near:
        return wrong(503, "no ingress is ready")
    ttl = int(min(TTL, ttl_max) * 1000)
    return told(200, {"addrs": sorted({n.http for n in near})[:MOST], "ttl": f"{ttl}ms"})
