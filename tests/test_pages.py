"""The pages say what the code does: each event once, none missing."""

from __future__ import annotations

import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from cairndale.events import Event

ROOT = Path(__file__).parent.parent


def test_every_event_is_in_the_catalogue_once_and_used() -> None:
    rows = re.findall(r"^\| (\d+) \| (\w+) \|", (ROOT / "docs/events.md").read_text(), re.M)
    assert rows == [(str(event.value), event.name.lower()) for event in Event]
    sources = "".join(
        p.read_text() for p in (ROOT / "cairndale").rglob("*.py") if p.name != "events.py"
    )
    assert [event.name for event in Event if f"Event.{event.name}" not in sources] == []


def test_the_deploy_file_names_a_program_that_is_here() -> None:
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    assert {role["run"] for role in deploy["roles"].values()} == {"python3 -m cairndale"}
    assert sorted(s for role in deploy["roles"].values() for s in role["serves"]) == [
        "ctl",
        "dir",
        "edge",
    ]
    assert (ROOT / "cairndale/__main__.py").exists() and "requirements-system.txt" in deploy[
        "build"
    ]


def test_inner_packages_never_import_outer_ones() -> None:
    inner = [
        "errors",
        "settings",
        "events",
        "rpc",
        "raft",
        "configuration",
        "registry",
        "quota",
    ]
    outer = ["http_api", "lookup", "control", "dataplane", "chaos", "cli"]
    for name in inner:
        paths = (
            [ROOT / f"cairndale/{name}.py"]
            if name in inner[:3]
            else (ROOT / f"cairndale/{name}").glob("*.py")
        )
        for path in paths:
            found = re.findall(r"(?:from|import) cairndale\.(\w+)", path.read_text())
            assert not set(found) & set(outer), (path, found)
    standalone = [
        "ingress",
        "discovery",
        "gossip",
        "lab",
        "durable",
    ]  # the ingress in service and its tools
    for package in standalone:
        for path in [*(ROOT / f"cairndale/{package}").rglob("*.py"), ROOT / "cairndale/durable.py"]:
            found = re.findall(r"(?:from|import) cairndale(?:\.(\w+))?", path.read_text())
            assert set(found) <= set(standalone), (path, found)


def test_generated_messages_are_those_of_the_file(tmp_path: Path) -> None:
    made = ["--python_out", "--pyi_out"]
    rpc = ROOT / "cairndale/rpc"
    command = [
        sys.executable,
        "-m",
        "grpc_tools.protoc",
        f"-I{rpc}",
        *(f"{m}={tmp_path}" for m in made),
    ]
    subprocess.run([*command, str(rpc / "protocol.proto")], check=True)
    for name in ("protocol_pb2.py", "protocol_pb2.pyi"):
        assert (tmp_path / name).read_text() == (rpc / name).read_text()


# What each package of the system may import of the others; see docs/architecture.md.
ALLOWED_IMPORTS = {
    "rpc": {"errors", "events", "settings"},
    "raft": {"rpc"},
    "configuration": {"field_rules", "ingress", "json_text", "settings"},
    "registry": {"json_text", "rpc", "settings"},
    "quota": {"ingress", "settings"},
    "lookup": {"configuration", "http_api", "rpc"},
    "http_api": {"events", "ingress", "json_text", "rpc", "settings"},
    "control": {
        "configuration",
        "errors",
        "events",
        "http_api",
        "json_text",
        "lookup",
        "quota",
        "raft",
        "registry",
        "rpc",
        "settings",
        "supervision",
    },
    "dataplane": {
        "configuration",
        "errors",
        "events",
        "http_api",
        "ingress",
        "json_text",
        "lookup",
        "quota",
        "rpc",
        "settings",
        "supervision",
    },
    "cli": {"configuration", "control", "ingress", "raft", "settings"},
}


@pytest.mark.parametrize("package", ALLOWED_IMPORTS)
def test_a_package_imports_no_more_than_it_may(package: str) -> None:
    """Control and data plane meet in `rpc` messages only; the state knows nothing of control."""
    for path in (ROOT / f"cairndale/{package}").rglob("*.py"):
        found = set(re.findall(r"(?:from|import) cairndale\.(\w+)", path.read_text()))
        assert found <= ALLOWED_IMPORTS[package] | {package}, path
