"""States of commit 23c1936 load, are served safely, and can be changed.

The files in `23c1936` were written by that commit's own code (`generate_23c1936.py`).
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.route_table import RouteTable
from cairndale.configuration.state import State
from cairndale.configuration.stepwise import run_to_completion
from cairndale.configuration.validation import content_errors

GOLDEN = Path(__file__).parent / "23c1936"


def stored(name: str) -> State:
    data = (GOLDEN / f"{name}.state").read_bytes()
    state = State.decode(data)
    assert state.encode() == data
    return state


def errors_of_update(state: State, **tables: Any) -> list[str]:
    body = {"gen": state.gen + 1, "parent": state.gen, "upsert": tables}
    steps = state.resulting_content_steps(Command(Verb.UPDATE, "u", body))
    return content_errors(run_to_completion(steps), state.content)


# Guards against a state of 23c1936 that ends service, or that no change can mend.
def test_hosts_and_names_that_23c1936_accepted() -> None:
    state = stored("odd")
    assert len(content_errors(state.content)) == 4
    table = RouteTable(state.content)
    for host, name in (
        (b"a.example", "plain"),
        (b"a.example.", "plain"),
        (b"a.example:80", "plain"),
        (b"a.example:8206", "port"),
    ):
        found = table.find_route(host, b"/p/x")
        assert found and found.name == name
    assert [t.field_value for t in table.tenants.values()] == [b"t", None]
    added = state.content["routes"][1] | {"name": "more", "host": "b.example"}
    assert not errors_of_update(state, routes=[added])
    assert errors_of_update(state, routes=[added | {"host": "a.example:"}])


# Guards against review/4 after an upgrade: 23c1936 had emptied the list of tenants.
def test_keys_that_23c1936_removed() -> None:
    table = RouteTable(stored("emptied").content)
    for key in (b"k", b"k2", b"never"):
        assert table.find_tenant(b"Token " + key) is None
        assert not table.admits_without_tenant(b"Token " + key)
