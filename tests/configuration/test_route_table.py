"""The route table when keys and prefixes move between items within one delta."""

from __future__ import annotations

from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.route_table import RouteTable
from cairndale.configuration.state import State
from tests.control.test_state_models import content, route


def test_a_key_and_a_prefix_may_move_to_an_item_that_is_changed_before_their_owner() -> None:
    """Changes are applied in the order of names: `t1` and `r1` get the key and the prefix that `t2`
    and `r2` still have."""
    routes = [route(f"r{n}", pathPrefix=f"/p{n}/") for n in range(60)]
    tenants = [{"name": f"t{n}", "apiKeys": [f"k{n}"]} for n in range(60)]
    state = State()
    first = content(gen=1, routes=routes, tenants=tenants)
    assert state.apply(Command(Verb.REPLACE, "first", first))
    while not state.history.digest_next_items(state.content):
        pass
    table = RouteTable(state.content)
    upsert = {
        "routes": [route("r1", pathPrefix="/p2/"), route("r2", pathPrefix="/p1/")],
        "tenants": [{"name": "t1", "apiKeys": ["k2"]}, {"name": "t2", "apiKeys": ["k1"]}],
    }
    assert state.apply(Command(Verb.UPDATE, "u", {"gen": 2, "parent": 1, "upsert": upsert}))
    delta = state.history.delta_since(1)
    assert delta is not None
    change = table.apply_delta(delta)
    assert [changed.name for changed in change.routes] == ["r1", "r2"]
    assert [changed.name for changed in change.tenants] == ["t1", "t2"]
    renewed = RouteTable(state.content)
    assert table.tenants_by_key == renewed.tenants_by_key
    assert table.routes_by_host == renewed.routes_by_host
    assert table.digest == renewed.digest
