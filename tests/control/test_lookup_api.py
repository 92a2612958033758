"""Lookups at a control node that serves `dir`: they use home regions as a data-plane node does."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import Mock

from cairndale.configuration.state import State
from cairndale.control.api import ControlApi
from tests.control.test_state_models import content, route
from tests.testing.nodes import prepared_ingress


async def test_a_control_node_sends_clients_to_the_home_regions_of_the_current_configuration() -> (
    None
):
    """Without home regions, clients of a draining region were sent to every ready ingress."""
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

    async def looked_up() -> list[str]:
        status, body = await api.lookup_api("GET", "/-/lookup?name=a.example&region=t", b"")
        assert status == 200
        return cast("list[str]", json.loads(body)["addrs"])

    assert await looked_up() == ["f:80"]
    # The cached routes are replaced when the configuration changes.
    process.state = State(content=content(gen=8, routes=[route(homeRegions=["s"])]))
    assert await looked_up() == ["s:80"]
