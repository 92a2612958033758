"""Reports of clients that are sent out of their region."""

from __future__ import annotations

from cairndale.configuration.route_table import RouteTable
from cairndale.lookup.ingresses import IngressGroup, Phase
from cairndale.lookup.redirects import MAX_REDIRECTS, Redirect, RedirectReporter
from cairndale.lookup.selection import LookupResponder
from cairndale.rpc import protocol_pb2 as pb
from tests.control.test_state_models import content, route
from tests.testing.nodes import prepared_ingress


def test_a_redirect_is_reported_when_it_begins_and_ends_with_what_it_rested_on() -> None:
    reported: list[Redirect] = []
    reporter = RedirectReporter(reported.append)
    table = RouteTable(
        content(routes=[route(homeRegions=["q", "p"]), route("r2", homeRegions=["q"])])
    )

    def ask(nodes: list[pb.Node], query: str = "name=a.example&region=p") -> None:
        LookupResponder("own", reporter).answer(
            f"/-/lookup?{query}", nodes, 5.0, table, version=None
        )

    ask([prepared_ingress("p"), prepared_ingress("q")])
    assert reported == []
    for _ in range(2):
        ask([prepared_ingress("p", draining=True), prepared_ingress("q")])
    assert [str(r) for r in reported] == [
        "clients of p for a.example are sent to q; homes p/q and q, gen 7, ready {'q': 1},"
        " draining {'p': 1}"
    ]
    ask([prepared_ingress("p", draining=True), prepared_ingress("q")], "name=b.example&region=p")
    ask([prepared_ingress("p"), prepared_ingress("q")])
    assert [(r.host, r.homes, r.targets) for r in reported[1:]] == [
        ("b.example", "unknown (no route of the host)", {"q"}),
        ("a.example", "p/q and q", {"p"}),
    ]


def test_no_more_redirects_are_remembered_and_reported_than_there_is_room_for() -> None:
    reported: list[Redirect] = []
    reporter = RedirectReporter(reported.append)

    def send(host: int, region: str) -> None:
        reporter.record(
            region="p",
            host=f"{host}.example",
            generation=1,
            homes="none",
            selected=[IngressGroup(region, "z", Phase.READY)],
            ingresses=[],
        )

    for host in range(MAX_REDIRECTS + 1):
        send(host, "q")
    assert len(reported) == MAX_REDIRECTS
    send(0, "p")
    send(MAX_REDIRECTS, "q")  # there is room again
    assert len(reported) == MAX_REDIRECTS + 2
