"""The list service as a real process on loopback: requests, watches, damage, followers and
promotion."""

from __future__ import annotations

import asyncio
import json
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
import pytest_asyncio

from cairndale.discovery import service as service_module
from cairndale.discovery.leases import Leases
from cairndale.discovery.service import Service
from cairndale.discovery.state import PROMOTION_VERSION_GAP, InvalidDataError, RejectedError, State
from cairndale.discovery.store import Store
from tests.testing.discovery import (
    HOST,
    ROOT,
    DiscoveryProcess,
    WatchClient,
    call,
    register,
    statuses_by_name,
)


@pytest_asyncio.fixture
async def program(tmp_path: Path) -> AsyncIterator[DiscoveryProcess]:
    program = await DiscoveryProcess(tmp_path / "one").start()
    yield program
    await program.stop()


async def fetch_list(port: int) -> Any:
    status, answer = await call(port, "GET", "/discovery/hosts")
    assert status == 200
    return answer


async def test_lists_and_watches_follow_the_protocol(program: DiscoveryProcess) -> None:
    assert await program.register("s-1", 7001, zone="a", type="m2", group=3, since_ms=5) == 1
    listed_server = {
        "name": "s-1",
        "address": f"{HOST}:7001",
        "zone": "a",
        "type": "m2",
        "group": 3,
        "status": "up",
        "weight": 1.0,
        "since_ms": 5,
    }
    assert await fetch_list(program.reads) == {
        "index": 1,
        "snapshot": True,
        "endpoints": [listed_server],
    }
    async with WatchClient(program.reads, "from=1") as watch:
        # no changes: a heartbeat at once, and every 2 s
        assert await watch.line(empty=True) == ""
        assert await watch.line(empty=True) == ""
        assert (await program.call("POST", "/servers/s-1/drain"))[1] == {
            "version": 2,
            "index": 2,
            "epoch": 1,
        }
        line = {
            "index": 2,
            "snapshot": False,
            "endpoints": [listed_server | {"status": "draining"}],
        }
        assert await watch.line() == line
        await program.call("DELETE", "/servers/s-1")
        line = await watch.line()
        assert line["index"] == 3 and statuses_by_name(line) == {"s-1": "removed"}


async def test_a_server_registered_with_a_new_address_or_start_is_sent_as_up(
    program: DiscoveryProcess,
) -> None:
    await program.register("a", 7001, since_ms=5)
    await program.call("POST", "/servers/a/drain")
    async with WatchClient(program.reads, "from=2") as watch:
        # the same instance: it stays draining
        assert await program.register("a", 7001, since_ms=5) == 2
        for version, port, since in ((3, 7002, 5), (4, 7002, 9)):
            assert await program.register("a", port, since_ms=since) == version
            line = await watch.line()
            (server,) = line["endpoints"]
            assert (line["index"], server["status"], server["since_ms"]) == (version, "up", since)
            assert server["address"] == f"{HOST}:{port}"
    status, answer = await program.call("PUT", "/servers/a", VALID_REGISTRATION | {"since_ms": 8})
    assert status == 409 and answer["version"] == 4  # older than the registered start


async def test_writes_are_idempotent_and_conditional(program: DiscoveryProcess) -> None:
    body = {"address": f"{HOST}:1", "lease_ms": 5000}
    for _ in range(2):
        status, answer = await program.call("PUT", "/servers/a", body, {"Request-Id": "x"})
        assert (status, answer["version"]) == (200, 1)
    status, answer = await program.call("PUT", "/servers/b", body, {"Request-Id": "x"})
    assert status == 409
    status, answer = await program.call("POST", "/servers/a/drain", headers={"If-Match": '"7"'})
    assert (status, answer["version"]) == (409, 1) and "conflict" in answer["error"]
    status, answer = await program.call("POST", "/servers/a/drain", headers={"If-Match": "1"})
    assert (status, answer["version"]) == (200, 2)
    assert (await program.call("POST", "/servers/a/renew"))[1]["version"] == 2
    assert (await program.call("POST", "/servers/b/renew"))[0] == 404
    listed = (await program.call("GET", "/servers"))[1]["servers"]
    assert [(s["name"], s["status"], s["version"]) for s in listed] == [("a", "draining", 2)]
    assert 0 < listed[0]["lease_left_ms"] <= 5000


VALID_REGISTRATION = {"address": "127.0.0.1:1", "lease_ms": 5000}
INVALID_REQUESTS: list[tuple[str, str, Any, dict[str, str], int]] = [
    ("GET", "/nowhere", None, {}, 404),
    ("PATCH", "/servers/a", VALID_REGISTRATION, {}, 405),
    ("GET", "/servers/a/drain", None, {}, 405),
    ("PUT", "/servers/a", b"{", {}, 400),
    ("PUT", "/servers/a", b"[]", {}, 400),
    ("PUT", "/servers/a", b"[" * 60_000, {}, 400),
    ("PUT", "/servers/a", b'{"address":"h:1","address":"h:2","lease_ms":5000}', {}, 400),
    ("PUT", "/servers/a", VALID_REGISTRATION | {"status": "sideways"}, {}, 400),
    ("PUT", "/servers/a", VALID_REGISTRATION | {"weight": float("nan")}, {}, 400),
    ("PUT", "/servers/a", VALID_REGISTRATION | {"address": "nowhere"}, {}, 400),
    ("PUT", "/servers/a", VALID_REGISTRATION | {"address": "h:70000"}, {}, 400),
    ("PUT", "/servers/a", VALID_REGISTRATION | {"lease_ms": 1}, {}, 400),
    ("PUT", "/servers/a", VALID_REGISTRATION | {"since_ms": -1}, {}, 400),
    ("PUT", "/servers/a", VALID_REGISTRATION | {"group": True}, {}, 400),
    ("PUT", "/servers/a%20b", VALID_REGISTRATION, {}, 400),
    ("PUT", "/servers/a", VALID_REGISTRATION, {"Request-Id": "1\r\nRequest-Id: 2"}, 400),
    ("PUT", "/servers/a", VALID_REGISTRATION, {"Request-Id": "x" * 129}, 400),
    ("PUT", "/servers/a", VALID_REGISTRATION, {"If-Match": "soon"}, 400),
    ("PUT", "/servers/a", VALID_REGISTRATION, {"If-Match": "1\r\nIf-Match: 2"}, 400),
    ("PUT", "/servers/a", VALID_REGISTRATION, {"Host": "a\r\nHost: b"}, 400),
    ("PUT", "/servers/a", VALID_REGISTRATION, {"Transfer-Encoding": "chunked"}, 400),
    ("PUT", "/servers/a", VALID_REGISTRATION, {"X": "1\r\nContent-Length: 3"}, 400),
    ("PUT", "/servers/a", b"x" * 5_000_000, {}, 413),
    ("PUT", "/servers/a", VALID_REGISTRATION, {"X": "y" * 20_000}, 431),
    ("POST", "/promote", None, {}, 409),
    ("POST", "/depose", {"epoch": 9, "leader": "x:1", "lineage": "other"}, {}, 409),
    ("POST", "/depose", {"epoch": "9"}, {}, 400),
]


async def test_invalid_requests_change_nothing_and_log_one_line_each(
    program: DiscoveryProcess,
) -> None:
    for method, path, body, headers, expected_status in INVALID_REQUESTS:
        before = program.log_text().count("\n")
        status, _ = await program.call(method, path, body, headers)
        assert status == expected_status, (method, path, body, headers)
        assert program.log_text().count("\n") == before + 1, program.log_text()
    for query in ("from=-1", "from=x", "from=1&from=2", "watch=2", f"from={'9' * 19}", "epoch=one"):
        status, _ = await call(program.reads, "GET", f"/discovery/hosts?{query}")
        assert status == 400, query
    assert (await call(program.reads, "POST", "/discovery/hosts"))[0] == 405
    assert (await call(program.reads, "GET", "/servers"))[0] == 404
    assert "Traceback" not in program.log_text()
    assert await fetch_list(program.reads) == {"index": 0, "snapshot": True, "endpoints": []}


@pytest.mark.parametrize("port_name", ["reads", "writes"])
@pytest.mark.parametrize(
    "partial_request",
    [b"", b"PUT /serv", b"PUT /servers/a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{"],
)
async def test_incomplete_requests_time_out(
    program: DiscoveryProcess, port_name: str, partial_request: bytes
) -> None:
    reader, writer = await asyncio.open_connection(HOST, getattr(program, port_name))
    writer.write(partial_request)
    async with asyncio.timeout(60):
        answer = await reader.read()
    assert (
        answer.startswith(b"HTTP/1.1 408 ")
        and program.log_text().count("408 invalid or incomplete request") == 1
    )
    writer.close()


async def test_requests_on_one_connection_are_answered_in_order(program: DiscoveryProcess) -> None:
    reader, writer = await asyncio.open_connection(HOST, program.writes)
    body = json.dumps(VALID_REGISTRATION).encode()
    put = b"PUT /servers/%b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b"
    calls = [put % (name, len(body), body) for name in (b"a", b"b", b"c")]
    writer.write(b"".join(calls) + b"GET /status HTTP/1.1\r\nHost: x\r\n\r\nnonsense\r\n\r\n")
    async with asyncio.timeout(60):
        answers = (await reader.read()).split(b"HTTP/1.1 ")[1:]
    assert [a[:3] for a in answers] == [b"200"] * 4 + [b"400"]
    assert [json.loads(a.partition(b"\r\n\r\n")[2])["version"] for a in answers[:3]] == [1, 2, 3]
    writer.close()


async def test_acknowledged_writes_survive_sigkill(tmp_path: Path) -> None:
    program = await DiscoveryProcess(tmp_path).start()
    answered: dict[str, int] = {}

    async def write(start: int) -> None:
        for number in range(start, 1000, 8):
            answered[f"s-{number}"] = await program.register(f"s-{number}", 1)

    writers = [asyncio.create_task(write(n)) for n in range(8)]
    while len(answered) < 40:
        await asyncio.sleep(0)
    await program.stop(signal.SIGKILL)
    await asyncio.gather(*writers, return_exceptions=True)
    with (tmp_path / "data/log").open("ab") as log:
        log.write(b"\xc5\xd1torn")
    await program.start()
    assert "truncated 6 bytes of an incomplete last record" in program.log_text()
    listed = {
        s["name"]: s["version"] for s in (await program.call("GET", "/servers"))[1]["servers"]
    }
    assert answered.items() <= listed.items()
    versions = sorted(listed.values())
    assert versions == sorted(set(versions))
    assert await program.register("after", 1) > max(versions)
    assert await program.stop(signal.SIGTERM) == 0


def run_until_exit(folder: Path, config: str | bytes) -> tuple[int, str]:
    folder.mkdir(exist_ok=True)
    path = folder / "bad.json"
    path.write_bytes(config if isinstance(config, bytes) else config.encode())
    command = [sys.executable, "-m", "cairndale.discovery", str(path)]
    process = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    return process.returncode, process.stderr


async def test_a_failed_start_prints_the_reason_in_one_line(tmp_path: Path) -> None:
    program = await DiscoveryProcess(tmp_path / "one").start()
    for name in "abc":
        await program.register(name, 1)
    base = {"data": str(tmp_path / "one/data"), "reads": f"{HOST}:0", "writes": f"{HOST}:0"}

    def assert_start_fails(config: Any, *words: str) -> None:
        code, stderr = run_until_exit(
            tmp_path, config if isinstance(config, bytes) else json.dumps(config)
        )
        assert (
            code == 1 and stderr.count("\n") == 1 and stderr.startswith("cairndale.discovery: ")
        ), stderr
        assert all(word in stderr for word in words), stderr

    assert_start_fails(base, "another process uses this data folder")
    in_use = {"data": str(tmp_path / "new"), "reads": f"{HOST}:{program.reads}"}
    assert_start_fails(base | in_use, "address already in use")
    await program.stop()
    log = bytearray((tmp_path / "one/data/log").read_bytes())
    log[12] ^= 1
    (tmp_path / "one/data/log").write_bytes(log)
    assert_start_fails(base, "data/log: damaged at offset 0")
    (tmp_path / "file").write_text("")
    assert_start_fails(base | {"data": str(tmp_path / "file/below")}, "file")
    assert_start_fails(b"{", "Expecting")
    assert_start_fails(b"[" * 100_000, "recursion")
    assert_start_fails([], "not an object")
    for invalid, word in (
        ({"reads": "x"}, "reads"),
        ({"follow": 5}, "follow"),
        ({"data": ""}, "data"),
        ({"wat": 1}, "wat"),
        ({"lease_ms": [5, 1]}, "lease_ms"),
        ({"history": -1}, "history"),
        ({"hold_share": 2}, "hold_share"),
        ({"watches": True}, "watches"),
        ({"hold_window_s": "x"}, "hold_window_s"),
    ):
        assert_start_fails(base | invalid, word)  # type: ignore[operator]


async def test_a_full_disk_rejects_writes_while_reads_go_on(tmp_path: Path) -> None:
    """A limit on file sizes stands in for the full disk; it is lifted while the process runs."""
    program = await DiscoveryProcess(tmp_path / "one").start()
    await program.register("a", 1)
    assert program.process
    size = (tmp_path / "one/data/log").stat().st_size
    unlimited = resource.RLIM_INFINITY
    resource.prlimit(program.process.pid, resource.RLIMIT_FSIZE, (size + 10, unlimited))
    for _ in range(2):
        status, answer = await program.call("PUT", "/servers/b", VALID_REGISTRATION)
        assert status == 507 and "not committed" in answer["error"]
        assert statuses_by_name(await fetch_list(program.reads)) == {"a": "up"}
        assert (await program.call("POST", "/servers/a/renew"))[0] == 200
    resource.prlimit(program.process.pid, resource.RLIMIT_FSIZE, (unlimited, unlimited))
    assert await program.register("b", 1) == 2
    await program.stop(signal.SIGKILL)
    await program.start()
    assert statuses_by_name(await fetch_list(program.reads)) == {"a": "up", "b": "up"}
    await program.stop()


async def test_sigterm_ends_watches_with_a_final_chunk(tmp_path: Path) -> None:
    program = await DiscoveryProcess(tmp_path).start()
    await program.register("a", 1)
    async with WatchClient(program.reads, "from=1") as watch:
        ended = asyncio.create_task(program.stop(signal.SIGTERM))
        assert await watch.line() is None  # the final chunk, not a connection reset
        assert await ended == 0
    assert "Traceback" not in program.log_text()


async def test_one_server_with_an_expired_lease_is_removed_and_many_at_once_are_not(
    tmp_path: Path,
) -> None:
    program = await DiscoveryProcess(tmp_path, extra_config={"lease_ms": [100, 60_000]}).start()
    for number in range(7):
        await program.register(f"s-{number}", 1)
    await program.register("gone", 1, lease_ms=100)
    async with asyncio.timeout(60):
        while "gone" in statuses_by_name(await fetch_list(program.reads)):
            await asyncio.sleep(0.05)
    await asyncio.gather(
        *(program.register(f"s-{number}", 1, lease_ms=2000) for number in range(4))
    )
    async with asyncio.timeout(60):
        while (status := await program.status())["leases"]["held_back_s"] is None:
            await asyncio.sleep(0.05)
    assert (
        status["leases"]["overdue"] == 4
        and "4 expired at once, removals suspended" in program.log_text()
    )
    assert len(statuses_by_name(await fetch_list(program.reads))) == 7
    # An explicit removal is carried out.
    assert (await program.call("DELETE", "/servers/s-0"))[0] == 200
    assert len(statuses_by_name(await fetch_list(program.reads))) == 6
    await program.stop()


async def test_a_follower_serves_reports_its_lag_and_can_be_promoted(tmp_path: Path) -> None:
    leader = await DiscoveryProcess(tmp_path / "one").start()
    await leader.register("a", 1)
    follower = DiscoveryProcess(tmp_path / "two", extra_config={"follow": f"{HOST}:{leader.reads}"})
    await follower.start()
    await follower.wait_for_status(index=1)
    assert await fetch_list(follower.reads) == await fetch_list(leader.reads)
    status, answer = await follower.call("PUT", "/servers/b", VALID_REGISTRATION)
    assert status == 503 and answer["error"] == "this is a follower"
    assert answer["leader"] == f"{HOST}:{leader.writes}"
    await leader.register("b", 2)
    await leader.call("PUT", "/servers/c", VALID_REGISTRATION, {"Request-Id": "once"})
    caught_up = await follower.wait_for_status(index=3)
    assert (
        caught_up["follows"]["versions_behind"] == 0
        and caught_up["follows"]["behind_for_s"] is None
    )
    leader.send_signal(signal.SIGSTOP)
    async with asyncio.timeout(60):
        while (lagging_status := await follower.status())["follows"]["behind_for_s"] is None:
            await asyncio.sleep(0.1)
    assert lagging_status["follows"]["heard_s_ago"] >= 6
    async with WatchClient(
        follower.reads, "from=3&epoch=1&lineage=" + lagging_status["lineage"]
    ) as watch:
        assert (await watch.line())["age_ms"] >= 6000
        status, answer = await follower.call("POST", "/promote")
        assert (status, answer["epoch"], answer["index"]) == (200, 2, 3 + PROMOTION_VERSION_GAP)
        line = await watch.line()
        assert (line["epoch"], line["index"], line["endpoints"]) == (
            2,
            3 + PROMOTION_VERSION_GAP,
            [],
        )
    assert (await follower.call("POST", "/promote"))[0] == 409
    # A request that the old leader committed, repeated to the new one.
    status, answer = await follower.call(
        "PUT", "/servers/c", VALID_REGISTRATION, {"Request-Id": "once"}
    )
    assert (status, answer["version"]) == (200, 3)
    assert await follower.register("d", 4) == 4 + PROMOTION_VERSION_GAP
    leader.send_signal(signal.SIGCONT)
    await leader.wait_for_status(role="deposed")
    status, answer = await leader.call("PUT", "/servers/e", VALID_REGISTRATION)
    assert status == 409 and answer["leader"] == f"{HOST}:{follower.writes}"
    # Readers that understand epochs have to go elsewhere.
    assert (await call(leader.reads, "GET", "/discovery/hosts?lineage=x"))[0] == 503
    # For plain readers an old list is better than none.
    assert len(statuses_by_name(await fetch_list(leader.reads))) == 3
    # Both keep their role over a restart. The old leader, configured as a follower, drops the
    # writes that only it had.
    assert await leader.stop(signal.SIGTERM) == 0 and await follower.stop(signal.SIGKILL) < 0
    await follower.start()
    assert (await follower.status())["role"] == "leader"
    await leader.start()
    assert (await leader.status())["role"] == "deposed"
    await leader.stop()
    leader.extra_config = {"follow": f"{HOST}:{follower.reads}"}
    await leader.start()
    await leader.wait_for_status(role="follower", epoch=2, index=4 + PROMOTION_VERSION_GAP)
    assert await fetch_list(leader.reads) == await fetch_list(follower.reads)
    await leader.stop()
    await follower.stop()


async def test_a_follower_does_not_start_as_leader_without_its_follow_setting(
    tmp_path: Path,
) -> None:
    leader = await DiscoveryProcess(tmp_path / "one").start()
    await leader.register("a", 1)
    follower = await DiscoveryProcess(
        tmp_path / "two", extra_config={"follow": f"{HOST}:{leader.reads}"}
    ).start()
    await follower.wait_for_status(index=1)
    await follower.stop()
    config = {"data": str(tmp_path / "two/data"), "reads": f"{HOST}:0", "writes": f"{HOST}:0"}
    code, stderr = run_until_exit(tmp_path, json.dumps(config))
    assert code == 1 and "follow: missing" in stderr
    # A follower that never reached its leader does not serve an empty list either.
    await leader.stop()
    fresh = await DiscoveryProcess(
        tmp_path / "three", extra_config={"follow": f"{HOST}:{leader.reads}"}
    ).start()
    assert (await call(fresh.reads, "GET", "/discovery/hosts"))[0] == 503
    assert (await fresh.call("POST", "/promote"))[0] == 409
    await fresh.stop()


async def test_unread_watches_are_bounded_and_delay_no_other(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """60 watches never read, 20 do. The service runs in this process, so that its write buffers can
    be inspected."""
    monkeypatch.setattr(service_module, "COALESCE_DELAY", 0.0)
    # never reached, even on a slow machine
    monkeypatch.setattr(service_module, "STALL_TIMEOUT", 3600.0)
    service = Service(Store(tmp_path / "data"), Leases(), (1000, 60_000), 200)
    reads, writes = await service.listen((HOST, 0), (HOST, 0))
    service.start()
    unread_sockets = []
    for _ in range(60):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, reads))
        sock.sendall(b"GET /discovery/hosts?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n")
        unread_sockets.append(sock)
    reading_clients = [await WatchClient(reads, "from=0").__aenter__() for _ in range(20)]
    round_count, zones = 60, ["x" * 60, "y" * 60]
    for round_number in range(round_count):
        calls = [
            call(
                writes,
                "PUT",
                f"/servers/s-{n}",
                VALID_REGISTRATION | {"zone": zones[round_number % 2], "type": "z" * 60},
            )
            for n in range(40)
        ]
        assert all(status == 200 for status, _ in await asyncio.gather(*calls))
        for watch in reading_clients:  # each receives this round's changes before the next round
            while (line := await watch.line())["index"] < service.state.index:
                pass
            assert line["index"] == service.state.index
    stalled = [w for w in service.watches if w.stalled_since is not None]
    assert len(stalled) == 60 and service.status()["versions_behind"] == 0
    full_list_bytes = len(service.update_for(stalled[0].reader, 0).lines)
    largest_buffer = max(w.connection.transport.get_write_buffer_size() for w in service.watches)
    assert largest_buffer <= service_module.WATCH_BUFFER_BYTES + full_list_bytes + 64
    # One that reads again gets the changes that it missed as one line.
    sock, received = unread_sockets[0], b""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    async with asyncio.timeout(60):
        while f'"index":{service.state.index},'.encode() not in received:
            received += (part := await asyncio.get_running_loop().sock_recv(sock, 1 << 16))
            assert part  # not closed
    # The others are closed once they have not read for long enough.
    monkeypatch.setattr(service_module, "STALL_TIMEOUT", 0.0)
    async with asyncio.timeout(60):
        while service.counts.stalled < 59:
            await asyncio.sleep(0.1)
    # The last may have been aborted in this iteration of the event loop.
    await asyncio.sleep(0)
    assert len(service.watches) == 21
    for watch in reading_clients:
        watch.writer.transport.abort()
    for sock in unread_sockets:
        sock.close()
    await service.stop()
    assert not service.connections and not service.watches
    service.store.close()


async def test_changes_are_coalesced_and_no_removal_is_skipped(
    program: DiscoveryProcess,
) -> None:
    for number in range(50):
        await program.register(f"s-{number}", 1)
    async with WatchClient(program.reads, "from=50") as watch:
        calls = [program.call("DELETE", f"/servers/s-{n}") for n in range(0, 50, 2)]
        calls += [
            program.call("PUT", f"/servers/s-{n}", VALID_REGISTRATION | {"since_ms": 9})
            for n in range(1, 50, 2)
        ]
        assert all(status == 200 for status, _ in await asyncio.gather(*calls))
        received: dict[str, str] = {}
        lines = 0
        while len(received) < 50:
            received |= statuses_by_name(await watch.line())
            lines += 1
    assert (
        all(received[f"s-{n}"] == ("up" if n % 2 else "removed") for n in range(50)) and lines < 50
    )


async def test_writes_time_out_on_a_hung_disk_while_reads_go_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    service = Service(Store(tmp_path / "data"), Leases(), (1000, 60_000), 1)
    reads, writes = await service.listen((HOST, 0), (HOST, 0))
    service.start()
    disk_released, real_fsync = threading.Event(), os.fsync

    def fsync(descriptor: int) -> None:
        disk_released.wait(30)
        real_fsync(descriptor)

    monkeypatch.setattr(service_module, "WRITE_TIMEOUT", 0.1)
    monkeypatch.setattr(os, "fsync", fsync)
    status, answer = await call(
        writes, "PUT", "/servers/a", VALID_REGISTRATION, {"Request-Id": "x"}
    )
    assert status == 503 and "may be committed later" in answer["error"]
    assert (await fetch_list(reads))["index"] == 0
    disk_released.set()
    monkeypatch.setattr(service_module, "WRITE_TIMEOUT", 10.0)
    status, answer = await call(
        writes, "PUT", "/servers/a", VALID_REGISTRATION, {"Request-Id": "x"}
    )
    assert (status, answer["version"]) == (200, 1)
    await service.stop()
    service.store.close()


async def test_a_rejection_based_on_an_uncommitted_write_waits_for_its_sync(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise a rejected client would know of a version that may never be committed."""
    service = Service(Store(tmp_path / "data"), Leases(), (1000, 60_000), 1)
    service.start()
    assert await service.write(register("a", 1)) == 1
    disk_released, real_fsync, sync_broken = threading.Event(), os.fsync, False

    def fsync(descriptor: int) -> None:
        assert disk_released.wait(30)
        if sync_broken:
            raise OSError(5, "no")
        real_fsync(descriptor)

    monkeypatch.setattr(os, "fsync", fsync)
    for sync_fails, statuses in ((True, [503, 503]), (False, [200, 409])):
        sync_broken = sync_fails
        disk_released.clear()
        calls = [register("a", 2), register("a", 9, expected=1)]
        writes = [asyncio.create_task(service.write(c)) for c in calls]
        for _ in range(20):
            await asyncio.sleep(0.001)
        assert not any(w.done() for w in writes) and service.state.index == 1
        disk_released.set()
        results = await asyncio.gather(*writes, return_exceptions=True)
        assert [s.status if isinstance(s, RejectedError) else 200 for s in results] == statuses
    await service.stop()
    service.store.close()


async def test_a_full_state_that_waits_behind_a_promotion_is_dropped(tmp_path: Path) -> None:
    """It could be the full state of the previous epoch."""
    service = Service(Store(tmp_path / "data"), Leases(), (1000, 60_000), 1)
    service.role = "follower"
    async with service._store_lock:
        replication = asyncio.create_task(service.replicate([], State("other")))
        await asyncio.sleep(0)
        service.role = "leader"
    with pytest.raises(InvalidDataError, match="promoted meanwhile"):
        await replication
    assert service.state.lineage != "other"
    service.store.close()


async def test_a_watch_over_http_1_0_is_rejected(program: DiscoveryProcess) -> None:
    reader, writer = await asyncio.open_connection(HOST, program.reads)
    writer.write(b"GET /discovery/hosts?watch=1&from=0 HTTP/1.0\r\n\r\n")
    async with asyncio.timeout(60):
        assert (await reader.read()).startswith(b"HTTP/1.1 400 ")
    writer.close()


async def test_random_input_is_rejected_and_requests_go_on(program: DiscoveryProcess) -> None:
    rng, finished = random.Random(7), 0
    pieces = [
        b"GET ",
        b"PUT ",
        b"/servers/a",
        b"/discovery/hosts?watch=1&from=",
        b" HTTP/1.1\r\n",
        b"\r\n",
    ]
    pieces += [b"Host: x\r\n", b"Content-Length: 5\r\n", b"Transfer-Encoding: chunked\r\n"]
    pieces += [b"{}", b"9", b"\xff\x00"]

    async def send_random_input(port: int) -> None:
        nonlocal finished
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"".join(rng.choices(pieces, k=rng.randint(1, 12))))
        writer.write_eof()
        async with asyncio.timeout(60):
            await reader.read(1 << 16)
        writer.transport.abort()
        finished += 1

    for _ in range(20):
        await asyncio.gather(
            *(send_random_input(port) for port in (program.reads, program.writes) * 10)
        )
    assert finished == 400 and "Traceback" not in program.log_text()
    assert await program.register("a", 1) == (await program.status())["index"]


async def test_the_start_fails_if_the_descriptor_limit_is_too_low(tmp_path: Path) -> None:
    config = {
        "data": str(tmp_path / "data"),
        "reads": f"{HOST}:0",
        "writes": f"{HOST}:0",
        "watches": 100_000,
    }
    (tmp_path / "c.json").write_text(json.dumps(config))
    command = f"ulimit -n 1024; exec {sys.executable} -m cairndale.discovery {tmp_path / 'c.json'}"
    process = subprocess.run(
        ["bash", "-c", command], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert (
        process.returncode == 1
        and "100576 descriptors are needed, but the hard limit is 1024" in process.stderr
    )


async def test_too_many_watches_are_rejected(tmp_path: Path) -> None:
    program = await DiscoveryProcess(tmp_path, extra_config={"watches": 2}).start()
    async with WatchClient(program.reads, "from=0"), WatchClient(program.reads, "from=0"):
        assert (await call(program.reads, "GET", "/discovery/hosts?watch=1&from=0"))[0] == 503
    await program.stop()


def test_no_module_reads_the_wall_clock() -> None:
    """Leases use the event loop's monotonic clock, so a step of the wall clock changes nothing."""
    for path in (ROOT / "cairndale/discovery").glob("*.py"):
        source = path.read_text()
        assert "import time" not in source and "datetime" not in source, path


def test_only_http_is_imported_from_the_ingress() -> None:
    for path in (ROOT / "cairndale/discovery").glob("*.py"):
        imports = [
            line for line in path.read_text().splitlines() if "cairndale.ingress.net" in line
        ]
        assert all(line.startswith("from cairndale.ingress.net.http import") for line in imports), (
            path,
            imports,
        )
