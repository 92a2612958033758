"""The program as it is started: bad configuration, `/up`, SIGTERM, SIGHUP."""

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

from tests.testing.ingress import HOST, OK, RAW, PeerServer, read_answer, request

ROOT = Path(__file__).parents[2]


def start(path: Path) -> subprocess.Popen[str]:
    env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
    env |= {"EDGE_CONFIG": str(path), "TMPDIR": str(path.parent)}
    command = [sys.executable, "-m", "cairndale.ingress"]
    return subprocess.Popen(command, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True)


def start_with(path: Path, **changes: Any) -> subprocess.Popen[str]:
    path.write_text(json.dumps(config(**changes)))
    return start(path)


def listens(ran: subprocess.Popen[str]) -> int:
    """The port that it took, as its log tells."""
    assert ran.stderr
    line = ran.stderr.readline()
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
def test_bad_configuration_is_one_line(tmp_path: Path, text: str) -> None:
    (tmp_path / "config.json").write_text(text)
    ran = start(tmp_path / "config.json")
    _, errors = ran.communicate(timeout=60)
    assert ran.returncode == 1 and errors.count("\n") == 1 and errors.startswith("ironledge: ")


def test_up_without_discovery_or_counter_and_an_orderly_end(tmp_path: Path) -> None:
    made = config()
    (tmp_path / "config.json").write_text(json.dumps(made))
    ran = start(tmp_path / "config.json")
    with urllib.request.urlopen(f"http://{HOST}:{listens(ran)}/up", timeout=60) as answer:
        assert answer.status == 200
    ran.send_signal(signal.SIGTERM)
    _, errors = ran.communicate(timeout=60)
    assert ran.returncode == 0 and "Traceback" not in errors


async def test_sigterm_finishes_what_was_taken_and_ends_in_time(tmp_path: Path) -> None:
    """Through the real module: one request is answered after SIGTERM, one never is by its backend,
    and a new connection is still served; all get one final answer and the process ends with 0."""
    server = await PeerServer().start()
    backend = {"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"}
    made = config(known={"index": 1, "snapshot": True, "endpoints": [backend]})
    (tmp_path / "config.json").write_text(json.dumps(made))
    ran = start(tmp_path / "config.json")
    port = await asyncio.to_thread(listens, ran)
    asks = [asyncio.create_task(ask(port, request(f"r{n}", "order", "4000m"))) for n in range(2)]
    await server.wait_until(lambda: sum(b"\r\n\r\n" in peer.data for peer in server.peers) == 2)
    ran.send_signal(signal.SIGTERM)
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
    _, errors = await asyncio.to_thread(ran.communicate, timeout=60)
    assert ran.returncode == 0 and "Traceback" not in errors
    server.stop()


async def test_clients_wait_until_discovery_has_said_what_drains(tmp_path: Path) -> None:
    """The list of the configuration may be old: a process that has just begun sends nothing by it
    alone."""
    server, discovery = await PeerServer().start(), await PeerServer().start()
    backend = {"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"}
    known = {"index": 1, "snapshot": True, "endpoints": [backend]}
    patient = RAW | {"safety": RAW["safety"] | {"drain_grace": 30_000_000}}
    made = config(discovery=f"{HOST}:{discovery.port}", known=known, settings=patient)
    (tmp_path / "config.json").write_text(json.dumps(made))
    ran = start(tmp_path / "config.json")
    await discovery.wait_until(
        lambda: bool(discovery.peers) and b"\r\n\r\n" in discovery.peers[0].data
    )
    assert ran.stderr and select.select([ran.stderr], [], [], 0)[0] == []  # not yet listening
    told = {"index": 2, "snapshot": False, "endpoints": [backend | {"status": "draining"}]}
    line = json.dumps(told).encode() + b"\n"
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    discovery.peers[0].transport.write(head + b"%x\r\n%b\r\n" % (len(line), line))
    port = await asyncio.to_thread(listens, ran)
    assert (await ask(port, request())).startswith(b"HTTP/1.1 429 ")
    assert server.peers == []
    ran.send_signal(signal.SIGTERM)
    _, errors = await asyncio.to_thread(ran.communicate, timeout=60)
    assert ran.returncode == 0 and "Traceback" not in errors
    server.stop()
    discovery.stop()


async def test_a_silent_discovery_keeps_clients_waiting_for_no_longer_than_a_drain_may_take(
    tmp_path: Path,
) -> None:
    discovery = await PeerServer().start()
    (tmp_path / "config.json").write_text(json.dumps(config(discovery=f"{HOST}:{discovery.port}")))
    ran = start(tmp_path / "config.json")
    port = await asyncio.to_thread(listens, ran)
    assert (await ask(port, b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
    ran.send_signal(signal.SIGTERM)
    await asyncio.to_thread(ran.communicate, timeout=60)
    assert ran.returncode == 0
    discovery.stop()


def without(path: str, value: Any = None) -> str:
    """The configuration with one key of the settings gone, or with another value."""
    made = json.loads(json.dumps(config()))
    *way, last = path.split(".")
    at = made["settings"]
    for key in way:
        at = at[int(key) if key.isdecimal() else key]
    del at[last]
    if value is not None:
        at[last] = value
    return json.dumps(made)


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
async def test_sighup_takes_up_new_addresses_and_survives_a_broken_file(
    tmp_path: Path, broken: str | None
) -> None:
    olds, news = [[await PeerServer().start() for _ in range(2)] for _ in range(2)]
    path = tmp_path / "config.json"

    def write(discovery: PeerServer, counter: PeerServer) -> None:
        at = {"discovery": f"{HOST}:{discovery.port}", "counter": f"{HOST}:{counter.port}"}
        path.write_text(json.dumps(config(**at)))

    write(*olds)
    ran = start(path)
    await asyncio.to_thread(listens, ran)
    for server in olds:
        await server.wait_until(lambda server=server: len(server.peers) == 1)  # type: ignore[misc]
    if broken is not None:
        path.write_text(broken)
        ran.send_signal(signal.SIGHUP)
        assert ran.stderr and "stays as it was" in await asyncio.to_thread(ran.stderr.readline)
    write(*news)
    ran.send_signal(signal.SIGHUP)
    await news[0].wait_until(
        lambda: bool(news[0].peers) and b"watch=1&from=1 " in news[0].peers[0].data
    )
    await news[1].wait_until(lambda: len(news[1].peers) == 1)
    for server in olds:
        await server.wait_until(lambda server=server: len(server.closed) == 1)  # type: ignore[misc]
    ran.send_signal(signal.SIGTERM)
    _, errors = await asyncio.to_thread(ran.communicate, timeout=60)
    assert ran.returncode == 0 and "Traceback" not in errors
    for server in (*olds, *news):
        server.stop()


async def test_sighup_turns_the_list_service_on_and_off_by_name_alone(tmp_path: Path) -> None:
    one, two = [await PeerServer().start() for _ in range(2)]
    path = tmp_path / "config.json"
    ran = start_with(path, discovery=f"{HOST}:{one.port}")

    async def told(words: str, **changes: Any) -> None:
        path.write_text(json.dumps(config(discovery=f"{HOST}:{one.port}") | changes))
        ran.send_signal(signal.SIGHUP)
        assert ran.stderr and words in await asyncio.to_thread(ran.stderr.readline)

    async def asked(server: PeerServer, peer: int) -> bytes:
        await server.wait_until(
            lambda: len(server.peers) > peer and b"\r\n\r\n" in server.peers[peer].data
        )
        return bytes(server.peers[peer].data.split()[1])

    assert await asked(one, 0) == b"/discovery/hosts?watch=1&from=1"
    await asyncio.to_thread(listens, ran)
    await told("directory.addresses[0]: 'nowhere'", directory={"addresses": ["nowhere"]})
    await told("new settings", directory={"addresses": [f"{HOST}:{two.port}"]})
    assert await asked(one, 1) == b"/discovery/hosts?watch=1&from=0&epoch=0&lineage="
    await told("stays as it was: directory is missing")
    one.peers[1].transport.close()
    assert await asked(two, 0) == b"/discovery/hosts?watch=1&from=0&epoch=0&lineage="
    await told("new settings", directory=None)
    assert await asked(one, 2) == b"/discovery/hosts?watch=1&from=1"
    ran.send_signal(signal.SIGTERM)
    _, errors = await asyncio.to_thread(ran.communicate, timeout=60)
    assert ran.returncode == 0 and "Traceback" not in errors
    one.stop()
    two.stop()


async def test_sighup_swaps_the_classes_in(tmp_path: Path) -> None:
    path, classes = tmp_path / "config.json", RAW["services"]

    def write(*services: dict[str, Any]) -> None:
        path.write_text(json.dumps(config(settings=RAW | {"services": services})))

    async def named(ran: subprocess.Popen[str], *services: dict[str, Any]) -> list[bytes]:
        if services:
            write(*services)
            ran.send_signal(signal.SIGHUP)
            assert ran.stderr and "new settings" in await asyncio.to_thread(ran.stderr.readline)
        asks = [ask(port, request(cls=c)) for c in ("read", "order", "fresh")]
        return [(await a).split()[1] for a in asks]

    write(*classes)
    ran = start(path)
    port = await asyncio.to_thread(listens, ran)
    # known, with no backend to send them to; unknown
    assert await named(ran) == [b"429", b"429", b"404"]
    assert await named(ran, *classes, classes[0] | {"name": "fresh"}) == [b"429"] * 3
    assert await named(ran, classes[1], classes[0] | {"name": "fresh"}) == [b"404", b"429", b"429"]
    ran.send_signal(signal.SIGTERM)
    _, errors = await asyncio.to_thread(ran.communicate, timeout=60)
    assert ran.returncode == 0 and "Traceback" not in errors


async def ask(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    try:
        return await read_answer(reader)
    finally:
        writer.close()
