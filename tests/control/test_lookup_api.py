"""Look-ups at a control node that serves `dir`: by the same homes as at a data-plane node."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import Mock

from cairndale.configuration.state import State
from cairndale.control.api import ControlApi
from tests.control.test_state_models import content, route
from tests.testing.nodes import prepared_ingress


async def test_a_control_node_keeps_clients_in_homes_by_the_configuration_in_force() -> None:
    """It sent clients of a region that drained to every ready ingress: it asked for no homes."""
    nodes = [prepared_ingress(r, draining=r == "t") for r in ("t", "f", "s")]
    process = SimpleNamespace(
        state=State(content=content(routes=[route(homeRegions=["t", "f"])])),
        leadership=object(),
        leads=lambda: True,
        now=lambda: 0.0,
        node_registry=Mock(listed_nodes=lambda: nodes),
        settings=Mock(bounds=Mock(ttl_max=5.0)),
    )
    api = ControlApi(cast(Any, process), Mock(), Mock())

    async def named() -> list[str]:
        status, body = await api.lookup_api("GET", "/-/lookup?name=a.example&region=t", b"")
        assert status == 200
        return cast("list[str]", json.loads(body)["addrs"])

    assert await named() == ["f:80"]
    # A version of its own for each change: the next one has other homes.
    process.state = State(content=content(gen=8, routes=[route(homeRegions=["s"])]))
    assert await named() == ["s:80"]
