"""Look-ups for routes with home regions, while all ingresses of the clients' region drain.

Guards against this failure: in a rolling restart, 32 of 492 requests of routes with home regions
went to ingresses of a region that was neither a home region nor the clients' own, because look-ups
returned these ingresses.

The ingresses of a region get SIGTERM one after the other, 1.6 s apart. Each drains for up to 5.1 s
and accepts connections meanwhile. From the third SIGTERM on, no ingress of the region is ready;
66 ms later the first request was sent to another region.

Cause: the routes of one host had home regions with none in common. The look-up used the
intersection of these sets and took the empty set for "no route has home regions". So it restricted
nothing and sent clients to every ready ingress, in preference to the draining ones of their region.

Evidence: event 505. In each of 188 such restarts, clients of a host whose only home regions are
sfax and tunis were sent to sfax; once look-ups took home regions for absent, to sousse as well.
"""

from __future__ import annotations

import json
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cairndale.configuration.hosts import normalize_host
from cairndale.configuration.route_table import RouteTable
from cairndale.lookup.homes import ContentRoutes, HostHomes
from cairndale.lookup.selection import LookupResponder
from cairndale.rpc import protocol_pb2 as pb
from tests.control.test_state_models import content, route
from tests.testing.nodes import prepared_ingress

ZONES = {"t1": "t", "t2": "t", "f1": "f", "s1": "s"}
REGIONS = {"t", "f", "s"}


def ingresses(draining: set[str]) -> list[pb.Node]:
    """One prepared ingress per zone; those of the zones in `draining` have received SIGTERM."""
    return [
        prepared_ingress(region, zone=zone, draining=zone in draining)
        for zone, region in ZONES.items()
    ]


def selected_zones(
    routes: list[dict[str, Any]], draining: set[str], region: str = "t", host: str = "a.example"
) -> set[str]:
    """Zones of the ingresses that a client of a region is sent to."""
    configuration = content(routes=routes)
    table = RouteTable(configuration)
    normal = normalize_host(host.encode())
    assert HostHomes.of(ContentRoutes(configuration), normal) == HostHomes.of(table, normal)
    target = f"/-/lookup?name={host}&region={region}&zone={region}1"
    status, body = LookupResponder("own").answer(
        target, ingresses(draining), 5.0, table, version=None
    )
    return {a.partition(":")[0] for a in json.loads(body)["addrs"]} if status == 200 else set()


def test_disjoint_home_regions_keep_clients_in_their_own_region_while_it_drains() -> None:
    routes = [
        route(homeRegions=["t", "f"]),
        route("r2", homeRegions=["s"]),
        route("r3"),
    ]
    assert selected_zones(routes, draining={"t1"}) == {"t2"}
    assert selected_zones(routes, draining={"t1", "t2"}) == {"t1", "t2"}


def test_home_regions_of_a_host_are_found_with_a_port_and_in_any_case() -> None:
    routes = [route(homeRegions=["t", "f"])]
    for host in ("a.example", "a.example:8080", "A.Example", "a.example.", "A.Example.:08080"):
        assert selected_zones(routes, draining={"t1", "t2"}, host=host) == {"f1"}


def test_home_regions_of_a_host_with_a_port_are_those_of_this_port() -> None:
    routes = [
        route(homeRegions=["t", "f"]),
        route("ported", host="a.example:8080", pathPrefix="/r1/", homeRegions=["s"]),
    ]
    for host, zone in (("a.example:8080", "s1"), ("a.example:1", "f1")):
        assert selected_zones(routes, draining={"t1", "t2"}, host=host) == {zone}


def test_without_a_region_for_all_routes_the_one_for_most_routes_is_selected() -> None:
    routes = [
        route(homeRegions=["f"]),
        route("r2", homeRegions=["s", "f"]),
        route("r3", homeRegions=["s"]),
        route("r4", homeRegions=["f"]),
    ]
    assert selected_zones(routes, draining=set(), region="elsewhere") == {"f1"}


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.sets(st.sampled_from(sorted(REGIONS))), min_size=1, max_size=4),
    st.sets(st.sampled_from(sorted(ZONES))),
    st.sampled_from(sorted(REGIONS)),
)
def test_no_client_is_sent_to_a_region_that_excludes_more_routes_than_another(
    homes: list[set[str]], draining: set[str], region: str
) -> None:
    """Compares with a simple model. All ingresses serve, so no request has to leave the home
    regions of its route."""
    routes = [route(f"r{i}", homeRegions=sorted(h)) for i, h in enumerate(homes)]
    excluded_routes = {r: sum(bool(h) and r not in h for h in homes) for r in REGIONS} | {region: 0}
    best = {zone for zone, zone_region in ZONES.items() if excluded_routes[zone_region] == 0}
    selected = selected_zones(routes, draining, region)
    assert selected and selected <= best
    assert not selected & draining or best <= draining
