"""End to end: real requests through a real ingress whose servers come from a list service that
fails."""

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

from cairndale.discovery.state import LEAP
from tests.testing.discovery import HOST, ROOT, STARTED, Program, call
from tests.testing.ingress import OK, RAW, Peer, PeerServer, read_answer, reply_with, request

GRACE = 0.25  # s after the news of a drain


class Ingress:
    """An ingress process that watches two addresses of the list service, and a load of requests on
    it."""

    def __init__(self, folder: Path, *addresses: int) -> None:
        self.folder, self.addresses = folder, [f"{HOST}:{port}" for port in addresses]
        self.outcomes: Counter[bytes] = Counter()
        self.lost: list[BaseException] = []
        self.sent = self.again = 0
        self._load: list[asyncio.Task[None]] = []

    async def start(self, anew: bool = True) -> None:
        """Or beside one that runs already in the folder, to take over from it."""
        self.folder.mkdir(exist_ok=not anew)
        first, *more = self.addresses
        config = {
            "name": "n0",
            "listen": f"{HOST}:0",
            "ops": f"{HOST}:0",
            "seed": "8c1f",
            "limits": {},
            "discovery": first,
            "settings": RAW | {"domain": {"may_count": False}},
        }
        if more:
            config["directory"] = {"addresses": more}
        (self.folder / "config.json").write_text(json.dumps(config))
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        env |= {"EDGE_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder)}
        self.name = "log.txt" if anew else "log-2.txt"
        self.log = (self.folder / self.name).open("w")
        command = [sys.executable, "-m", "cairndale.ingress"]
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stderr=self.log, text=True)
        STARTED.append(self.process)
        async with asyncio.timeout(60):
            while "operators' calls on" not in self.said():
                await asyncio.sleep(0.01)
        lines = self.said().splitlines()
        self.port, self.ops = (
            int(next(line for line in lines if what in line).rpartition(":")[2])
            for what in ("listening on", "operators' calls on")
        )

    def said(self) -> str:
        return (self.folder / self.name).read_text()

    async def until(self, **wanted: Any) -> dict[str, Any]:
        async with asyncio.timeout(60):
            while True:
                _, status = await call(self.ops, "GET", "/discovery")
                if all(status[key] == value for key, value in wanted.items()):
                    return dict(status)
                await asyncio.sleep(0.02)

    def load(self) -> None:
        self._load = [asyncio.create_task(self._ask(n)) for n in range(4)]

    async def _ask(self, worker: int) -> None:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        while True:
            self.sent += 1
            number = self.sent
            asked = request(f"r{number}", Cookie=f"customer={number:016x}")
            try:
                writer.write(asked)
                answer = await read_answer(reader)
            except (OSError, asyncio.IncompleteReadError):  # closed between requests: once more
                self.again += 1
                writer.close()
                try:
                    reader, writer = await asyncio.open_connection(HOST, self.port)
                    writer.write(asked)
                    answer = await read_answer(reader)
                except (OSError, asyncio.IncompleteReadError) as error:
                    self.lost.append(error)
                    return
            self.outcomes[answer.split()[1]] += 1
            await asyncio.sleep(0.005)

    async def more(self, count: int = 40) -> None:
        """That many more requests have been answered."""
        until = self.outcomes.total() + count
        async with asyncio.timeout(60):
            while self.outcomes.total() < until and not self.lost:
                await asyncio.sleep(0.01)

    async def end(self) -> None:
        for task in self._load:
            task.cancel()
        await asyncio.gather(*self._load, return_exceptions=True)
        self.process.terminate()
        assert await asyncio.to_thread(self.process.wait, 30) == 0
        self.log.close()
        assert "Traceback" not in self.said()


async def test_no_request_is_lost_and_no_drained_server_works_while_the_service_fails(
    tmp_path: Path,
) -> None:
    got: Counter[int] = Counter()
    servers: list[PeerServer] = []

    def counting(number: int) -> Any:
        answer = reply_with(OK)

        def heard(peer: Peer) -> None:
            got[number] += peer.data.count(b"\r\n\r\n")
            answer(peer)

        return heard

    for number in range(5):
        servers.append(await PeerServer(counting(number)).start())
    leader = await Program(tmp_path / "one").start()
    follower = await Program(tmp_path / "two", more={"follow": f"{HOST}:{leader.reads}"}).start()
    for number in range(4):
        await leader.register(f"s-{number}", servers[number].port)
    await follower.until(index=4)
    ingress = Ingress(tmp_path / "ingress", leader.reads, follower.reads)
    await ingress.start()
    await ingress.until(servers=4, at=f"{HOST}:{leader.reads}")
    ingress.load()
    await ingress.more()
    drained: dict[int, int] = {}  # a server, and how many requests it had had in time

    async def drain(program: Program, number: int) -> None:
        status, answer = await program.call("POST", f"/servers/s-{number}/drain")
        assert status == 200
        await ingress.until(index=answer["version"])
        await asyncio.sleep(GRACE)
        drained[number] = got[number]

    await drain(leader, 0)
    # Killed: the next address is watched, from the version held. It comes back, and what it is told
    # goes on.
    await leader.end(signal.SIGKILL)
    await ingress.until(at=f"{HOST}:{follower.reads}")
    await ingress.more()
    await leader.start()
    await leader.until(index=5)
    await follower.until(index=5)
    await drain(leader, 1)
    # Stopped, and failed over while the ingress watches the follower; the drain is told by the new
    # leader.
    leader.tell(signal.SIGSTOP)
    assert (await follower.call("POST", "/promote"))[0] == 200
    await drain(follower, 2)
    assert (await ingress.until(epoch=2))["index"] == 7 + LEAP
    leader.tell(signal.SIGCONT)
    await leader.until(role="deposed")
    await follower.register("s-4", servers[4].port)
    await ingress.until(index=8 + LEAP)
    before = got[4]
    await ingress.more(80)
    assert got[4] > before
    # Both gone: the last list is worked with. Back with nothing, at the same address: no list is
    # made empty.
    await leader.end(signal.SIGKILL)
    await follower.end(signal.SIGKILL)
    await ingress.more()
    shutil.rmtree(follower.folder / "data")
    follower.more = {}
    await follower.start()
    status = await ingress.until(index=0)
    assert status["servers"] == 5 and len(status["kept"]) == 5
    await ingress.more()
    # The wiped service hears of a server that drained under the one before: it goes on draining.
    await follower.register("s-2", servers[2].port)
    await ingress.until(index=1)
    await ingress.more()
    await ingress.end()
    assert ingress.lost == [] and ingress.again == 0 and ingress.outcomes.keys() == {b"200"}, (
        ingress.outcomes
    )
    assert {number: got[number] for number in drained} == drained
    await follower.end()
    for server in servers:
        server.stop()


async def test_a_drain_that_only_the_lost_leader_had_holds_over_failover_and_upgrade(
    tmp_path: Path,
) -> None:
    """The follower is behind at the failover; the ingress, which was told, is replaced by a new
    process."""
    servers = [await PeerServer(reply_with(OK)).start() for _ in range(3)]
    leader = await Program(tmp_path / "one").start()
    follower = await Program(tmp_path / "two", more={"follow": f"{HOST}:{leader.reads}"}).start()
    for number, server in enumerate(servers):
        await leader.register(f"s-{number}", server.port)
    await follower.until(index=3)
    ingress = Ingress(tmp_path / "ingress", leader.reads, follower.reads)
    await ingress.start()
    await ingress.until(servers=3)
    ingress.load()
    await ingress.more()
    await follower.end(signal.SIGKILL)
    assert (await leader.call("POST", "/servers/s-0/drain"))[0] == 200
    assert (await leader.call("DELETE", "/servers/s-1"))[0] == 200
    await ingress.until(index=5)
    for server in servers[:2]:
        await server.wait_until(lambda server=server: len(server.closed) == len(server.peers))  # type: ignore[misc]
    met = [len(server.peers) for server in servers]
    await leader.end(signal.SIGKILL)
    await follower.start()
    await follower.until(index=3)
    assert (await follower.call("POST", "/promote"))[0] == 200
    await ingress.until(epoch=2)
    await ingress.more()
    after = Ingress(tmp_path / "ingress", leader.reads, follower.reads)
    await after.start(anew=False)
    assert "nothing taken over" not in after.said()
    await after.until(epoch=2, servers=2)
    await ingress.end()
    after.load()
    await after.more()
    await after.end()
    assert [len(server.peers) for server in servers[:2]] == met[:2]
    for one in (ingress, after):
        assert one.lost == [] and one.outcomes.keys() == {b"200"}, (one.lost, one.outcomes)
    await follower.end()
    for server in servers:
        server.stop()


async def test_a_stopped_leader_is_left_for_the_follower(tmp_path: Path) -> None:
    server = await PeerServer(reply_with(OK)).start()
    leader = await Program(tmp_path / "one").start()
    follower = await Program(tmp_path / "two", more={"follow": f"{HOST}:{leader.reads}"}).start()
    await leader.register("s-0", server.port)
    await follower.until(index=1)
    ingress = Ingress(tmp_path / "ingress", leader.reads, follower.reads)
    await ingress.start()
    await ingress.until(at=f"{HOST}:{leader.reads}", servers=1)
    ingress.load()
    leader.tell(signal.SIGSTOP)
    await ingress.until(at=f"{HOST}:{follower.reads}")
    await ingress.more()
    assert f"discovery: receiving updates from {HOST}:{leader.reads}" in ingress.said()
    await ingress.end()
    assert ingress.lost == [] and ingress.again == 0 and ingress.outcomes.keys() == {b"200"}
    leader.tell(signal.SIGCONT)
    await leader.end()
    await follower.end()
    server.stop()


async def test_an_unchanged_ingress_works_with_the_service(tmp_path: Path) -> None:
    """Without `directory`: one address, and no more than PROTOCOL has."""
    servers = [await PeerServer(reply_with(OK)).start() for _ in range(2)]
    service = await Program(tmp_path / "one").start()
    ingress = Ingress(tmp_path / "ingress", service.reads)
    await ingress.start()
    await service.register("s-0", servers[0].port)
    await ingress.until(index=1)
    ingress.load()
    await ingress.more()
    await service.end(signal.SIGKILL)
    await service.start()
    await service.register("s-1", servers[1].port)
    await ingress.until(index=2)
    await service.call("DELETE", "/servers/s-0")
    await ingress.until(index=3)
    await servers[0].wait_until(lambda: len(servers[0].closed) == len(servers[0].peers) > 0)
    await ingress.more()
    assert len(servers[0].closed) == len(servers[0].peers) and servers[1].peers
    await ingress.end()
    assert ingress.lost == [] and ingress.again == 0 and ingress.outcomes.keys() == {b"200"}
    await service.end()
    for server in servers:
        server.stop()
