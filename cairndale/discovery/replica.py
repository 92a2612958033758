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
from cairndale.discovery.state import InvalidDataError, Record, State, decode_record, decode_state

LEADER_TIMEOUT = 6.0  # s with no line: three beats
RETRY_BACKOFF = (0.1, 2.0)  # s between tries: the first, the longest
CONNECT_TIMEOUT = 1.0
RESPONSE_TIMEOUT = 2.0
VERSION_POLL_INTERVAL = 1.0  # s between questions for the leader's version
MAX_PENDING_VERSIONS = 16  # answers whose versions are not held yet; of more the oldest is dropped
UNCONFIRMED_AGE = (
    10.0  # s of age at the least of a list whose leader was not heard: readers go elsewhere
)
MAX_RESPONSE_BYTES = 64 * 1024
MAX_LINE_BYTES = 64 * 1024 * 1024

log = logging.getLogger(__name__)


@dataclass(slots=True)
class ReplicationProgress:
    """What is known of the leader, and what a line of its means for the list held here."""

    last_received_at: float | None = None  # when the leader was last heard
    leader_index: int = 0
    leader_age: float = 0.0  # the leader may itself be a follower
    writes_at: str = ""
    behind_since: float | None = None
    started_at: float = 0.0
    current_as_of: float | None = None  # the list here is at least as the leader's at that time
    leader_supports_version_query: bool = (
        True  # the leader answers questions: it is no older program
    )
    # versions named, and sure of when
    _pending_versions: deque[tuple[int, float]] = field(default_factory=deque)

    def record_leader_version(
        self, state: State, index: int, epoch: int, lineage: str, current_as_of: float
    ) -> None:
        """The leader's answer: that version is as new as `sure_at`, when it was asked less its own
        age."""
        if (epoch, lineage) != (state.epoch, state.lineage):
            return  # the watch brings that list first
        self._pending_versions.append((index, current_as_of))
        if len(self._pending_versions) > MAX_PENDING_VERSIONS:
            self._pending_versions.popleft()

    def age(self, state: State, now: float) -> float:
        """s that the list here may be behind the leader's; of what an earlier process kept, it is a
        guess."""
        while self._pending_versions and self._pending_versions[0][0] <= state.index:
            current_as_of = self._pending_versions.popleft()[1]
            self.current_as_of = (
                current_as_of
                if self.current_as_of is None
                else max(self.current_as_of, current_as_of)
            )
        if not self.leader_supports_version_query and self.last_received_at is not None:
            return self.leader_age + now - self.last_received_at
        return (
            UNCONFIRMED_AGE + now - self.started_at
            if self.current_as_of is None
            else now - self.current_as_of
        )

    def receive(self, state: State, line: Any, now: float) -> State | Record | None:
        """A list to take as a whole, a record to add, or nothing; Broken if it must not be
        followed."""
        try:
            index, epoch, lineage = int(line["index"]), int(line["epoch"]), str(line["lineage"])
            if lineage != state.lineage and state.index > 0:
                raise InvalidDataError(
                    f"another list, {lineage}: an empty data folder could follow it"
                )
            if epoch < state.epoch and lineage == state.lineage:
                raise InvalidDataError(f"epoch {epoch} is past: {state.epoch} is held")
            received: State | Record | None = None
            if "state" in line:
                received = decode_state(line["state"], state.history_limit)
            elif "record" in line:
                received = decode_record(line["record"])
            elif index > state.index:
                raise InvalidDataError(f"version {index} with no record")
            self.leader_age = float(line.get("age_ms", 0)) / 1000
            self.writes_at = str(line.get("writes_at", self.writes_at))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise InvalidDataError(f"a line that cannot be read: {error!r}") from None
        # another leader: what the one before vouched for says nothing of its list
        if epoch != state.epoch:
            self._pending_versions.clear()
            self.current_as_of, self.started_at = None, now
        self.last_received_at, self.leader_index = now, index
        return received


class Replica:
    """What a process does about its leader: follows one, or tells one that it leads no longer, or
    neither."""

    def __init__(
        self, service: Service, leader: tuple[str, int] | None, deposed_leader: str = ""
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.service, self.leader = service, leader
        self.progress = ReplicationProgress(started_at=self._loop.time())
        self._deposed_leader = deposed_leader
        self._tasks: list[asyncio.Task[None]] = []
        if leader:
            service.role, service.promote = "follower", self.promote
            service.list_age = self.age
            service.extra_status = self.status

    def start(self) -> None:
        if self.leader:
            for loop in (self._follow_loop, self._poll_version_loop):
                self._tasks.append(self._loop.create_task(loop(*self.leader)))
        elif self._deposed_leader:
            self._tasks.append(
                self._loop.create_task(self._notify_deposed_leader(self._deposed_leader))
            )

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
        return self.progress.age(self.service.state, self._loop.time())

    def status(self) -> dict[str, Any]:
        if self.service.role != "follower":
            return {}
        now, progress = self._loop.time(), self.progress
        since_last_received = (
            None if progress.last_received_at is None else round(now - progress.last_received_at, 1)
        )
        behind = max(0, progress.leader_index - self.service.state.index)
        since = None if progress.behind_since is None else round(now - progress.behind_since, 1)
        age = math.ceil(self.age() * 1000) / 1000
        report = {
            "versions_behind": behind,
            "behind_for_s": since,
            "heard_s_ago": since_last_received,
            "age_s": age,
        }
        return {"follows": report}

    async def promote(self) -> None:
        deposed_leader = self.progress.writes_at
        await self.service.become_leader(deposed_leader)
        self.service.leader_at = ""
        await self.stop()
        self.leader, self._deposed_leader = None, deposed_leader
        self.start()

    async def _notify_deposed_leader(self, deposed_leader: str) -> None:
        """The leader before must learn of the epoch, however long it takes for it to come back."""
        state, wait = self.service.state, RETRY_BACKOFF[0]
        report = {"lineage": state.lineage, "epoch": state.epoch, "leader": self.service.writes_at}
        body = json.dumps(report).encode()
        host, _, port = deposed_leader.rpartition(":")
        request = (
            b"POST /depose HTTP/1.1\r\nHost: %b\r\nConnection: close\r\nContent-Length: "
            b"%d\r\n\r\n%b"
        )
        while True:
            try:
                response = await _request(
                    host, int(port), request % (deposed_leader.encode(), len(body), body)
                )
                # deposed, or of another list or epoch by now
                if response.split()[1:2] in ([b"200"], [b"409"]):
                    said = response.partition(b"\r\n")[0].decode("latin-1")
                    log.info("the leader before, at %s, was told: %s", deposed_leader, said)
                    return
            except (OSError, ValueError):  # TimeoutError is one of the first
                pass
            await asyncio.sleep(wait * random.uniform(0.5, 1.0))
            wait = min(2 * wait, RETRY_BACKOFF[1])

    async def _follow_loop(self, host: str, port: int) -> None:
        wait, said = RETRY_BACKOFF[0], ""
        while True:
            before = self.progress.last_received_at
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
            except InvalidDataError as error:
                reason = str(error)
            self.progress.behind_since = self.progress.behind_since or self._loop.time()
            if reason != said:  # once, however often it is tried
                log.warning("leader at %s:%d: %s", host, port, reason)
                said = reason
            if self.progress.last_received_at != before:
                wait, said = RETRY_BACKOFF[0], ""
            await asyncio.sleep(wait * random.uniform(0.5, 1.0))
            wait = min(2 * wait, RETRY_BACKOFF[1])

    async def _poll_version_loop(self, host: str, port: int) -> None:
        request = (
            f"GET /discovery/version HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n\r\n"
        ).encode()
        while True:
            requested_at = self._loop.time()
            with contextlib.suppress(OSError, ValueError, KeyError, TypeError, IndexError):
                head, _, body = (await _request(host, port, request)).partition(b"\r\n\r\n")
                status = head.split()[1]
                self.progress.leader_supports_version_query = status != b"404"
                if status == b"200":
                    said = json.loads(body)
                    leader_version = int(said["index"]), int(said["epoch"]), str(said["lineage"])
                    current_as_of = requested_at - float(said["age_ms"]) / 1000
                    self.progress.record_leader_version(
                        self.service.state, *leader_version, current_as_of
                    )
            await asyncio.sleep(VERSION_POLL_INTERVAL * random.uniform(0.5, 1.0))

    async def _follow_once(self, host: str, port: int) -> None:
        state = self.service.state
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            position = f"from={state.index}&epoch={state.epoch}&lineage={state.lineage}"
            target = f"/discovery/hosts?watch=1&follow=1&{position}"
            writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
            response = WatchResponse()
            while not response.complete:
                async with asyncio.timeout(LEADER_TIMEOUT):
                    data = await reader.read(64 * 1024)
                if not data:
                    return
                response.parser.feed_data(data)
                if response.parser.get_status_code() != 200:
                    raise ValueError(f"not a watch: {response.parser.get_status_code()}")
                received, response.lines = response.lines, []
                for line in received:
                    await self._apply_line(line)
        finally:
            writer.transport.abort()

    async def _apply_line(self, line: bytes) -> None:
        if not line.strip():
            return
        state, progress = self.service.state, self.progress
        new = progress.receive(state, json.loads(line), self._loop.time())
        self.service.leader_at = progress.writes_at
        if isinstance(new, State):
            if state.epoch < new.epoch and state.index > 0:
                log.warning(
                    "epoch %d in place of %d: what only it held is dropped", new.epoch, state.epoch
                )
            await self._store([], new)
        elif isinstance(new, Record):
            await self._store([new], None)
        progress.behind_since = None

    async def _store(self, records: list[Record], full_state: State | None) -> None:
        try:
            await self.service.replicate(records, full_state)
        except OSError as error:
            raise ValueError(f"not kept: {error.strerror}") from None


async def _request(host: str, port: int, request: bytes) -> bytes:
    """The whole answer, of one that is asked to close."""
    async with asyncio.timeout(RESPONSE_TIMEOUT):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(request)
            response = b""
            while (data := await reader.read(MAX_RESPONSE_BYTES)) and len(
                response
            ) <= MAX_RESPONSE_BYTES:
                response += data
            return response
        finally:
            writer.close()


class WatchResponse:
    """What has come of the watch, in lines."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.lines: list[bytes] = []
        self.complete = False
        self._partial_line = b""

    def on_body(self, part: bytes) -> None:
        *lines, self._partial_line = (self._partial_line + part).split(b"\n")
        self.lines += lines
        if len(self._partial_line) > MAX_LINE_BYTES:
            raise ValueError("too long a line")

    def on_message_complete(self) -> None:
        self.complete = True
