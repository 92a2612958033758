"""The list service as a real process on loopback: calls, watches, damage, a follower and its
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


async def test_the_list_and_a_watch_as_the_protocol_has_them(program: DiscoveryProcess) -> None:
    assert await program.register("s-1", 7001, zone="a", type="m2", group=3, since_ms=5) == 1
    one = {
        "name": "s-1",
        "address": f"{HOST}:7001",
        "zone": "a",
        "type": "m2",
        "group": 3,
        "status": "up",
        "weight": 1.0,
        "since_ms": 5,
    }
    assert await fetch_list(program.reads) == {"index": 1, "snapshot": True, "endpoints": [one]}
    async with WatchClient(program.reads, "from=1") as watch:
        # nothing has changed: a beat, at once and every 2 s
        assert await watch.line(empty=True) == ""
        assert await watch.line(empty=True) == ""
        assert (await program.call("POST", "/servers/s-1/drain"))[1] == {
            "version": 2,
            "index": 2,
            "epoch": 1,
        }
        line = {"index": 2, "snapshot": False, "endpoints": [one | {"status": "draining"}]}
        assert await watch.line() == line
        await program.call("DELETE", "/servers/s-1")
        line = await watch.line()
        assert line["index"] == 3 and statuses_by_name(line) == {"s-1": "removed"}


async def test_a_server_that_comes_back_elsewhere_or_anew_is_told_as_it_is_now(
    program: DiscoveryProcess,
) -> None:
    await program.register("a", 7001, since_ms=5)
    await program.call("POST", "/servers/a/drain")
    async with WatchClient(program.reads, "from=2") as watch:
        # the same one: it goes on draining
        assert await program.register("a", 7001, since_ms=5) == 2
        for version, port, since in ((3, 7002, 5), (4, 7002, 9)):
            assert await program.register("a", port, since_ms=since) == version
            line = await watch.line()
            (server,) = line["endpoints"]
            assert (line["index"], server["status"], server["since_ms"]) == (version, "up", since)
            assert server["address"] == f"{HOST}:{port}"
    status, answer = await program.call("PUT", "/servers/a", GOOD | {"since_ms": 8})
    assert status == 409 and answer["version"] == 4  # from before the last start


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
    shown = (await program.call("GET", "/servers"))[1]["servers"]
    assert [(s["name"], s["status"], s["version"]) for s in shown] == [("a", "draining", 2)]
    assert 0 < shown[0]["lease_left_ms"] <= 5000


GOOD = {"address": "127.0.0.1:1", "lease_ms": 5000}
BAD_CALLS: list[tuple[str, str, Any, dict[str, str], int]] = [
    ("GET", "/nowhere", None, {}, 404),
    ("PATCH", "/servers/a", GOOD, {}, 405),
    ("GET", "/servers/a/drain", None, {}, 405),
    ("PUT", "/servers/a", b"{", {}, 400),
    ("PUT", "/servers/a", b"[]", {}, 400),
    ("PUT", "/servers/a", b"[" * 60_000, {}, 400),
    ("PUT", "/servers/a", b'{"address":"h:1","address":"h:2","lease_ms":5000}', {}, 400),
    ("PUT", "/servers/a", GOOD | {"status": "sideways"}, {}, 400),
    ("PUT", "/servers/a", GOOD | {"weight": float("nan")}, {}, 400),
    ("PUT", "/servers/a", GOOD | {"address": "nowhere"}, {}, 400),
    ("PUT", "/servers/a", GOOD | {"address": "h:70000"}, {}, 400),
    ("PUT", "/servers/a", GOOD | {"lease_ms": 1}, {}, 400),
    ("PUT", "/servers/a", GOOD | {"since_ms": -1}, {}, 400),
    ("PUT", "/servers/a", GOOD | {"group": True}, {}, 400),
    ("PUT", "/servers/a%20b", GOOD, {}, 400),
    ("PUT", "/servers/a", GOOD, {"Request-Id": "1\r\nRequest-Id: 2"}, 400),
    ("PUT", "/servers/a", GOOD, {"Request-Id": "x" * 129}, 400),
    ("PUT", "/servers/a", GOOD, {"If-Match": "soon"}, 400),
    ("PUT", "/servers/a", GOOD, {"If-Match": "1\r\nIf-Match: 2"}, 400),
    ("PUT", "/servers/a", GOOD, {"Host": "a\r\nHost: b"}, 400),
    ("PUT", "/servers/a", GOOD, {"Transfer-Encoding": "chunked"}, 400),
    ("PUT", "/servers/a", GOOD, {"X": "1\r\nContent-Length: 3"}, 400),
    ("PUT", "/servers/a", b"x" * 5_000_000, {}, 413),
    ("PUT", "/servers/a", GOOD, {"X": "y" * 20_000}, 431),
    ("POST", "/promote", None, {}, 409),
    ("POST", "/depose", {"epoch": 9, "leader": "x:1", "lineage": "other"}, {}, 409),
    ("POST", "/depose", {"epoch": "9"}, {}, 400),
]


async def test_bad_calls_change_nothing_and_are_one_line_each(program: DiscoveryProcess) -> None:
    for method, path, body, headers, wanted in BAD_CALLS:
        before = program.log_text().count("\n")
        status, _ = await program.call(method, path, body, headers)
        assert status == wanted, (method, path, body, headers)
        assert program.log_text().count("\n") == before + 1, program.log_text()
    for query in ("from=-1", "from=x", "from=1&from=2", "watch=2", f"from={'9' * 19}", "epoch=one"):
        status, _ = await call(program.reads, "GET", f"/discovery/hosts?{query}")
        assert status == 400, query
    assert (await call(program.reads, "POST", "/discovery/hosts"))[0] == 405
    assert (await call(program.reads, "GET", "/servers"))[0] == 404
    assert "Traceback" not in program.log_text()
    assert await fetch_list(program.reads) == {"index": 0, "snapshot": True, "endpoints": []}


@pytest.mark.parametrize("which", ["reads", "writes"])
@pytest.mark.parametrize(
    "start",
    [b"", b"PUT /serv", b"PUT /servers/a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{"],
)
async def test_half_a_call_and_silence_is_closed(
    program: DiscoveryProcess, which: str, start: bytes
) -> None:
    reader, writer = await asyncio.open_connection(HOST, getattr(program, which))
    writer.write(start)
    async with asyncio.timeout(60):
        answer = await reader.read()
    assert (
        answer.startswith(b"HTTP/1.1 408 ") and program.log_text().count("408 not understood") == 1
    )
    writer.close()


async def test_calls_on_one_connection_are_answered_in_turn(program: DiscoveryProcess) -> None:
    reader, writer = await asyncio.open_connection(HOST, program.writes)
    body = json.dumps(GOOD).encode()
    put = b"PUT /servers/%b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b"
    calls = [put % (name, len(body), body) for name in (b"a", b"b", b"c")]
    writer.write(b"".join(calls) + b"GET /status HTTP/1.1\r\nHost: x\r\n\r\nnonsense\r\n\r\n")
    async with asyncio.timeout(60):
        answers = (await reader.read()).split(b"HTTP/1.1 ")[1:]
    assert [a[:3] for a in answers] == [b"200"] * 4 + [b"400"]
    assert [json.loads(a.partition(b"\r\n\r\n")[2])["version"] for a in answers[:3]] == [1, 2, 3]
    writer.close()


async def test_a_kill_in_the_middle_of_writes_keeps_all_that_was_answered(tmp_path: Path) -> None:
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
    shown = {s["name"]: s["version"] for s in (await program.call("GET", "/servers"))[1]["servers"]}
    assert answered.items() <= shown.items()
    versions = sorted(shown.values())
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


async def test_what_cannot_be_started_says_why_in_one_line(tmp_path: Path) -> None:
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
    for bad, word in (
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
        assert_start_fails(base | bad, word)  # type: ignore[operator]


async def test_a_full_disk_refuses_writes_and_reads_go_on(tmp_path: Path) -> None:
    """A limit on the size of files stands in for the disk: it is lifted again while the process
    runs."""
    program = await DiscoveryProcess(tmp_path / "one").start()
    await program.register("a", 1)
    assert program.process
    size = (tmp_path / "one/data/log").stat().st_size
    unlimited = resource.RLIM_INFINITY
    resource.prlimit(program.process.pid, resource.RLIMIT_FSIZE, (size + 10, unlimited))
    for _ in range(2):
        status, answer = await program.call("PUT", "/servers/b", GOOD)
        assert status == 507 and "not committed" in answer["error"]
        assert statuses_by_name(await fetch_list(program.reads)) == {"a": "up"}
        assert (await program.call("POST", "/servers/a/renew"))[0] == 200
    resource.prlimit(program.process.pid, resource.RLIMIT_FSIZE, (unlimited, unlimited))
    assert await program.register("b", 1) == 2
    await program.stop(signal.SIGKILL)
    await program.start()
    assert statuses_by_name(await fetch_list(program.reads)) == {"a": "up", "b": "up"}
    await program.stop()


async def test_sigterm_ends_open_watches_in_order(tmp_path: Path) -> None:
    program = await DiscoveryProcess(tmp_path).start()
    await program.register("a", 1)
    async with WatchClient(program.reads, "from=1") as watch:
        ended = asyncio.create_task(program.stop(signal.SIGTERM))
        assert await watch.line() is None  # the last chunk, not a reset
        assert await ended == 0
    assert "Traceback" not in program.log_text()


async def test_a_lease_that_is_not_renewed_ends_and_many_at_once_do_not(tmp_path: Path) -> None:
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
    assert (await program.call("DELETE", "/servers/s-0"))[0] == 200  # a deliberate removal passes
    assert len(statuses_by_name(await fetch_list(program.reads))) == 6
    await program.stop()


async def test_a_follower_serves_lags_openly_and_leads_when_told(tmp_path: Path) -> None:
    leader = await DiscoveryProcess(tmp_path / "one").start()
    await leader.register("a", 1)
    follower = DiscoveryProcess(tmp_path / "two", extra_config={"follow": f"{HOST}:{leader.reads}"})
    await follower.start()
    await follower.wait_for_status(index=1)
    assert await fetch_list(follower.reads) == await fetch_list(leader.reads)
    status, answer = await follower.call("PUT", "/servers/b", GOOD)
    assert status == 503 and answer["error"] == "this is a follower"
    assert answer["leader"] == f"{HOST}:{leader.writes}"
    await leader.register("b", 2)
    await leader.call("PUT", "/servers/c", GOOD, {"Request-Id": "once"})
    held = await follower.wait_for_status(index=3)
    assert held["follows"]["versions_behind"] == 0 and held["follows"]["behind_for_s"] is None
    leader.send_signal(signal.SIGSTOP)
    async with asyncio.timeout(60):
        while (status_ := await follower.status())["follows"]["behind_for_s"] is None:
            await asyncio.sleep(0.1)
    assert status_["follows"]["heard_s_ago"] >= 6
    async with WatchClient(follower.reads, "from=3&epoch=1&lineage=" + status_["lineage"]) as watch:
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
    # A call that the old leader took, asked again of the new one.
    status, answer = await follower.call("PUT", "/servers/c", GOOD, {"Request-Id": "once"})
    assert (status, answer["version"]) == (200, 3)
    assert await follower.register("d", 4) == 4 + PROMOTION_VERSION_GAP
    leader.send_signal(signal.SIGCONT)
    await leader.wait_for_status(role="deposed")
    status, answer = await leader.call("PUT", "/servers/e", GOOD)
    assert status == 409 and answer["leader"] == f"{HOST}:{follower.writes}"
    # Who can go elsewhere is sent there.
    assert (await call(leader.reads, "GET", "/discovery/hosts?lineage=x"))[0] == 503
    assert (
        len(statuses_by_name(await fetch_list(leader.reads))) == 3
    )  # for others an old list is better than none
    # Both remember what they are; the old leader comes back as a follower and drops what only it
    # had.
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


async def test_a_follower_is_never_taken_for_a_leader_by_a_missing_line(tmp_path: Path) -> None:
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
    # Nor does one that has never heard its leader give an empty list.
    await leader.stop()
    fresh = await DiscoveryProcess(
        tmp_path / "three", extra_config={"follow": f"{HOST}:{leader.reads}"}
    ).start()
    assert (await call(fresh.reads, "GET", "/discovery/hosts"))[0] == 503
    assert (await fresh.call("POST", "/promote"))[0] == 409
    await fresh.stop()


async def test_watches_that_are_not_read_are_bounded_and_delay_nobody(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In this process, so that what waits for each can be seen: 60 watches that never read, 20 that
    do."""
    monkeypatch.setattr(service_module, "COALESCE_DELAY", 0.0)
    monkeypatch.setattr(service_module, "STALL_TIMEOUT", 3600.0)  # however slow this machine is
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
    healthy = [await WatchClient(reads, "from=0").__aenter__() for _ in range(20)]
    round_count, zones = 60, ["x" * 60, "y" * 60]
    for round_number in range(round_count):
        calls = [
            call(
                writes,
                "PUT",
                f"/servers/s-{n}",
                GOOD | {"zone": zones[round_number % 2], "type": "z" * 60},
            )
            for n in range(40)
        ]
        assert all(status == 200 for status, _ in await asyncio.gather(*calls))
        for watch in healthy:  # each is told of this turn before the next begins
            while (line := await watch.line())["index"] < service.state.index:
                pass
            assert line["index"] == service.state.index
    stalled = [w for w in service.watches if w.stalled_since is not None]
    assert len(stalled) == 60 and service.status()["versions_behind"] == 0
    one = len(service.update_for(stalled[0].reader, 0).lines)  # the whole list
    most = max(w.connection.transport.get_write_buffer_size() for w in service.watches)
    assert most <= service_module.WATCH_BUFFER_BYTES + one + 64
    # One that reads again gets what it missed as one line, then is like the others.
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
    # they were aborted in this turn of the loop, it may be, and are gone by the next
    await asyncio.sleep(0)
    assert len(service.watches) == 21
    for watch in healthy:
        watch.writer.transport.abort()
    for sock in unread_sockets:
        sock.close()
    await service.stop()
    assert not service.connections and not service.watches
    service.store.close()


async def test_many_changes_are_told_together_and_no_removal_is_skipped(
    program: DiscoveryProcess,
) -> None:
    for number in range(50):
        await program.register(f"s-{number}", 1)
    async with WatchClient(program.reads, "from=50") as watch:
        calls = [program.call("DELETE", f"/servers/s-{n}") for n in range(0, 50, 2)]
        calls += [
            program.call("PUT", f"/servers/s-{n}", GOOD | {"since_ms": 9}) for n in range(1, 50, 2)
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


async def test_a_disk_that_hangs_is_told_in_time_and_reads_go_on(
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
    status, answer = await call(writes, "PUT", "/servers/a", GOOD, {"Request-Id": "x"})
    assert status == 503 and "may still be" in answer["error"]
    assert (await fetch_list(reads))["index"] == 0
    disk_released.set()
    monkeypatch.setattr(service_module, "WRITE_TIMEOUT", 10.0)
    status, answer = await call(writes, "PUT", "/servers/a", GOOD, {"Request-Id": "x"})
    assert (status, answer["version"]) == (200, 1)
    await service.stop()
    service.store.close()


async def test_a_refusal_that_rests_on_a_write_waits_for_the_disk_as_the_write_does(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Else whoever is refused knows of a version that nobody can read, and that may never be."""
    service = Service(Store(tmp_path / "data"), Leases(), (1000, 60_000), 1)
    service.start()
    assert await service.write(register("a", 1)) == 1
    disk_released, real_fsync, broken = threading.Event(), os.fsync, False

    def fsync(descriptor: int) -> None:
        assert disk_released.wait(30)
        if broken:
            raise OSError(5, "no")
        real_fsync(descriptor)

    monkeypatch.setattr(os, "fsync", fsync)
    for fails, statuses in ((True, [503, 503]), (False, [200, 409])):
        broken = fails
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


async def test_a_copy_that_waits_behind_a_promotion_is_dropped(tmp_path: Path) -> None:
    """It could be the whole list of the epoch before."""
    service = Service(Store(tmp_path / "data"), Leases(), (1000, 60_000), 1)
    service.role = "follower"
    async with service._store_lock:
        copies = asyncio.create_task(service.replicate([], State("other")))
        await asyncio.sleep(0)
        service.role = "leader"
    with pytest.raises(InvalidDataError, match="promoted meanwhile"):
        await copies
    assert service.state.lineage != "other"
    service.store.close()


async def test_a_watch_of_http_1_0_is_refused(program: DiscoveryProcess) -> None:
    reader, writer = await asyncio.open_connection(HOST, program.reads)
    writer.write(b"GET /discovery/hosts?watch=1&from=0 HTTP/1.0\r\n\r\n")
    async with asyncio.timeout(60):
        assert (await reader.read()).startswith(b"HTTP/1.1 400 ")
    writer.close()


async def test_noise_is_refused_and_calls_go_on(program: DiscoveryProcess) -> None:
    generator, finished = random.Random(7), 0
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

    async def noise(port: int) -> None:
        nonlocal finished
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"".join(generator.choices(pieces, k=generator.randint(1, 12))))
        writer.write_eof()
        async with asyncio.timeout(60):
            await reader.read(1 << 16)
        writer.transport.abort()
        finished += 1

    for _ in range(20):
        await asyncio.gather(*(noise(port) for port in (program.reads, program.writes) * 10))
    assert finished == 400 and "Traceback" not in program.log_text()
    assert await program.register("a", 1) == (await program.status())["index"]


async def test_descriptors_that_cannot_be_had_are_refused_at_the_start(tmp_path: Path) -> None:
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


async def test_too_many_watches_are_turned_away(tmp_path: Path) -> None:
    program = await DiscoveryProcess(tmp_path, extra_config={"watches": 2}).start()
    async with WatchClient(program.reads, "from=0"), WatchClient(program.reads, "from=0"):
        assert (await call(program.reads, "GET", "/discovery/hosts?watch=1&from=0"))[0] == 503
    await program.stop()


def test_no_part_reads_the_systems_clock() -> None:
    """Leases run on the loop's clock, which is monotonic: a step of the system's changes
    nothing."""
    for path in (ROOT / "cairndale/discovery").glob("*.py"):
        words = path.read_text()
        assert "import time" not in words and "datetime" not in words, path


def test_it_imports_of_the_data_plane_only_http() -> None:
    for path in (ROOT / "cairndale/discovery").glob("*.py"):
        imports = [
            line for line in path.read_text().splitlines() if "cairndale.ingress.net" in line
        ]
        assert all(line.startswith("from cairndale.ingress.net.http import") for line in imports), (
            path,
            imports,
        )
