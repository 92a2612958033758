"""Reports of clients that are sent to ingresses of other regions."""

from __future__ import annotations

from cairndale.configuration.route_table import RouteTable
from cairndale.lookup.ingresses import IngressGroup, Phase
from cairndale.lookup.redirects import MAX_REDIRECTS, Redirect, RedirectReporter
from cairndale.lookup.selection import LookupResponder
from cairndale.rpc import protocol_pb2 as pb
from tests.control.test_state_models import content, route
from tests.testing.nodes import prepared_ingress


def test_a_redirect_is_reported_with_its_inputs_when_it_begins_and_ends() -> None:
    reported: list[Redirect] = []
    reporter = RedirectReporter(reported.append)
    table = RouteTable(
        content(routes=[route(homeRegions=["q", "p"]), route("r2", homeRegions=["q"])])
    )

    def look_up(nodes: list[pb.Node], query: str = "name=a.example&region=p") -> None:
        LookupResponder("own", reporter).answer(
            f"/-/lookup?{query}", nodes, 5.0, table, version=None
        )

    look_up([prepared_ingress("p"), prepared_ingress("q")])
    assert reported == []
    for _ in range(2):
        look_up([prepared_ingress("p", draining=True), prepared_ingress("q")])
    assert [str(r) for r in reported] == [
        "clients of p for a.example are sent to q; homes p/q and q, gen 7, ready {'q': 1},"
        " draining {'p': 1}"
    ]
    look_up(
        [prepared_ingress("p", draining=True), prepared_ingress("q")], "name=b.example&region=p"
    )
    look_up([prepared_ingress("p"), prepared_ingress("q")])
    assert [(r.host, r.homes, r.targets) for r in reported[1:]] == [
        ("b.example", "unknown (no route of the host)", {"q"}),
        ("a.example", "p/q and q", {"p"}),
    ]


def test_tracked_and_reported_redirects_are_limited_to_the_maximum() -> None:
    reported: list[Redirect] = []
    reporter = RedirectReporter(reported.append)

    def record_redirect(host: int, region: str) -> None:
        reporter.record(
            region="p",
            host=f"{host}.example",
            generation=1,
            homes="none",
            selected=[IngressGroup(region, "z", Phase.READY)],
            ingresses=[],
        )

    for host in range(MAX_REDIRECTS + 1):
        record_redirect(host, "q")
    assert len(reported) == MAX_REDIRECTS
    record_redirect(0, "p")
    record_redirect(MAX_REDIRECTS, "q")  # below the maximum again
    assert len(reported) == MAX_REDIRECTS + 2
