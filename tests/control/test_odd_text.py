"""Text in JSON that no message can carry, JSON that is nested too deeply, and wide ports."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from cairndale.registry.endpoints import HeartbeatError, read_heartbeat
from tests.control.test_state_models import content, heartbeat, route
from tests.testing.control_cluster import (
    ControlCluster,
    configuration,
    run_in_virtual_time,
)

HALF = "x\ud800y"  # half of a surrogate pair, which JSON may escape and UTF-8 does not have
DEEP = "[" * 990 + "]" * 990  # json.loads decodes it at one depth of calls, not at another


def nested(levels: int) -> Any:
    value: Any = 1
    for _ in range(levels):
        value = [value]
    return value


pytestmark = pytest.mark.usefixtures("memory_cluster")


UNREADABLE = {
    "host": (content(routes=[route(host=HALF)]), "routes[0].host: "),
    "prefix": (content(routes=[route(pathPrefix=f"/{HALF}/")]), "routes[0].pathPrefix: "),
    "region": (content(routes=[route(homeRegions=["r", HALF])]), "routes[0].homeRegions[1]: "),
    "key": (content(tenants=[{"name": "t", "apiKeys": [HALF]}]), "tenants[0].apiKeys[0]: "),
    "other field": (content(note={"a": [HALF]}), "note.a[0]: "),
    "name of a field": (content(**{HALF: 1}), "'x\\ud800y': "),
    "nesting": (content(note=nested(501)), "nested more deeply than "),
    "control character": (
        content(tenants=[{"name": "a\r\nX-Tenant: b", "apiKeys": ["k"]}]),
        "tenants[0].name: ",
    ),
}


async def send_unreadable(body: bytes, message: str, violations: list[str]) -> None:
    """An unreadable configuration is refused in time, and a sound one after it is taken."""
    cluster = ControlCluster(Path("text"))
    await cluster.start_all()
    for host in cluster.hosts:
        async with asyncio.timeout(1.0):
            status, answer = await cluster.call(host, "POST", "Config.Replace", body)
        if status != 400 or not any(e.startswith(message) for e in answer["errors"]):
            violations.append(f"{status} {answer}")
    status, _ = await cluster.call(
        cluster.hosts[0], "POST", "Config.Replace", configuration(8, 0, note=nested(400))
    )
    if status != 200:
        violations.append(f"a sound configuration: {status}")


# Guards against a configuration that is acknowledged and that no ingress can apply, so that none is
# ready again after a restart.
@pytest.mark.parametrize("what", UNREADABLE)
def test_a_configuration_that_cannot_be_read_whole_is_refused(what: str) -> None:
    raw, message = UNREADABLE[what]
    violations = list[str]()
    run_in_virtual_time(send_unreadable(json.dumps(raw).encode(), message, violations))
    assert not violations


# Guards against a call that is answered 500 for as long as it is repeated.
@pytest.mark.parametrize("note", [DEEP, "[" * 100_000])
def test_a_configuration_that_is_nested_too_deeply_is_refused(note: str) -> None:
    body = b'{"gen": 7, "parent": 0, "note": ' + note.encode() + b"}"
    violations = list[str]()
    run_in_virtual_time(send_unreadable(body, "", violations))
    assert not violations


# Guards against an endpoint that no message can carry: no node would learn of any change.
@pytest.mark.parametrize("field", ["backend", "zone", "gen"])
def test_a_heartbeat_with_half_a_surrogate_pair_is_refused(field: str) -> None:
    raw = heartbeat(1)
    raw["details"][field] = HALF
    with pytest.raises(HeartbeatError, match=f"details.{field}: "):
        read_heartbeat("i", raw, 0.0)


# Guards against servers that are acknowledged and that no ingress can connect to.
@pytest.mark.parametrize("port", ["99999", "9" * 30, "\u00b2", "-1", "1.5", ""])
def test_a_heartbeat_with_a_port_out_of_range_is_refused(port: str) -> None:
    with pytest.raises(HeartbeatError, match=r"^addr: "):
        read_heartbeat("i", heartbeat(1) | {"addr": f"10.1.0.9:{port}"}, 0.0)
    assert read_heartbeat("i", heartbeat(1) | {"addr": "10.1.0.9:65535"}, 0.0).addr


async def send_deep_heartbeat(statuses: list[int]) -> None:
    cluster = ControlCluster(Path("deep"))
    await cluster.start_all()
    for host in cluster.hosts:
        body = b'{"addr": ' + b"[" * 100_000
        statuses.append((await cluster.call(host, "POST", "Instances.Heartbeat/s9", body))[0])


def test_a_heartbeat_that_is_nested_too_deeply_is_refused() -> None:
    statuses = list[int]()
    run_in_virtual_time(send_deep_heartbeat(statuses))
    assert set(statuses) == {400}
