"""End to end: requests through a real ingress that gets its servers from a failing list service."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

from cairndale.discovery.state import PROMOTION_VERSION_GAP
from tests.testing.discovery import HOST, ROOT, STARTED_PROCESSES, DiscoveryProcess, call
from tests.testing.ingress import OK, RAW, Peer, PeerServer, read_answer, reply_with, request

DRAIN_GRACE = 0.25  # s after the ingress has received a drain


class Ingress:
    """An ingress process that watches the given ports of list services, and a load of requests."""

    def __init__(self, folder: Path, *addresses: int) -> None:
        self.folder, self.addresses = folder, [f"{HOST}:{port}" for port in addresses]
        self.outcomes: Counter[bytes] = Counter()
        self.failures: list[BaseException] = []
        self.sent = self.retried = 0
        self._load: list[asyncio.Task[None]] = []

    async def start(self, fresh_folder: bool = True) -> None:
        """Starts a process. With `fresh_folder=False` it takes over from one that runs in the
        folder."""
        self.folder.mkdir(exist_ok=not fresh_folder)
        first, *more_addresses = self.addresses
        config = {
            "name": "n0",
            "listen": f"{HOST}:0",
            "ops": f"{HOST}:0",
            "seed": "8c1f",
            "limits": {},
            "discovery": first,
            "settings": RAW | {"domain": {"may_count": False}},
        }
        if more_addresses:
            config["directory"] = {"addresses": more_addresses}
        (self.folder / "config.json").write_text(json.dumps(config))
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        env |= {"EDGE_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder)}
        self.name = "log.txt" if fresh_folder else "log-2.txt"
        self.log = (self.folder / self.name).open("w")
        command = [sys.executable, "-m", "cairndale.ingress"]
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stderr=self.log, text=True)
        STARTED_PROCESSES.append(self.process)
        async with asyncio.timeout(60):
            while "operators' calls on" not in self.log_text():
                await asyncio.sleep(0.01)
        lines = self.log_text().splitlines()
        self.port, self.ops = (
            int(next(line for line in lines if label in line).rpartition(":")[2])
            for label in ("listening on", "operators' calls on")
        )

    def log_text(self) -> str:
        return (self.folder / self.name).read_text()

    async def wait_for_status(self, **expected: Any) -> dict[str, Any]:
        async with asyncio.timeout(60):
            while True:
                _, status = await call(self.ops, "GET", "/discovery")
                if all(status[key] == value for key, value in expected.items()):
                    return dict(status)
                await asyncio.sleep(0.02)

    def start_load(self) -> None:
        self._load = [asyncio.create_task(self._send_requests(n)) for n in range(4)]

    async def _send_requests(self, worker: int) -> None:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        while True:
            self.sent += 1
            number = self.sent
            request_bytes = request(f"r{number}", Cookie=f"customer={number:016x}")
            try:
                writer.write(request_bytes)
                answer = await read_answer(reader)
            # The connection was closed between requests: retry once.
            except (OSError, asyncio.IncompleteReadError):
                self.retried += 1
                writer.close()
                try:
                    reader, writer = await asyncio.open_connection(HOST, self.port)
                    writer.write(request_bytes)
                    answer = await read_answer(reader)
                except (OSError, asyncio.IncompleteReadError) as error:
                    self.failures.append(error)
                    return
            self.outcomes[answer.split()[1]] += 1
            await asyncio.sleep(0.005)

    async def wait_for_answers(self, count: int = 40) -> None:
        """Waits until this many more requests have been answered."""
        until = self.outcomes.total() + count
        async with asyncio.timeout(60):
            while self.outcomes.total() < until and not self.failures:
                await asyncio.sleep(0.01)

    async def stop(self) -> None:
        for task in self._load:
            task.cancel()
        await asyncio.gather(*self._load, return_exceptions=True)
        self.process.terminate()
        assert await asyncio.to_thread(self.process.wait, 30) == 0
        self.log.close()
        assert "Traceback" not in self.log_text()


async def test_no_request_fails_and_drained_servers_get_none_while_the_service_fails(
    tmp_path: Path,
) -> None:
    request_counts: Counter[int] = Counter()
    servers: list[PeerServer] = []

    def counting_peer(number: int) -> Any:
        answer = reply_with(OK)

        def count_requests(peer: Peer) -> None:
            request_counts[number] += peer.data.count(b"\r\n\r\n")
            answer(peer)

        return count_requests

    for number in range(5):
        servers.append(await PeerServer(counting_peer(number)).start())
    leader = await DiscoveryProcess(tmp_path / "one").start()
    follower = await DiscoveryProcess(
        tmp_path / "two", extra_config={"follow": f"{HOST}:{leader.reads}"}
    ).start()
    for number in range(4):
        await leader.register(f"s-{number}", servers[number].port)
    await follower.wait_for_status(index=4)
    ingress = Ingress(tmp_path / "ingress", leader.reads, follower.reads)
    await ingress.start()
    await ingress.wait_for_status(servers=4, at=f"{HOST}:{leader.reads}")
    ingress.start_load()
    await ingress.wait_for_answers()
    drained: dict[int, int] = {}  # by server: its requests until the drain took effect

    async def drain(program: DiscoveryProcess, number: int) -> None:
        status, answer = await program.call("POST", f"/servers/s-{number}/drain")
        assert status == 200
        await ingress.wait_for_status(index=answer["version"])
        await asyncio.sleep(DRAIN_GRACE)
        drained[number] = request_counts[number]

    await drain(leader, 0)
    # The leader is killed: the ingress watches the next address from the version that it has. The
    # leader is started again, and replication goes on.
    await leader.stop(signal.SIGKILL)
    await ingress.wait_for_status(at=f"{HOST}:{follower.reads}")
    await ingress.wait_for_answers()
    await leader.start()
    await leader.wait_for_status(index=5)
    await follower.wait_for_status(index=5)
    await drain(leader, 1)
    # The leader is stopped and the follower promoted while the ingress watches the follower; the
    # drain comes from the new leader.
    leader.send_signal(signal.SIGSTOP)
    assert (await follower.call("POST", "/promote"))[0] == 200
    await drain(follower, 2)
    assert (await ingress.wait_for_status(epoch=2))["index"] == 7 + PROMOTION_VERSION_GAP
    leader.send_signal(signal.SIGCONT)
    await leader.wait_for_status(role="deposed")
    await follower.register("s-4", servers[4].port)
    await ingress.wait_for_status(index=8 + PROMOTION_VERSION_GAP)
    before = request_counts[4]
    await ingress.wait_for_answers(80)
    assert request_counts[4] > before
    # Both are killed: the ingress works with its last list. A service that comes back empty at the
    # same address does not empty that list.
    await leader.stop(signal.SIGKILL)
    await follower.stop(signal.SIGKILL)
    await ingress.wait_for_answers()
    shutil.rmtree(follower.folder / "data")
    follower.extra_config = {}
    await follower.start()
    status = await ingress.wait_for_status(index=0)
    assert status["servers"] == 5 and len(status["kept"]) == 5
    await ingress.wait_for_answers()
    # A server that was draining before registers with the wiped service: it stays draining.
    await follower.register("s-2", servers[2].port)
    await ingress.wait_for_status(index=1)
    await ingress.wait_for_answers()
    await ingress.stop()
    assert (
        ingress.failures == [] and ingress.retried == 0 and ingress.outcomes.keys() == {b"200"}
    ), ingress.outcomes
    assert {number: request_counts[number] for number in drained} == drained
    await follower.stop()
    for server in servers:
        server.stop()


async def test_a_drain_known_only_to_the_failed_leader_survives_failover_and_upgrade(
    tmp_path: Path,
) -> None:
    """The follower lags at the failover. The ingress has received the drain, and is replaced by a
    new process."""
    servers = [await PeerServer(reply_with(OK)).start() for _ in range(3)]
    leader = await DiscoveryProcess(tmp_path / "one").start()
    follower = await DiscoveryProcess(
        tmp_path / "two", extra_config={"follow": f"{HOST}:{leader.reads}"}
    ).start()
    for number, server in enumerate(servers):
        await leader.register(f"s-{number}", server.port)
    await follower.wait_for_status(index=3)
    ingress = Ingress(tmp_path / "ingress", leader.reads, follower.reads)
    await ingress.start()
    await ingress.wait_for_status(servers=3)
    ingress.start_load()
    await ingress.wait_for_answers()
    await follower.stop(signal.SIGKILL)
    assert (await leader.call("POST", "/servers/s-0/drain"))[0] == 200
    assert (await leader.call("DELETE", "/servers/s-1"))[0] == 200
    await ingress.wait_for_status(index=5)
    for server in servers[:2]:
        await server.wait_until(lambda server=server: len(server.closed) == len(server.peers))  # type: ignore[misc]
    peer_counts = [len(server.peers) for server in servers]
    await leader.stop(signal.SIGKILL)
    await follower.start()
    await follower.wait_for_status(index=3)
    assert (await follower.call("POST", "/promote"))[0] == 200
    await ingress.wait_for_status(epoch=2)
    await ingress.wait_for_answers()
    successor = Ingress(tmp_path / "ingress", leader.reads, follower.reads)
    await successor.start(fresh_folder=False)
    assert "nothing taken over" not in successor.log_text()
    await successor.wait_for_status(epoch=2, servers=2)
    await ingress.stop()
    successor.start_load()
    await successor.wait_for_answers()
    await successor.stop()
    assert [len(server.peers) for server in servers[:2]] == peer_counts[:2]
    for process in (ingress, successor):
        assert process.failures == [] and process.outcomes.keys() == {b"200"}, (
            process.failures,
            process.outcomes,
        )
    await follower.stop()
    for server in servers:
        server.stop()


async def test_an_ingress_switches_from_a_stopped_leader_to_the_follower(tmp_path: Path) -> None:
    server = await PeerServer(reply_with(OK)).start()
    leader = await DiscoveryProcess(tmp_path / "one").start()
    follower = await DiscoveryProcess(
        tmp_path / "two", extra_config={"follow": f"{HOST}:{leader.reads}"}
    ).start()
    await leader.register("s-0", server.port)
    await follower.wait_for_status(index=1)
    ingress = Ingress(tmp_path / "ingress", leader.reads, follower.reads)
    await ingress.start()
    await ingress.wait_for_status(at=f"{HOST}:{leader.reads}", servers=1)
    ingress.start_load()
    leader.send_signal(signal.SIGSTOP)
    await ingress.wait_for_status(at=f"{HOST}:{follower.reads}")
    await ingress.wait_for_answers()
    assert f"discovery: receiving updates from {HOST}:{leader.reads}" in ingress.log_text()
    await ingress.stop()
    assert ingress.failures == [] and ingress.retried == 0 and ingress.outcomes.keys() == {b"200"}
    leader.send_signal(signal.SIGCONT)
    await leader.stop()
    await follower.stop()
    server.stop()


async def test_an_ingress_without_directory_settings_works_with_the_service(tmp_path: Path) -> None:
    """The ingress has one address, and uses no more than PROTOCOL defines."""
    servers = [await PeerServer(reply_with(OK)).start() for _ in range(2)]
    service = await DiscoveryProcess(tmp_path / "one").start()
    ingress = Ingress(tmp_path / "ingress", service.reads)
    await ingress.start()
    await service.register("s-0", servers[0].port)
    await ingress.wait_for_status(index=1)
    ingress.start_load()
    await ingress.wait_for_answers()
    await service.stop(signal.SIGKILL)
    await service.start()
    await service.register("s-1", servers[1].port)
    await ingress.wait_for_status(index=2)
    await service.call("DELETE", "/servers/s-0")
    await ingress.wait_for_status(index=3)
    await servers[0].wait_until(lambda: len(servers[0].closed) == len(servers[0].peers) > 0)
    await ingress.wait_for_answers()
    assert len(servers[0].closed) == len(servers[0].peers) and servers[1].peers
    await ingress.stop()
    assert ingress.failures == [] and ingress.retried == 0 and ingress.outcomes.keys() == {b"200"}
    await service.stop()
    for server in servers:
        server.stop()
