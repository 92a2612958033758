"""Hosts of routes, requests and look-ups have one normal form."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.hosts import NormalHost, normalize_host
from cairndale.configuration.route_table import RouteTable
from cairndale.configuration.state import State
from cairndale.configuration.validation import content_errors
from cairndale.lookup.homes import ContentRoutes
from tests.control.test_state_models import content, route

# Texts of one host, in its normal form first.
SAME_HOST = {
    "a.example": ["A.Example", "a.example.", "a.example:", "A.EXAMPLE.:"],
    "a.example:8206": ["a.example:08206", "A.example.:8206"],
    "[2001:db8::1]": ["[2001:DB8:0:0::1]", "[2001:0db8::1]:"],
    "[2001:db8::1]:80": ["[2001:DB8::1]:080"],
    "127.0.0.1:80": ["127.0.0.1:0080"],
    "grüße.example": ["GRÜSSE.example".replace("SS", "ß"), "grüße.example."],
}
TEXTS = [text for normal, others in SAME_HOST.items() for text in (normal, *others)]
NORMAL_FORM = {text: normal for normal, others in SAME_HOST.items() for text in (normal, *others)}


@pytest.mark.parametrize("text", TEXTS)
def test_texts_of_one_host_have_one_normal_form(text: str) -> None:
    assert str(normalize_host(text.encode())) == NORMAL_FORM[text]
    others = [t for t in TEXTS if NORMAL_FORM[t] != NORMAL_FORM[text]]
    assert not any(normalize_host(t.encode()) == normalize_host(text.encode()) for t in others)


@pytest.mark.parametrize("host", [b"", b":", b":80", b"[", b"[]", b"a:b", b"a:99999", b"\xff:1"])
def test_any_bytes_have_a_normal_form(host: bytes) -> None:
    assert isinstance(normalize_host(host), NormalHost)
    assert normalize_host(b"a:" + b"9" * 5000).port == b"9" * 5000


# Guards against two routes that requests cannot tell apart, one of which would never be found.
@pytest.mark.parametrize("text", TEXTS)
def test_routes_with_texts_of_one_host_are_refused(text: str) -> None:
    normal = NORMAL_FORM[text]
    both = content(routes=[route(host=normal), route("r2", host=text, pathPrefix="/r1/")])
    assert content_errors(both) == [
        "routes[1]: this host and prefix is also used in routes[0]",
    ]
    assert not content_errors(content(routes=[route(host=text)]))


UNNAMEABLE = {
    ":80": "has no name",
    ".": "has no name",
    "::1": "is an IPv6 address without brackets",
    "2001:db8::1": "is an IPv6 address without brackets",
    "a.example:0": "has a port that is not from 1 to 65535",
    "a.example:65536": "has a port that is not from 1 to 65535",
    "a.example:" + "9" * 5000: "has a port that is not from 1 to 65535",
}


# Guards against routes that are acknowledged and never found.
def test_hosts_that_no_request_can_name_are_refused_all_at_once() -> None:
    routes = [route(f"r{number}", host=host) for number, host in enumerate(UNNAMEABLE)]
    assert content_errors(content(routes=routes)) == [
        f"routes[{number}].host: {host!r} {reason}"
        for number, (host, reason) in enumerate(UNNAMEABLE.items())
    ]


def update(upsert: dict[str, Any]) -> Command:
    return Command(Verb.UPDATE, "u", {"gen": 8, "parent": 7, "upsert": upsert})


def errors_of_update(state: State, upsert: dict[str, Any]) -> list[str]:
    steps = state.resulting_content_steps(update(upsert))
    try:
        while True:
            next(steps)
    except StopIteration as stop:
        return content_errors(stop.value, state.content)


# Guards against a configuration of 23c1936 that no Update can change any longer.
def test_routes_of_an_earlier_version_do_not_stop_unrelated_updates() -> None:
    odd = [
        route(host="a.example"),
        route("r2", host="a.example.", pathPrefix="/r1/"),
        route("r3", host="::1"),
    ]
    state = State()
    assert state.apply(Command(Verb.REPLACE, "old", content(routes=odd)))
    state = State.decode(state.encode())
    assert len(content_errors(state.content)) == 2
    assert not errors_of_update(state, {"routes": [route("r4")]})
    assert errors_of_update(state, {"routes": [route("r4", host="a.example:", pathPrefix="/r1/")]})
    assert errors_of_update(state, {"routes": [route("r3", host="::1", prio=1)]})
    for routes in (odd, odd[::-1]):
        table = RouteTable(content(routes=routes))
        for host in (b"a.example", b"a.example."):
            found = table.find_route(host, b"/r1/x")
            assert found and found.name == "r1"


PORTED = content(
    routes=[
        route("plain", pathPrefix="/p/"),
        route("plain-long", pathPrefix="/p/long/"),
        route("ported", host="a.example:8206", pathPrefix="/p/", homeRegions=["s"]),
        route("root", host="b.example:1", pathPrefix="/"),
    ]
)


# Guards against review/6: the route of a host with a port was never found.
@pytest.mark.parametrize(
    ("host", "target", "found"),
    [
        (b"a.example", b"/p/x", "plain"),
        (b"a.example:80", b"/p/x", "plain"),
        (b"A.example.:08206", b"/p/x?q=/", "ported"),
        (b"a.example:8206", b"/p/long/x", "ported"),  # the host's own routes go first
        (b"a.example:8207", b"/p/long/x", "plain-long"),
        (b"a.example:8206", b"/other/", None),
        (b"b.example", b"/p/x", None),
        (b"b.example:2", b"/p/x", None),
        (b"b.example:1", b"/p/x", "root"),
        (b"", b"/p/x", None),
    ],
)
def test_routes_with_a_port_serve_this_port_only(
    host: bytes, target: bytes, found: str | None
) -> None:
    route_found = RouteTable(PORTED).find_route(host, target)
    assert (route_found.name if route_found else None) == found


@pytest.mark.parametrize(
    ("host", "names"),
    [
        ("a.example", {"plain", "plain-long", "ported"}),
        ("A.example.:8206", {"ported", "plain-long"}),
        ("a.example:1", {"plain", "plain-long"}),
        ("b.example", {"root"}),
        ("c.example", set()),
    ],
)
def test_look_ups_use_the_routes_that_the_clients_may_use(host: str, names: set[str]) -> None:
    normal = normalize_host(host.encode())
    table, at_control_node = RouteTable(PORTED), ContentRoutes(PORTED)
    assert {found.name for found in table.routes_of_host(normal)} == names
    homes = sorted(map(sorted, (found.home_regions for found in table.routes_of_host(normal))))
    found = at_control_node.routes_of_host(normal)
    assert sorted(map(sorted, (one.home_regions for one in found))) == homes


routes_by_name = st.dictionaries(
    st.sampled_from(["r1", "r2", "r3", "r4"]),
    st.tuples(st.sampled_from(TEXTS), st.sampled_from(["/", "/p/"])),
    max_size=4,
)


# Guards against routes that depend on the way by which an ingress got its configuration: earlier
# leaders accept several texts of one host, and deltas move routes one after the other.
@settings(max_examples=60, deadline=None)
@given(st.lists(routes_by_name, min_size=2, max_size=4))
def test_a_table_after_deltas_equals_one_made_anew(
    generations: list[dict[str, tuple[str, str]]],
) -> None:
    fixed = [route(f"fixed{number}", host="fixed.example") for number in range(60)]
    state, table = State(), RouteTable({})
    for gen, drawn in enumerate(generations, 1):
        routes = [route(n, host=host, pathPrefix=prefix) for n, (host, prefix) in drawn.items()]
        body = content(gen=gen, parent=gen - 1, routes=fixed + routes)
        assert state.apply(Command(Verb.REPLACE, f"c{gen}", body))
        while not state.history.digest_next_items(state.content):
            pass
        renewed = RouteTable(state.content)
        if gen == 1:
            table = renewed
        else:
            delta = state.history.delta_since(gen - 1)
            assert delta is not None
            table.apply_delta(delta)
        assert table.routes_by_host == renewed.routes_by_host
