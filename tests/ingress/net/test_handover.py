"""One process replaces another under load: the program itself, started twice."""

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
from tests.ingress.test_main import ask, config, listens, start
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


def written(path: Path, server: PeerServer, **changes: Any) -> Path:
    entry = {"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"}
    known = {"index": 1, "snapshot": True, "endpoints": [entry]}
    (path / "config.json").write_text(json.dumps(config(**({"known": known} | changes))))
    return path / "config.json"


def end(ran: subprocess.Popen[str]) -> str:
    ran.send_signal(signal.SIGTERM)
    _, errors = ran.communicate(timeout=60)
    assert ran.returncode == 0 and "Traceback" not in errors
    return errors


async def test_a_new_one_takes_the_port_the_list_and_what_is_out(tmp_path: Path) -> None:
    server = await PeerServer(lambda peer: None).start()
    (tmp_path / "ironledge-maintenance.json").write_text("[]")
    old = start(written(tmp_path, server))
    port = await asyncio.to_thread(listens, old)
    under_way = asyncio.create_task(ask(port, request("r1", "order", "4000m")))
    await server.wait_until(lambda: bool(server.peers) and b"\r\n\r\n" in server.peers[0].data)
    silent, silent_writer = await asyncio.open_connection(HOST, port)
    await asyncio.sleep(0)
    new = start(written(tmp_path, server, known={"index": 0, "snapshot": True, "endpoints": []}))
    # the same socket, though the file says any port
    assert await asyncio.to_thread(listens, new) == port
    assert old.stderr and "handed over" in await asyncio.to_thread(old.stderr.readline)
    server.on_data = reply_with(OK)
    for number in range(5):  # the new one has the list only from the old one
        asked = request(f"n{number}", Cookie=f"customer={number:016x}")
        assert (await ask(port, asked)).startswith(b"HTTP/1.1 200 ")
    # it has a request, and a connection whose first request is on the way
    assert old.poll() is None
    silent_writer.write(request("s1"))
    # heard, by whichever has it
    assert (await silent.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 ")
    server.peers[0].transport.write(OK)
    answer = await under_way
    assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close\r\n" in answer
    silent_writer.close()
    _, errors = await asyncio.to_thread(old.communicate, timeout=60)  # it leaves by itself
    assert old.returncode == 0 and "Traceback" not in errors
    assert (await ask(port, request("last", Cookie=f"customer={9:016x}"))).startswith(
        b"HTTP/1.1 200 "
    )
    await asyncio.to_thread(end, new)
    assert not (tmp_path / SOCKET).exists()
    server.stop()


@pytest.mark.parametrize("found", ["file", "socket", "closes", "no state", "half a state"])
async def test_half_a_hand_over_starts_as_usual(tmp_path: Path, found: str) -> None:
    server, listening = await PeerServer(reply_with(OK)).start(), socket.socket()
    offered = socket.socket(socket.AF_UNIX)
    if found == "file":
        (tmp_path / SOCKET).write_text("stale")
    else:
        offered.bind(str(tmp_path / SOCKET))
    if found not in ("file", "socket"):
        listening = socket.create_server((HOST, 0))
        offered.listen(1)

    def pretend() -> None:
        conn, _ = offered.accept()
        if found != "closes":
            socket.send_fds(conn, [b"\n"], [listening.fileno()])
            assert conn.recv(100) == b'"take"\n'
            conn.send(b"\n" if found == "no state" else b'{"version": 1, "index": 4, "ingr')
        conn.close()

    played = (
        asyncio.create_task(asyncio.to_thread(pretend)) if found not in ("file", "socket") else None
    )
    new = start(written(tmp_path, server))
    async with asyncio.timeout(60):
        assert new.stderr
        line = ""
        while "listening on" not in line:
            line = await asyncio.to_thread(new.stderr.readline)
            assert line
    assert (await ask(int(line.rpartition(":")[2]), request())).startswith(b"HTTP/1.1 200 ")
    if played:
        await played
    await asyncio.to_thread(end, new)
    listening.close()
    offered.close()
    server.stop()


async def test_an_old_process_goes_on_if_the_new_one_never_serves(tmp_path: Path) -> None:
    server = await PeerServer(reply_with(OK)).start()
    old = start(written(tmp_path, server))
    port = await asyncio.to_thread(listens, old)
    assert (await ask(port, request("a"))).startswith(b"HTTP/1.1 200 ")

    def half() -> None:
        with socket.socket(socket.AF_UNIX) as conn:
            conn.connect(str(tmp_path / SOCKET))
            _, descriptors, _, _ = socket.recv_fds(conn, 1, 1)
            conn.send(b'"take"\n')
            assert conn.recv(100).startswith(b'{"version": 1')
            os.close(descriptors[0])

    await asyncio.to_thread(half)
    for number in range(3):
        assert (await ask(port, request(f"b{number}"))).startswith(b"HTTP/1.1 200 ")
    assert "never" not in await asyncio.to_thread(end, old)
    server.stop()


async def test_maintenance_called_at_either_process_holds_for_both(tmp_path: Path) -> None:
    """And outlives the upgrade: the new process knows what the old one was told."""
    server = await PeerServer(reply_with(OK)).start()
    ports = []
    for _ in range(2):
        with socket.create_server((HOST, 0)) as free:
            ports.append(free.getsockname()[1])
    processes = []
    for number in range(2):
        ran = start(written(tmp_path, server, ops=f"{HOST}:{ports[number]}"))
        port = await asyncio.to_thread(listens, ran)
        processes.append(ran)
        if number == 0:
            assert (await call(ports[0], "/maintenance/enter?who=s-1")) == 200
    assert (await call(ports[1], "/status", "GET")) == 503  # all servers are out
    assert (await ask(port, request("a"))).startswith((b"HTTP/1.1 429 ", b"HTTP/1.1 503 "))
    assert (await call(ports[1], "/maintenance/exit?who=s-1")) == 200
    assert (await call(ports[1], "/status", "GET")) == 200
    assert json.loads((tmp_path / "ironledge-maintenance.json").read_text()) == []
    for ran in processes[::-1]:
        if ran.poll() is None:
            ran.send_signal(signal.SIGTERM)
        _, errors = await asyncio.to_thread(ran.communicate, timeout=60)
        assert ran.returncode == 0 and "Traceback" not in errors
    server.stop()


async def call(port: int, text: str, method: str = "POST") -> int:
    answer = await ask(port, f"{method} {text} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
    return int(answer.split()[1])


def handed(**changes: Any) -> tuple[RequestPolicy, RequestPolicy, Counter]:
    old, new, counter = (
        RequestPolicy(settings(**changes), seed=1),
        RequestPolicy(settings(**changes), seed=2),
        Counter(),
    )
    for gateway in (old, new):
        gateway.handle(SECOND, listed(backend(1), backend(2), backend(3, started=SECOND)))
    for number in range(1, 4):
        handle_with_counter(old, SECOND + number, arrival(number, plan=3), counter)
    return old, new, counter


def test_no_lease_and_no_part_of_a_ceiling_is_spent_twice() -> None:
    old, new, _ = handed()
    account = old.accounts[7]
    had = account.tokens, account.ceiling_leased, account.ceiling_unreported
    state = json.loads(json.dumps(hand_over(old)))
    take_over(new, 2 * SECOND, state, range(3), range(4))
    taken = new.accounts[7]
    assert had[0] > 0 and (account.tokens, taken.tokens) == (0.0, had[0])
    assert account.ceiling_leased + taken.ceiling_leased == pytest.approx(had[1])
    assert account.ceiling_unreported + taken.ceiling_unreported == pytest.approx(had[2])
    assert (taken.bucket_units, taken.demand) == (account.bucket_units, account.demand)
    assert taken.plan == account.plan
    # a customer first seen after the hand-over
    old.handle(3 * SECOND, arrival(9, plan=3, customer=8))
    assert old.accounts[8].ceiling_leased == old.accounts[8].ceiling_unreported == 0.0
    old.handle(4 * SECOND, arrival(10, plan=3))
    assert account.ceiling_leased <= had[1] / 2  # it refills at the new process only


def test_cold_budgets_and_attempts_out_go_with_it() -> None:
    old, new, _ = handed()
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
    assert [p.info.id for p in picked if p] == [2, 2]  # 1 is full of the other's
    new.handle(2 * SECOND, it.PredecessorLoad({}, {}))
    assert new.pool.in_flight_elsewhere == 0 and new.accounts[7].attempts_elsewhere == 0


def test_classes_and_plans_are_followed_by_number_across_the_two() -> None:
    old, new, _ = handed()
    old.pool.average_latencies = [10.0, 20.0, 30.0]
    take_over(new, 2 * SECOND, hand_over(old), [2, -1, 0], [0, 1, 2, -1])
    assert new.pool.average_latencies == [30.0, 0.0, 10.0] and 7 not in new.accounts


def test_what_is_taken_back_can_be_spent_again() -> None:
    old, _, _ = handed()
    had = old.accounts[7].tokens = 3.0
    take_back(old, hand_over(old))
    assert old.accounts[7].tokens == had and not old.superseded
    assert actions_of_type(old.handle(2 * SECOND, arrival(9, plan=3)), it.SendAttempt)


async def test_where_such_sockets_are_refused_the_hand_over_is_off_with_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def refuse(*args: Any) -> socket.socket:
        raise OSError(errno.ENOSYS, os.strerror(errno.ENOSYS))

    names = {name: getattr(socket, name) for name in ("AF_UNIX", "SOCK_STREAM", "SOCK_NONBLOCK")}
    monkeypatch.setattr(handover, "socket", SimpleNamespace(socket=refuse, **names))
    rest: Any = None
    offer = handover.HandoverOffer(
        tmp_path / SOCKET, rest, rest, rest, rest, rest, rest, lambda: None
    )
    offer.open()
    assert await handover.HandoverClaim.find(tmp_path / SOCKET) is None
    await offer.stop()
    assert len(caplog.records) == 1 and "no other process can take over" in caplog.text
