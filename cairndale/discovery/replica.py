"""A follower: watches its leader, keeps what it is told as its own list, and can be promoted.

How old its list may be it tells from questions of its own: a line may be long on its way, or wait
here for the disk, but the version that the leader names when it is asked is, once it is held here,
no older than the question.

`Following` decides, from lines, answers and `now`; `Replica` is its connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import math
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import httptools

from cairndale.discovery.service import Service
from cairndale.discovery.state import Broken, Record, State, record_from, state_from

SILENT = 6.0  # s with no line: three beats
BACK_OFF = (0.1, 2.0)  # s between tries: the first, the longest
CONNECT_TIMEOUT = 1.0
ANSWER_TIMEOUT = 2.0
PULSE = 1.0  # s between questions for the leader's version
PULSES = 16  # answers whose versions are not held yet; of more the oldest is dropped
UNHEARD = 10.0  # s of age at the least of a list whose leader was not heard: readers go elsewhere
MAX_ANSWER = 64 * 1024
MAX_LINE = 64 * 1024 * 1024

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Following:
    """What is known of the leader, and what a line of its means for the list held here."""

    heard_at: float | None = None  # when the leader was last heard
    leader_index: int = 0
    leader_age: float = 0.0  # the leader may itself be a follower
    writes_at: str = ""
    behind_since: float | None = None
    begun: float = 0.0
    sure_at: float | None = None  # the list here is at least as the leader's at that time
    asks: bool = True  # the leader answers questions: it is no older program
    # versions named, and sure of when
    _pulses: deque[tuple[int, float]] = field(default_factory=deque)

    def named(self, held: State, index: int, epoch: int, lineage: str, sure_at: float) -> None:
        """The leader's answer: that version is as new as `sure_at`, when it was asked less its own
        age."""
        if (epoch, lineage) != (held.epoch, held.lineage):
            return  # the watch brings that list first
        self._pulses.append((index, sure_at))
        if len(self._pulses) > PULSES:
            self._pulses.popleft()

    def age(self, held: State, now: float) -> float:
        """s that the list here may be behind the leader's; of what an earlier process kept, it is a
        guess."""
        while self._pulses and self._pulses[0][0] <= held.index:
            sure_at = self._pulses.popleft()[1]
            self.sure_at = sure_at if self.sure_at is None else max(self.sure_at, sure_at)
        if not self.asks and self.heard_at is not None:
            return self.leader_age + now - self.heard_at
        return UNHEARD + now - self.begun if self.sure_at is None else now - self.sure_at

    def hear(self, held: State, line: Any, now: float) -> State | Record | None:
        """A list to take as a whole, a record to add, or nothing; Broken if it must not be
        followed."""
        try:
            index, epoch, lineage = int(line["index"]), int(line["epoch"]), str(line["lineage"])
            if lineage != held.lineage and held.index > 0:
                raise Broken(f"another list, {lineage}: an empty data folder could follow it")
            if epoch < held.epoch and lineage == held.lineage:
                raise Broken(f"epoch {epoch} is past: {held.epoch} is held")
            found: State | Record | None = None
            if "state" in line:
                found = state_from(line["state"], held.history)
            elif "record" in line:
                found = record_from(line["record"])
            elif index > held.index:
                raise Broken(f"version {index} with no record")
            self.leader_age = float(line.get("age_ms", 0)) / 1000
            self.writes_at = str(line.get("writes_at", self.writes_at))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise Broken(f"a line that cannot be read: {error!r}") from None
        # another leader: what the one before vouched for says nothing of its list
        if epoch != held.epoch:
            self._pulses.clear()
            self.sure_at, self.begun = None, now
        self.heard_at, self.leader_index = now, index
        return found


class Replica:
    """What a process does about its leader: follows one, or tells one that it leads no longer, or
    neither."""

    def __init__(self, service: Service, leader: tuple[str, int] | None, deposes: str = "") -> None:
        self._loop = asyncio.get_running_loop()
        self.service, self.leader = service, leader
        self.following = Following(begun=self._loop.time())
        self._deposes = deposes
        self._tasks: list[asyncio.Task[None]] = []
        if leader:
            service.role, service.promote = "follower", self.promote
            service.age = self.age
            service.more_status = self.status

    def start(self) -> None:
        if self.leader:
            for run in (self._keep_following, self._keep_asking):
                self._tasks.append(self._loop.create_task(run(*self.leader)))
        elif self._deposes:
            self._tasks.append(self._loop.create_task(self._tell_deposed(self._deposes)))

    async def stop(self) -> None:
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def age(self) -> float:
        """s that the list here may be behind the leader's."""
        if self.service.role != "follower":
            return 0.0
        return self.following.age(self.service.state, self._loop.time())

    def status(self) -> dict[str, Any]:
        if self.service.role != "follower":
            return {}
        now, following = self._loop.time(), self.following
        heard = None if following.heard_at is None else round(now - following.heard_at, 1)
        behind = max(0, following.leader_index - self.service.state.index)
        since = None if following.behind_since is None else round(now - following.behind_since, 1)
        age = math.ceil(self.age() * 1000) / 1000
        told = {
            "versions_behind": behind,
            "behind_for_s": since,
            "heard_s_ago": heard,
            "age_s": age,
        }
        return {"follows": told}

    async def promote(self) -> None:
        old = self.following.writes_at
        await self.service.lead(old)
        self.service.leader_at = ""
        await self.stop()
        self.leader, self._deposes = None, old
        self.start()

    async def _tell_deposed(self, old: str) -> None:
        """The leader before must learn of the epoch, however long it takes for it to come back."""
        state, wait = self.service.state, BACK_OFF[0]
        told = {"lineage": state.lineage, "epoch": state.epoch, "leader": self.service.writes_at}
        body = json.dumps(told).encode()
        host, _, port = old.rpartition(":")
        call = (
            b"POST /depose HTTP/1.1\r\nHost: %b\r\nConnection: close\r\nContent-Length: "
            b"%d\r\n\r\n%b"
        )
        while True:
            try:
                answer = await _ask(host, int(port), call % (old.encode(), len(body), body))
                # deposed, or of another list or epoch by now
                if answer.split()[1:2] in ([b"200"], [b"409"]):
                    said = answer.partition(b"\r\n")[0].decode("latin-1")
                    log.info("the leader before, at %s, was told: %s", old, said)
                    return
            except (OSError, ValueError):  # TimeoutError is one of the first
                pass
            await asyncio.sleep(wait * random.uniform(0.5, 1.0))
            wait = min(2 * wait, BACK_OFF[1])

    async def _keep_following(self, host: str, port: int) -> None:
        wait, said = BACK_OFF[0], ""
        while True:
            before = self.following.heard_at
            try:
                await self._follow_once(host, port)
                reason = "its watch ended"
            except (
                OSError,
                httptools.HttpParserError,
                httptools.HttpParserUpgrade,
                ValueError,
            ) as error:
                reason = str(error) or "silent"
            except Broken as error:
                reason = str(error)
            self.following.behind_since = self.following.behind_since or self._loop.time()
            if reason != said:  # once, however often it is tried
                log.warning("leader at %s:%d: %s", host, port, reason)
                said = reason
            if self.following.heard_at != before:
                wait, said = BACK_OFF[0], ""
            await asyncio.sleep(wait * random.uniform(0.5, 1.0))
            wait = min(2 * wait, BACK_OFF[1])

    async def _keep_asking(self, host: str, port: int) -> None:
        call = (
            f"GET /discovery/version HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n\r\n"
        ).encode()
        while True:
            asked = self._loop.time()
            with contextlib.suppress(OSError, ValueError, KeyError, TypeError, IndexError):
                head, _, body = (await _ask(host, port, call)).partition(b"\r\n\r\n")
                status = head.split()[1]
                self.following.asks = status != b"404"
                if status == b"200":
                    said = json.loads(body)
                    named = int(said["index"]), int(said["epoch"]), str(said["lineage"])
                    sure_at = asked - float(said["age_ms"]) / 1000
                    self.following.named(self.service.state, *named, sure_at)
            await asyncio.sleep(PULSE * random.uniform(0.5, 1.0))

    async def _follow_once(self, host: str, port: int) -> None:
        state = self.service.state
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            held = f"from={state.index}&epoch={state.epoch}&lineage={state.lineage}"
            target = f"/discovery/hosts?watch=1&follow=1&{held}"
            writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
            answer = Answer()
            while not answer.complete:
                async with asyncio.timeout(SILENT):
                    data = await reader.read(64 * 1024)
                if not data:
                    return
                answer.parser.feed_data(data)
                if answer.parser.get_status_code() != 200:
                    raise ValueError(f"not a watch: {answer.parser.get_status_code()}")
                found, answer.lines = answer.lines, []
                for line in found:
                    await self._told(line)
        finally:
            writer.transport.abort()

    async def _told(self, line: bytes) -> None:
        if not line.strip():
            return
        held, following = self.service.state, self.following
        new = following.hear(held, json.loads(line), self._loop.time())
        self.service.leader_at = following.writes_at
        if isinstance(new, State):
            if held.epoch < new.epoch and held.index > 0:
                log.warning(
                    "epoch %d in place of %d: what only it held is dropped", new.epoch, held.epoch
                )
            await self._keep([], new)
        elif isinstance(new, Record):
            await self._keep([new], None)
        following.behind_since = None

    async def _keep(self, records: list[Record], whole: State | None) -> None:
        try:
            await self.service.copy(records, whole)
        except OSError as error:
            raise ValueError(f"not kept: {error.strerror}") from None


async def _ask(host: str, port: int, call: bytes) -> bytes:
    """The whole answer, of one that is asked to close."""
    async with asyncio.timeout(ANSWER_TIMEOUT):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(call)
            answer = b""
            while (data := await reader.read(MAX_ANSWER)) and len(answer) <= MAX_ANSWER:
                answer += data
            return answer
        finally:
            writer.close()


class Answer:
    """What has come of the watch, in lines."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.lines: list[bytes] = []
        self.complete = False
        self._rest = b""

    def on_body(self, part: bytes) -> None:
        *lines, self._rest = (self._rest + part).split(b"\n")
        self.lines += lines
        if len(self._rest) > MAX_LINE:
            raise ValueError("too long a line")

    def on_message_complete(self) -> None:
        self.complete = True
