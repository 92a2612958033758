"""A follower of the list service: watches its leader, commits the changes that it receives, and can
be promoted.

The age of the follower's list is derived from queries of its own. A line of the watch may be
delayed in the network, or wait for the follower's disk, so its arrival says nothing about its age.
The version that the leader answers to a query was current when the query was sent, so once the
follower has committed that version, its list is no older than the query.

`ReplicationProgress` is free of I/O; `Replica` owns the connections.
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

from cairndale.discovery.service import Service
from cairndale.discovery.state import (
    DECODING_ERRORS,
    InvalidDataError,
    Record,
    State,
    decode_record,
    decode_state,
)
from cairndale.ingress.net.http import LineReader, Response, ResponseReader, call, encode_call

LEADER_TIMEOUT = 6.0  # s without a line: three heartbeat intervals
RETRY_BACKOFF = (0.1, 2.0)  # s between attempts: the first, the longest
CONNECT_TIMEOUT = 1.0  # s
RESPONSE_TIMEOUT = 2.0  # s
VERSION_POLL_INTERVAL = 1.0  # s
MAX_PENDING_VERSIONS = 16  # leader versions not committed here yet; beyond, the oldest is dropped
# s: minimum age of a list that no query has confirmed yet. It makes readers go elsewhere.
UNCONFIRMED_AGE = 10.0
MAX_RESPONSE_BYTES = 64 * 1024
MAX_LINE_BYTES = 64 * 1024 * 1024

log = logging.getLogger(__name__)


@dataclass(slots=True)
class ReplicationProgress:
    """What the follower knows of its leader, and how old its own list may be."""

    last_received_at: float | None = None  # when the last line came from the leader
    leader_index: int = 0
    leader_age: float = 0.0  # the leader may itself be a follower
    writes_at: str = ""
    behind_since: float | None = None
    started_at: float = 0.0
    current_as_of: float | None = None  # the list is no older than the leader's at this time
    leader_supports_version_query: bool = True  # False: the leader is an older release
    # versions answered by the leader, each with the time at which it was current
    _pending_versions: deque[tuple[int, float]] = field(default_factory=deque)

    def record_leader_version(
        self, state: State, index: int, epoch: int, lineage: str, current_as_of: float
    ) -> None:
        """Notes the leader's answer to a query: its list is at this version, and was current at
        `current_as_of`, the time of the query less the age of the leader's list."""
        if (epoch, lineage) != (state.epoch, state.lineage):
            return  # the watch has to bring that list first
        self._pending_versions.append((index, current_as_of))
        if len(self._pending_versions) > MAX_PENDING_VERSIONS:
            self._pending_versions.popleft()

    def age(self, state: State, now: float) -> float:
        """Returns the seconds that the list may be behind the leader's. Until a query has confirmed
        the list that was on disk at the start, this is an estimate."""
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
        """Decodes a line of the watch.

        Returns a full state to take over, a record to apply, or None. Raises InvalidDataError if
        the list must not be followed."""
        try:
            index, epoch, lineage = int(line["index"]), int(line["epoch"]), str(line["lineage"])
            if lineage != state.lineage and state.index > 0:
                raise InvalidDataError(
                    f"another lineage, {lineage}: only an empty data folder can follow it"
                )
            if epoch < state.epoch and lineage == state.lineage:
                raise InvalidDataError(f"epoch {epoch} is older than the local epoch {state.epoch}")
            received: State | Record | None = None
            if "state" in line:
                received = decode_state(line["state"], state.history_limit)
            elif "record" in line:
                received = decode_record(line["record"])
            elif index > state.index:
                raise InvalidDataError(f"version {index} without a record")
            self.leader_age = _age_s(line.get("age_ms", 0))
            self.writes_at = str(line.get("writes_at", self.writes_at))
        except DECODING_ERRORS as error:
            raise InvalidDataError(f"malformed line: {error!r}") from None
        # With another leader, answers of the one before say nothing about its list.
        if epoch != state.epoch:
            self._pending_versions.clear()
            self.current_as_of, self.started_at = None, now
        self.last_received_at, self.leader_index = now, index
        return received


class Replica:
    """The connections of a replica to other replicas: a follower's to its leader, or a promoted
    replica's to the leader that it deposed."""

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
        """Starts following the leader, or notifying the deposed one."""
        if self.leader:
            for run in (self._follow_loop, self._poll_version_loop):
                self._tasks.append(self._loop.create_task(run(*self.leader)))
        elif self._deposed_leader:
            self._tasks.append(
                self._loop.create_task(self._notify_deposed_leader(self._deposed_leader))
            )

    async def stop(self) -> None:
        """Stops all tasks."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def age(self) -> float:
        """Returns the seconds that the list may be behind the leader's; 0 on a leader."""
        if self.service.role != "follower":
            return 0.0
        return self.progress.age(self.service.state, self._loop.time())

    def status(self) -> dict[str, Any]:
        """Returns a follower's part of the status."""
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
        """Makes this follower the leader, and deposes the leader that it followed."""
        deposed_leader = self.progress.writes_at
        await self.service.become_leader(deposed_leader)
        self.service.leader_address = ""
        await self.stop()
        self.leader, self._deposed_leader = None, deposed_leader
        self.start()

    async def _notify_deposed_leader(self, deposed_leader: str) -> None:
        """Notifies the former leader of the new epoch, retrying until it is reachable."""
        state, delay = self.service.state, RETRY_BACKOFF[0]
        notice = {"lineage": state.lineage, "epoch": state.epoch, "leader": self.service.writes_at}
        body = json.dumps(notice).encode()
        host, _, port = deposed_leader.rpartition(":")
        request = encode_call("POST", "/depose", deposed_leader, body)
        while True:
            try:
                response = await _call(host, int(port), request)
                # 409: the former leader is at a later epoch or of another lineage by now.
                if response.status in (200, 409):
                    log.info("former leader at %s notified: %d", deposed_leader, response.status)
                    return
            except (OSError, ValueError):  # TimeoutError is an OSError
                pass
            await asyncio.sleep(delay * random.uniform(0.5, 1.0))
            delay = min(2 * delay, RETRY_BACKOFF[1])

    async def _follow_loop(self, host: str, port: int) -> None:
        delay, logged_reason = RETRY_BACKOFF[0], ""
        while True:
            before = self.progress.last_received_at
            try:
                await self._follow_once(host, port)
                reason = "watch ended"
            except (OSError, ValueError) as error:
                reason = str(error) or "timed out"
            except InvalidDataError as error:
                reason = str(error)
            self.progress.behind_since = self.progress.behind_since or self._loop.time()
            if reason != logged_reason:  # one line for repeated failures
                log.warning("leader at %s:%d: %s", host, port, reason)
                logged_reason = reason
            if self.progress.last_received_at != before:
                delay, logged_reason = RETRY_BACKOFF[0], ""
            await asyncio.sleep(delay * random.uniform(0.5, 1.0))
            delay = min(2 * delay, RETRY_BACKOFF[1])

    async def _poll_version_loop(self, host: str, port: int) -> None:
        request = encode_call("GET", "/discovery/version", f"{host}:{port}")
        while True:
            requested_at = self._loop.time()
            with contextlib.suppress(OSError, InvalidDataError, *DECODING_ERRORS):
                response = await _call(host, port, request)
                self.progress.leader_supports_version_query = response.status != 404
                if response.status == 200:
                    answer = _decode_json(response.body)
                    leader_version = (
                        int(answer["index"]),
                        int(answer["epoch"]),
                        str(answer["lineage"]),
                    )
                    current_as_of = requested_at - _age_s(answer["age_ms"])
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
            response, lines = ResponseReader(), LineReader(MAX_LINE_BYTES)
            while not response.complete:
                async with asyncio.timeout(LEADER_TIMEOUT):
                    data = await reader.read(64 * 1024)
                if not data:
                    return
                body = response.feed(data)
                if response.status not in (0, 200):
                    raise ValueError(f"watch rejected with status {response.status}")
                for line in lines.feed(body):
                    await self._apply_line(line)
        finally:
            writer.transport.abort()

    async def _apply_line(self, line: bytes) -> None:
        if not line.strip():
            return
        state, progress = self.service.state, self.progress
        new = progress.receive(state, _decode_json(line), self._loop.time())
        self.service.leader_address = progress.writes_at
        if isinstance(new, State):
            if state.epoch < new.epoch and state.index > 0:
                log.warning(
                    "epoch %d replaces %d: writes that only the local epoch had are dropped",
                    new.epoch,
                    state.epoch,
                )
            await self._commit([], new)
        elif isinstance(new, Record):
            await self._commit([new], None)
        progress.behind_since = None

    async def _commit(self, records: list[Record], full_state: State | None) -> None:
        try:
            await self.service.replicate(records, full_state)
        except OSError as error:
            raise ValueError(f"not committed: {error.strerror}") from None


def _decode_json(text: bytes) -> Any:
    """Raises InvalidDataError, also for text that is nested too deeply to be read."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        raise InvalidDataError(f"not JSON: {error}") from None


def _age_s(age_ms: Any) -> float:
    """Returns the age in seconds; raises ValueError if it is not finite, or negative."""
    age = float(age_ms) / 1000
    if not 0 <= age < math.inf:
        raise ValueError(f"age {age} s is out of range")
    return age


async def _call(host: str, port: int, request: bytes) -> Response:
    async with asyncio.timeout(RESPONSE_TIMEOUT):
        return await call(host, port, request, MAX_RESPONSE_BYTES)
