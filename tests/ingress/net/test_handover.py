"""Hot restart: one ingress process replaces another under load."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import subprocess
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from cairndale.ingress.handover_state import hand_over, take_back, take_over
from cairndale.ingress.net import handover
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.engine import RequestPolicy
from tests.ingress.test_main import ask, config, listening_port, start
from tests.testing.ingress import HOST, OK, PeerServer, reply_with, request
from tests.testing.policy import (
    SECOND,
    Counter,
    actions_of_type,
    arrival,
    backend,
    handle_with_counter,
    listed,
    settings,
)

SOCKET = "ironledge.sock"


def write_config(path: Path, server: PeerServer, **changes: Any) -> Path:
    entry = {"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"}
    known = {"index": 1, "snapshot": True, "endpoints": [entry]}
    (path / "config.json").write_text(json.dumps(config(**({"known": known} | changes))))
    return path / "config.json"


def terminate(process: subprocess.Popen[str]) -> str:
    process.send_signal(signal.SIGTERM)
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 0 and "Traceback" not in errors
    return errors


async def test_successor_takes_over_port_list_and_load(tmp_path: Path) -> None:
    server = await PeerServer(lambda peer: None).start()
    (tmp_path / "ironledge-maintenance.json").write_text("[]")
    old = start(write_config(tmp_path, server))
    port = await asyncio.to_thread(listening_port, old)
    open_request = asyncio.create_task(ask(port, request("r1", "order", "4000m")))
    await server.wait_until(lambda: bool(server.peers) and b"\r\n\r\n" in server.peers[0].data)
    silent_reader, silent_writer = await asyncio.open_connection(HOST, port)
    await asyncio.sleep(0)
    new = start(
        write_config(tmp_path, server, known={"index": 0, "snapshot": True, "endpoints": []})
    )
    # The same socket, although the configuration names no port.
    assert await asyncio.to_thread(listening_port, new) == port
    assert old.stderr and "handed over" in await asyncio.to_thread(old.stderr.readline)
    server.on_data = reply_with(OK)
    for number in range(5):  # the new process has the list only from the old one
        data = request(f"n{number}", Cookie=f"customer={number:016x}")
        assert (await ask(port, data)).startswith(b"HTTP/1.1 200 ")
    # The old process has an open request, and a connection without any request yet.
    assert old.poll() is None
    silent_writer.write(request("s1"))
    # Either process answers.
    assert (await silent_reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 ")
    server.peers[0].transport.write(OK)
    answer = await open_request
    assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close\r\n" in answer
    silent_writer.close()
    _, errors = await asyncio.to_thread(old.communicate, timeout=60)  # it exits by itself
    assert old.returncode == 0 and "Traceback" not in errors
    assert (await ask(port, request("last", Cookie=f"customer={9:016x}"))).startswith(
        b"HTTP/1.1 200 "
    )
    await asyncio.to_thread(terminate, new)
    assert not (tmp_path / SOCKET).exists()
    server.stop()


@pytest.mark.parametrize(
    "predecessor_state", ["file", "socket", "closes", "no state", "half a state"]
)
async def test_incomplete_hand_over_starts_as_usual(tmp_path: Path, predecessor_state: str) -> None:
    server, listening = await PeerServer(reply_with(OK)).start(), socket.socket()
    unix_socket = socket.socket(socket.AF_UNIX)
    if predecessor_state == "file":
        (tmp_path / SOCKET).write_text("stale")
    else:
        unix_socket.bind(str(tmp_path / SOCKET))
    if predecessor_state not in ("file", "socket"):
        listening = socket.create_server((HOST, 0))
        unix_socket.listen(1)

    def simulate_predecessor() -> None:
        conn, _ = unix_socket.accept()
        if predecessor_state != "closes":
            socket.send_fds(conn, [b"\n"], [listening.fileno()])
            assert conn.recv(100) == b'"take"\n'
            conn.send(
                b"\n" if predecessor_state == "no state" else b'{"version": 1, "index": 4, "ingr'
            )
        conn.close()

    predecessor = (
        asyncio.create_task(asyncio.to_thread(simulate_predecessor))
        if predecessor_state not in ("file", "socket")
        else None
    )
    new = start(write_config(tmp_path, server))
    async with asyncio.timeout(60):
        assert new.stderr
        line = ""
        while "listening on" not in line:
            line = await asyncio.to_thread(new.stderr.readline)
            assert line
    assert (await ask(int(line.rpartition(":")[2]), request())).startswith(b"HTTP/1.1 200 ")
    if predecessor:
        await predecessor
    await asyncio.to_thread(terminate, new)
    listening.close()
    unix_socket.close()
    server.stop()


async def test_old_process_continues_if_the_new_one_never_serves(tmp_path: Path) -> None:
    server = await PeerServer(reply_with(OK)).start()
    old = start(write_config(tmp_path, server))
    port = await asyncio.to_thread(listening_port, old)
    assert (await ask(port, request("a"))).startswith(b"HTTP/1.1 200 ")

    def take_and_disconnect() -> None:
        with socket.socket(socket.AF_UNIX) as conn:
            conn.connect(str(tmp_path / SOCKET))
            _, descriptors, _, _ = socket.recv_fds(conn, 1, 1)
            conn.send(b'"take"\n')
            assert conn.recv(100).startswith(b'{"version": 1')
            os.close(descriptors[0])

    await asyncio.to_thread(take_and_disconnect)
    for number in range(3):
        assert (await ask(port, request(f"b{number}"))).startswith(b"HTTP/1.1 200 ")
    assert "never" not in await asyncio.to_thread(terminate, old)
    server.stop()


async def test_maintenance_calls_at_either_process_apply_to_both(tmp_path: Path) -> None:
    """It also outlives the upgrade: the new process knows the calls that the old one received."""
    server = await PeerServer(reply_with(OK)).start()
    ports = []
    for _ in range(2):
        with socket.create_server((HOST, 0)) as free:
            ports.append(free.getsockname()[1])
    processes = []
    for number in range(2):
        process = start(write_config(tmp_path, server, ops=f"{HOST}:{ports[number]}"))
        port = await asyncio.to_thread(listening_port, process)
        processes.append(process)
        if number == 0:
            assert (await call(ports[0], "/maintenance/enter?who=s-1")) == 200
    assert (await call(ports[1], "/status", "GET")) == 503  # all backends are under maintenance
    assert (await ask(port, request("a"))).startswith((b"HTTP/1.1 429 ", b"HTTP/1.1 503 "))
    assert (await call(ports[1], "/maintenance/exit?who=s-1")) == 200
    assert (await call(ports[1], "/status", "GET")) == 200
    assert json.loads((tmp_path / "ironledge-maintenance.json").read_text()) == []
    for process in processes[::-1]:
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
        _, errors = await asyncio.to_thread(process.communicate, timeout=60)
        assert process.returncode == 0 and "Traceback" not in errors
    server.stop()


async def call(port: int, text: str, method: str = "POST") -> int:
    answer = await ask(port, f"{method} {text} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
    return int(answer.split()[1])


def old_and_new(**changes: Any) -> tuple[RequestPolicy, RequestPolicy, Counter]:
    old, new, counter = (
        RequestPolicy(settings(**changes), seed=1),
        RequestPolicy(settings(**changes), seed=2),
        Counter(),
    )
    for policy in (old, new):
        policy.handle(SECOND, listed(backend(1), backend(2), backend(3, started=SECOND)))
    for number in range(1, 4):
        handle_with_counter(old, SECOND + number, arrival(number, plan=3), counter)
    return old, new, counter


def test_no_leased_unit_and_no_rate_limit_unit_is_spent_twice() -> None:
    old, new, _ = old_and_new()
    account = old.accounts[7]
    before = account.tokens, account.ceiling_leased, account.ceiling_unreported
    state = json.loads(json.dumps(hand_over(old)))
    take_over(new, 2 * SECOND, state, range(3), range(4))
    successor_account = new.accounts[7]
    assert before[0] > 0 and (account.tokens, successor_account.tokens) == (0.0, before[0])
    assert account.ceiling_leased + successor_account.ceiling_leased == pytest.approx(before[1])
    assert account.ceiling_unreported + successor_account.ceiling_unreported == pytest.approx(
        before[2]
    )
    assert (successor_account.bucket_units, successor_account.demand) == (
        account.bucket_units,
        account.demand,
    )
    assert successor_account.plan == account.plan
    # A customer that the old process sees first after the hand-over.
    old.handle(3 * SECOND, arrival(9, plan=3, customer=8))
    assert old.accounts[8].ceiling_leased == old.accounts[8].ceiling_unreported == 0.0
    old.handle(4 * SECOND, arrival(10, plan=3))
    assert account.ceiling_leased <= before[1] / 2  # it is refilled at the new process only


def test_slow_start_credit_and_attempts_in_flight_are_handed_over() -> None:
    old, new, _ = old_and_new()
    old.pool.sent_on_average, old.pool.backends[3].credit = 9.0, 1.5
    old.pool.backends[1].limit = 3.0
    take_over(new, 2 * SECOND, json.loads(json.dumps(hand_over(old))), range(3), range(4))
    assert new.pool.backends[3].credit == 1.5 and new.pool.sent_on_average == 9.0
    assert new.pool.backends[1].limit == 3.0
    assert not old.pool.has_credit(old.pool.backends[3], 0.5)
    before = new.pool.utilization()
    new.handle(2 * SECOND, it.PredecessorLoad({1: 3}, {7: 2}))
    assert new.pool.utilization() > before and new.accounts[7].attempts_elsewhere == 2
    picked = [new.pool.pick(2 * SECOND, 0, lambda b: b.info.id != 3) for _ in range(2)]
    assert [p.info.id for p in picked if p] == [
        2,
        2,
    ]  # backend 1 is full with the other process's attempts
    new.handle(2 * SECOND, it.PredecessorLoad({}, {}))
    assert new.pool.in_flight_elsewhere == 0 and new.accounts[7].attempts_elsewhere == 0


def test_classes_and_plans_are_mapped_to_the_successors_numbers() -> None:
    old, new, _ = old_and_new()
    old.pool.average_latencies = [10.0, 20.0, 30.0]
    take_over(new, 2 * SECOND, hand_over(old), [2, -1, 0], [0, 1, 2, -1])
    assert new.pool.average_latencies == [30.0, 0.0, 10.0] and 7 not in new.accounts


def test_state_taken_back_can_be_spent_again() -> None:
    old, _, _ = old_and_new()
    before = old.accounts[7].tokens = 3.0
    take_back(old, hand_over(old))
    assert old.accounts[7].tokens == before and not old.superseded
    assert actions_of_type(old.handle(2 * SECOND, arrival(9, plan=3)), it.SendAttempt)


async def test_hand_over_is_disabled_with_one_log_line_without_unix_sockets(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def refuse(*args: Any) -> socket.socket:
        raise OSError(errno.ENOSYS, os.strerror(errno.ENOSYS))

    names = {name: getattr(socket, name) for name in ("AF_UNIX", "SOCK_STREAM", "SOCK_NONBLOCK")}
    monkeypatch.setattr(handover, "socket", SimpleNamespace(socket=refuse, **names))
    unused: Any = None
    offer = handover.HandoverOffer(
        tmp_path / SOCKET, unused, unused, unused, unused, unused, unused, lambda: None
    )
    offer.open()
    assert await handover.HandoverClaim.find(tmp_path / SOCKET) is None
    await offer.stop()
    assert len(caplog.records) == 1 and "no other process can take over" in caplog.text
