"""The ingress as a process: invalid configuration, `/up`, SIGTERM, SIGHUP."""

from __future__ import annotations

import asyncio
import json
import os
import select
import signal
import subprocess
import sys
import urllib.request
from pathlib import Path
from typing import Any

import pytest

from cairndale.chaos.malformed import MALFORMED
from tests.testing.ingress import (
    HOST,
    OK,
    RAW,
    PeerServer,
    read_answer,
    reply_with,
    request,
)

ROOT = Path(__file__).parents[2]


def start(path: Path) -> subprocess.Popen[str]:
    env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
    env |= {"EDGE_CONFIG": str(path), "TMPDIR": str(path.parent)}
    command = [sys.executable, "-m", "cairndale.ingress"]
    return subprocess.Popen(command, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True)


def start_with(path: Path, **changes: Any) -> subprocess.Popen[str]:
    path.write_text(json.dumps(config(**changes)))
    return start(path)


def listening_port(process: subprocess.Popen[str]) -> int:
    """Return the port that the process has logged."""
    assert process.stderr
    line = process.stderr.readline()
    assert "listening on " in line
    return int(line.rpartition(":")[2])


def config(**changes: Any) -> dict[str, Any]:
    nowhere = f"{HOST}:1"
    base = {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": nowhere,
        "counter": nowhere,
        "seed": "8c1f",
    }
    known = {"index": 1, "snapshot": True, "endpoints": []}
    return base | {"limits": {}, "settings": RAW, "known": known} | changes


@pytest.mark.parametrize(
    "text",
    [
        "no json",
        "[]",
        "{}",
        json.dumps(config(listen="here")),
        json.dumps(config(seed="?")),
        json.dumps(config(settings={})),
        json.dumps(config(known={"index": 1})),
    ],
)
def test_invalid_configuration_prints_one_line(tmp_path: Path, text: str) -> None:
    (tmp_path / "config.json").write_text(text)
    process = start(tmp_path / "config.json")
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 1 and errors.count("\n") == 1 and errors.startswith("ironledge: ")


def test_starts_and_stops_without_discovery_and_counter(tmp_path: Path) -> None:
    raw_config = config()
    (tmp_path / "config.json").write_text(json.dumps(raw_config))
    process = start(tmp_path / "config.json")
    with urllib.request.urlopen(
        f"http://{HOST}:{listening_port(process)}/up", timeout=60
    ) as answer:
        assert answer.status == 200
    process.send_signal(signal.SIGTERM)
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 0 and "Traceback" not in errors


async def test_sigterm_finishes_open_requests_and_ends_in_time(tmp_path: Path) -> None:
    """With the real policy: one backend answers after SIGTERM, one never does.

    A new connection is still served. Every request gets one response, and the exit status is 0.
    """
    server = await PeerServer().start()
    backend = {"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"}
    raw_config = config(known={"index": 1, "snapshot": True, "endpoints": [backend]})
    (tmp_path / "config.json").write_text(json.dumps(raw_config))
    process = start(tmp_path / "config.json")
    port = await asyncio.to_thread(listening_port, process)
    asks = [asyncio.create_task(ask(port, request(f"r{n}", "order", "4000m"))) for n in range(2)]
    await server.wait_until(lambda: sum(b"\r\n\r\n" in peer.data for peer in server.peers) == 2)
    process.send_signal(signal.SIGTERM)
    first = server.peers[0].data.partition(b"Request-Id: ")[2][:2]
    late = asyncio.create_task(ask(port, request("late", "order", "4000m")))
    await server.wait_until(lambda: len(server.peers) == 3 and b"\r\n\r\n" in server.peers[2].data)
    server.peers[0].transport.write(OK)
    server.peers[2].transport.write(OK)
    answers = {f"r{n}".encode(): await a for n, a in enumerate(asks)} | {b"late": await late}
    served = {id for id, answer in answers.items() if answer.startswith(b"HTTP/1.1 200 ")}
    assert served == {first, b"late"}
    (other,) = {id for id in answers if id not in served}
    assert answers[other].startswith(b"HTTP/1.1 50") and not answers[other].startswith(
        b"HTTP/1.1 503"
    )
    assert all(b"Connection: close\r\n" in answer for answer in answers.values())
    _, errors = await asyncio.to_thread(process.communicate, timeout=60)
    assert process.returncode == 0 and "Traceback" not in errors
    server.stop()


async def test_clients_wait_for_the_first_update_of_discovery(tmp_path: Path) -> None:
    """The list in the configuration may be old, so a new process sends no request by it alone."""
    server, discovery = await PeerServer().start(), await PeerServer().start()
    backend = {"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"}
    known = {"index": 1, "snapshot": True, "endpoints": [backend]}
    long_grace = RAW | {"safety": RAW["safety"] | {"drain_grace": 30_000_000}}
    raw_config = config(discovery=f"{HOST}:{discovery.port}", known=known, settings=long_grace)
    (tmp_path / "config.json").write_text(json.dumps(raw_config))
    process = start(tmp_path / "config.json")
    await discovery.wait_until(
        lambda: bool(discovery.peers) and b"\r\n\r\n" in discovery.peers[0].data
    )
    assert (
        process.stderr and select.select([process.stderr], [], [], 0)[0] == []
    )  # not yet listening
    update = {"index": 2, "snapshot": False, "endpoints": [backend | {"status": "draining"}]}
    line = json.dumps(update).encode() + b"\n"
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    discovery.peers[0].transport.write(head + b"%x\r\n%b\r\n" % (len(line), line))
    port = await asyncio.to_thread(listening_port, process)
    assert (await ask(port, request())).startswith(b"HTTP/1.1 429 ")
    assert server.peers == []
    process.send_signal(signal.SIGTERM)
    _, errors = await asyncio.to_thread(process.communicate, timeout=60)
    assert process.returncode == 0 and "Traceback" not in errors
    server.stop()
    discovery.stop()


async def test_silent_discovery_delays_clients_at_most_by_the_drain_grace(
    tmp_path: Path,
) -> None:
    discovery = await PeerServer().start()
    (tmp_path / "config.json").write_text(json.dumps(config(discovery=f"{HOST}:{discovery.port}")))
    process = start(tmp_path / "config.json")
    port = await asyncio.to_thread(listening_port, process)
    assert (await ask(port, b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
    process.send_signal(signal.SIGTERM)
    await asyncio.to_thread(process.communicate, timeout=60)
    assert process.returncode == 0
    discovery.stop()


def without(path: str, value: Any = None) -> str:
    """Return the configuration without one key of the settings, or with another value for it."""
    raw_config = json.loads(json.dumps(config()))
    *parents, last = path.split(".")
    item = raw_config["settings"]
    for key in parents:
        item = item[int(key) if key.isdecimal() else key]
    del item[last]
    if value is not None:
        item[last] = value
    return json.dumps(raw_config)


BROKEN = [
    "",
    "{",
    json.dumps(config())[:-200],
    without("services.0.deadline"),
    without("ceilings.max_attempts"),
    without("ceilings.cancel"),
    without("domain"),
    without("services.1.deadline", 0),
    without("ceilings.max_attempts", 0),
    without("ceilings.max_attempts", "many"),
    without("services", []),
]


@pytest.mark.parametrize("broken", [None, *BROKEN])
async def test_sighup_applies_new_addresses_and_survives_an_invalid_file(
    tmp_path: Path, broken: str | None
) -> None:
    old_servers, new_servers = [[await PeerServer().start() for _ in range(2)] for _ in range(2)]
    path = tmp_path / "config.json"

    def write(discovery: PeerServer, counter: PeerServer) -> None:
        addresses = {"discovery": f"{HOST}:{discovery.port}", "counter": f"{HOST}:{counter.port}"}
        path.write_text(json.dumps(config(**addresses)))

    write(*old_servers)
    process = start(path)
    await asyncio.to_thread(listening_port, process)
    for server in old_servers:
        await server.wait_until(lambda server=server: len(server.peers) == 1)  # type: ignore[misc]
    if broken is not None:
        path.write_text(broken)
        process.send_signal(signal.SIGHUP)
        assert process.stderr and "stays as it was" in await asyncio.to_thread(
            process.stderr.readline
        )
    write(*new_servers)
    process.send_signal(signal.SIGHUP)
    await new_servers[0].wait_until(
        lambda: bool(new_servers[0].peers) and b"watch=1&from=1 " in new_servers[0].peers[0].data
    )
    await new_servers[1].wait_until(lambda: len(new_servers[1].peers) == 1)
    for server in old_servers:
        await server.wait_until(lambda server=server: len(server.closed) == 1)  # type: ignore[misc]
    process.send_signal(signal.SIGTERM)
    _, errors = await asyncio.to_thread(process.communicate, timeout=60)
    assert process.returncode == 0 and "Traceback" not in errors
    for server in (*old_servers, *new_servers):
        server.stop()


async def test_sighup_switches_the_list_service_on_and_off(tmp_path: Path) -> None:
    one, two = [await PeerServer().start() for _ in range(2)]
    path = tmp_path / "config.json"
    process = start_with(path, discovery=f"{HOST}:{one.port}")

    async def reload(log_text: str, **changes: Any) -> None:
        path.write_text(json.dumps(config(discovery=f"{HOST}:{one.port}") | changes))
        process.send_signal(signal.SIGHUP)
        assert process.stderr and log_text in await asyncio.to_thread(process.stderr.readline)

    async def watch_target(server: PeerServer, peer: int) -> bytes:
        await server.wait_until(
            lambda: len(server.peers) > peer and b"\r\n\r\n" in server.peers[peer].data
        )
        return bytes(server.peers[peer].data.split()[1])

    assert await watch_target(one, 0) == b"/discovery/hosts?watch=1&from=1"
    await asyncio.to_thread(listening_port, process)
    await reload("directory.addresses[0]: 'nowhere'", directory={"addresses": ["nowhere"]})
    await reload("new settings", directory={"addresses": [f"{HOST}:{two.port}"]})
    assert await watch_target(one, 1) == b"/discovery/hosts?watch=1&from=0&epoch=0&lineage="
    await reload("stays as it was: directory is missing")
    one.peers[1].transport.close()
    assert await watch_target(two, 0) == b"/discovery/hosts?watch=1&from=0&epoch=0&lineage="
    await reload("new settings", directory=None)
    assert await watch_target(one, 2) == b"/discovery/hosts?watch=1&from=1"
    process.send_signal(signal.SIGTERM)
    _, errors = await asyncio.to_thread(process.communicate, timeout=60)
    assert process.returncode == 0 and "Traceback" not in errors
    one.stop()
    two.stop()


async def test_sighup_replaces_the_classes(tmp_path: Path) -> None:
    path, classes = tmp_path / "config.json", RAW["services"]

    def write(*services: dict[str, Any]) -> None:
        path.write_text(json.dumps(config(settings=RAW | {"services": services})))

    async def statuses(process: subprocess.Popen[str], *services: dict[str, Any]) -> list[bytes]:
        if services:
            write(*services)
            process.send_signal(signal.SIGHUP)
            assert process.stderr and "new settings" in await asyncio.to_thread(
                process.stderr.readline
            )
        asks = [ask(port, request(cls=c)) for c in ("read", "order", "fresh")]
        return [(await a).split()[1] for a in asks]

    write(*classes)
    process = start(path)
    port = await asyncio.to_thread(listening_port, process)
    # 429: known, but without a backend; 404: unknown.
    assert await statuses(process) == [b"429", b"429", b"404"]
    assert await statuses(process, *classes, classes[0] | {"name": "fresh"}) == [b"429"] * 3
    assert await statuses(process, classes[1], classes[0] | {"name": "fresh"}) == [
        b"404",
        b"429",
        b"429",
    ]
    process.send_signal(signal.SIGTERM)
    _, errors = await asyncio.to_thread(process.communicate, timeout=60)
    assert process.returncode == 0 and "Traceback" not in errors


async def ask(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    try:
        return await read_answer(reader)
    finally:
        writer.close()


async def test_list_in_a_malformed_answer_of_discovery_is_not_used(tmp_path: Path) -> None:
    """Once the next watch is answered, its list is."""
    server = await PeerServer(reply_with(OK)).start()
    listed = {"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"}
    line = json.dumps({"index": 1, "snapshot": True, "endpoints": [listed]}).encode() + b"\n"
    discovery = await PeerServer().start()
    process = start_with(tmp_path / "config.json", discovery=f"{HOST}:{discovery.port}")
    try:
        port = await asyncio.to_thread(listening_port, process)
        discovery.peers[0].transport.write(MALFORMED["status 000"](b"", line))
        await discovery.wait_until(
            lambda: len(discovery.peers) > 1 and b"\r\n\r\n" in discovery.peers[1].data
        )
        assert not (await ask(port, request("r1"))).startswith(b"HTTP/1.1 200 ")
        assert server.peers == []
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        discovery.peers[1].transport.write(head + b"%x\r\n%b\r\n" % (len(line), line))
        async with asyncio.timeout(30):
            while not (await ask(port, request())).startswith(b"HTTP/1.1 200 "):
                await asyncio.sleep(0.05)
    finally:
        process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(process.communicate, timeout=60)
        server.stop()
        discovery.stop()
