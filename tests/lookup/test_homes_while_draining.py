"""Clients of routes with homes, while all ingresses of their region are stopped in order.

Symptom: in a rolling restart, requests of routes with home regions were sent to ingresses of a
region that was neither a home nor the clients' own, because look-ups named them: 32 of 492.

Sequence: the ingresses of a region get SIGTERM one after the other, 1.6 s apart. They drain for up
to 5.1 s each, in which they take connections. From the third SIGTERM on, none of the region is
ready, and 66 ms later the first request leaves.

Cause (suspected): routes of one host had homes that share no region. The look-up took the empty
intersection for "no route has homes", restricted nothing, and sent clients to every ready ingress.

What settles it: event 505, which says by which homes clients are sent out of their region.
"""

from __future__ import annotations

import json
from typing import Any

from cairndale.configuration.route_table import RouteTable
from cairndale.lookup.selection import lookup
from cairndale.rpc import protocol_pb2 as pb
from tests.control.test_state_models import content, route

ZONES = {"t1": "t", "t2": "t", "f1": "f", "s1": "s"}
REGIONS = {"t", "f", "s"}


def ingresses(draining: set[str]) -> list[pb.Node]:
    """One ingress a zone, all prepared; those in `draining` have got SIGTERM."""
    return [
        pb.Node(
            name=zone,
            http_address=f"{zone}:80",
            zone=zone,
            region=region,
            kind="edge",
            ready=True,
            draining=zone in draining,
        )
        for zone, region in ZONES.items()
    ]


def named(routes: list[dict[str, Any]], draining: set[str], region: str = "t") -> set[str]:
    """Zones of the ingresses that a client of a region is sent to."""
    table = RouteTable(content(routes=routes))
    target = f"/-/lookup?name=a.example&region={region}&zone={region}1"
    status, body = lookup(target, ingresses(draining), 5.0, table)
    return {a.partition(":")[0] for a in json.loads(body)["addrs"]} if status == 200 else set()


def test_homes_that_share_no_region_keep_clients_in_their_own_while_it_drains() -> None:
    routes = [
        route(homeRegions=["t", "f"]),
        route("r2", homeRegions=["s"]),
        route("r3"),
    ]
    assert named(routes, draining={"t1"}) == {"t2"}
    assert named(routes, draining={"t1", "t2"}) == {"t1", "t2"}
