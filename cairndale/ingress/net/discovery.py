"""The watch on the list of backends: opened from the version held, and anew when it ends or falls
silent.

With a `directory` in the configuration the list comes from one of several addresses of the list
service, and `Held` decides what of it is taken; without, whatever the platform's discovery says is
taken as it comes."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, cast

import httptools

from cairndale.ingress.net.http import MAX_HEAD_BYTES

WATCH_TIMEOUT_S = 6.0  # s with no line: three beats
FIRST_LINE_TIMEOUT_S = 2.0  # s for the first line, where there are other addresses to turn to
BACKOFF_S = (0.1, 2.0)  # s between tries: the first, the longest
# s for each gateway of the fleet that tries are spread over once one was turned away ...
REJECTION_SPREAD_S = 0.1
# ... doubled so many times: the list's service is one for all, and works on calls given up too
MAX_DOUBLINGS = 3
CONNECT_TIMEOUT_S = 1.0
MAX_LINE_BYTES = 8 * 1024 * 1024
MIN_EXPIRY_CHECK_S = 1.0  # s at the least between looks at servers kept beyond the list
# s: a list older than that is spoken of, and a replica out of touch for that is left ...
STALE_LIST_AGE_S = 10.0
# ... but no sooner than that after the last time, doubled up to the second
REPLICA_SWITCH_INTERVAL_S = (30.0, 600.0)
# what a whole list may lack at once, and s that more is kept, if not configured
DEFAULT_SHRINK, DEFAULT_HOLD_S = (0.5, 60.0)
MAX_REMOVALS = 4096  # removals that are remembered, so that a replica that lags cannot undo them
MAX_LEFT_LINEAGES = 16  # lists of other lineages that are remembered as left

log = logging.getLogger(__name__)


class EndpointEntry:
    """A backend as discovery names it."""

    __slots__ = (
        "address",
        "group",
        "kind",
        "name",
        "since_us",
        "status",
        "version",
        "weight",
        "zone",
    )

    def __init__(self, raw: dict[str, Any]) -> None:
        self.name, self.status = str(raw["name"]), str(raw["status"])
        if self.status not in ("up", "draining", "removed"):
            raise ValueError(f"status {self.status!r} is unknown")
        # A removed backend needs no more than its name.
        address = str(raw["address"] if self.status != "removed" else raw.get("address", ":0"))
        host, _, port = address.rpartition(":")
        self.address = (host, int(port))
        if not 0 <= self.address[1] < 65536:
            raise ValueError(f"address {address!r} has no such port")
        self.zone, self.kind = str(raw.get("zone", "")), str(raw.get("type", ""))
        self.group, self.weight = int(raw.get("group", 0)), float(raw.get("weight", 1.0))
        if not math.isfinite(self.weight):
            raise ValueError(f"weight {self.weight} is no number")
        self.since_us = int(raw.get("since_ms", 0)) * 1000
        # of its last change, where told
        self.version = int(raw["version"]) if "version" in raw else None

    def to_raw(self) -> dict[str, Any]:
        """As discovery would name it."""
        raw: dict[str, Any] = {
            "name": self.name,
            "address": "{}:{}".format(*self.address),
            "zone": self.zone,
            "type": self.kind,
            "group": self.group,
            "status": self.status,
            "weight": self.weight,
            "since_ms": self.since_us // 1000,
        }
        return raw if self.version is None else raw | {"version": self.version}

    def is_same_instance(self, other: EndpointEntry) -> bool:
        return self.address == other.address and self.since_us == other.since_us

    def as_draining(self) -> EndpointEntry:
        return EndpointEntry(self.to_raw() | {"status": "draining"})


class EndpointUpdate:
    """The whole list, or the entries that changed. What the list service tells beyond PROTOCOL is
    None or empty where another tells it."""

    __slots__ = ("age", "entries", "epoch", "full", "index", "lineage", "removed")

    def __init__(self, raw: Any) -> None:
        try:
            self.index, self.full = int(raw["index"]), bool(raw["snapshot"])
            self.entries = [EndpointEntry(e) for e in raw["endpoints"]]
            self.lineage = str(raw["lineage"]) if "lineage" in raw else None
            self.epoch = int(raw["epoch"]) if self.lineage is not None else 0
            self.removed = {str(name): int(version) for name, version in raw.get("gone", ())}
            self.age = float(raw.get("age_ms", 0)) / 1000  # s since a replica heard its leader
            if not 0 <= self.age < math.inf:
                raise ValueError(f"age {self.age} is none")
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"list of backends: {error!r}") from None

    @classmethod
    def of(cls, index: int, entries: Iterable[EndpointEntry], whole: bool) -> EndpointUpdate:
        made = cls({"index": index, "snapshot": whole, "endpoints": ()})
        made.entries = list(entries)
        return made


class UpdateRejected(Exception):
    """What an address tells is not to be taken: the list stays as it is."""


@dataclass(frozen=True, slots=True)
class DirectoryConfig:
    """The part of the configuration that names the list service."""

    addresses: tuple[tuple[str, int], ...]  # beside `discovery`
    # the share of the servers up that a whole list may lack and be taken at once
    shrink: float = DEFAULT_SHRINK
    hold: float = DEFAULT_HOLD_S  # s that those missing beyond it are kept


@dataclass(slots=True)
class EndpointTable:
    """The list held, and what a line may change of it. Pure.

    Versions grow within a lineage, over its epochs: what is older than what is held is not taken,
    entry by entry. A drain that was told holds until that server is told to be removed or has a new
    start or address. A whole list that lacks too many servers, or all, is no news of their end:
    those missing are kept a while."""

    directory: DirectoryConfig
    index: int = 0
    epoch: int = 0
    lineage: str | None = None
    entries: dict[str, EndpointEntry] = field(default_factory=dict)
    removed: OrderedDict[str, int] = field(default_factory=OrderedDict)  # removed, with the version
    left_lineages: list[str] = field(default_factory=list)  # lineages
    # missing from the last whole list, until when
    retained: dict[str, float] = field(default_factory=dict)

    def apply_update(self, told: EndpointUpdate, now: float) -> EndpointUpdate | None:
        """What changes by it, None if nothing does; Refused if it is not to be taken."""
        if told.lineage is None and self.lineage is not None:
            raise UpdateRejected("no epoch: not the list service that was watched")
        if told.lineage != self.lineage:
            self._switch_lineage(told)
        elif told.epoch < self.epoch:
            raise UpdateRejected(f"epoch {told.epoch} is past, {self.epoch} is held")
        elif told.index < self.index:
            raise UpdateRejected(f"version {told.index} is older than {self.index}, which is held")
        self.index, self.epoch = told.index, told.epoch
        before, served = self.entries.copy(), self._has_listed_up()
        if told.full:
            self._apply_full(told, now)
        for entry in told.entries:
            self._apply_entry(entry, told)
        # the first that came back: the others have as long again
        if not served and self._has_listed_up():
            self.retained = dict.fromkeys(self.retained, now + self.directory.hold)
        while len(self.removed) > MAX_REMOVALS:
            self.removed.popitem(last=False)
        if told.full:
            return EndpointUpdate.of(self.index, self.entries.values(), True)
        return self._diff(before)

    def _switch_lineage(self, told: EndpointUpdate) -> None:
        """Another lineage: its versions cannot be compared with those held."""
        if told.lineage in self.left_lineages:
            raise UpdateRejected(f"list {told.lineage} was left for {self.lineage}")
        if not told.full:
            raise UpdateRejected(f"changes of list {told.lineage}, of which nothing is held")
        if self.lineage is not None:
            log.warning("discovery: list %s in place of %s", told.lineage, self.lineage)
            self.left_lineages = [*self.left_lineages, self.lineage][-MAX_LEFT_LINEAGES:]
        self.lineage = told.lineage
        self.removed.clear()
        for entry in self.entries.values():
            entry.version = None

    def _apply_full(self, told: EndpointUpdate, now: float) -> None:
        for name, version in told.removed.items():
            self._remove(name, version)
        named = {entry.name for entry in told.entries}
        missing = [name for name in self.entries if name not in named]
        up = [name for name, entry in self.entries.items() if entry.status == "up"]
        lost = [name for name in up if name not in named]
        left = any(entry.status == "up" for entry in told.entries)
        drastic = bool(lost) and (not left or len(lost) > self.directory.shrink * len(up))
        if drastic and any(name not in self.retained for name in missing):
            log.warning(
                "discovery: %d of %d servers are missing from the list; kept for %.0f s",
                len(lost),
                len(up),
                self.directory.hold,
            )
        for name in missing:
            if drastic or name in self.retained:
                self.retained.setdefault(name, now + self.directory.hold)
            else:
                del self.entries[name]

    def _apply_entry(self, entry: EndpointEntry, told: EndpointUpdate) -> None:
        held, version = self.entries.get(entry.name), entry.version
        if version is None and self.lineage is None:
            version = told.index
        if entry.status == "removed":
            self._remove(entry.name, version if version is not None else told.index)
            return
        if version is not None and self.removed.get(entry.name, -1) >= version:
            return
        if held and version is not None and held.version is not None and held.version > version:
            return
        if (
            held
            and held.status == "draining"
            and entry.status == "up"
            and entry.is_same_instance(held)
        ):
            entry = entry.as_draining()
        self.retained.pop(entry.name, None)
        self.entries[entry.name] = entry

    def _remove(self, name: str, version: int) -> None:
        held = self.entries.get(name)
        if held and held.version is not None and held.version > version:
            return  # it came back since
        self.entries.pop(name, None)
        self.retained.pop(name, None)
        if version >= self.removed.get(name, -1):
            self.removed[name] = version
            self.removed.move_to_end(name)

    def _diff(self, before: dict[str, EndpointEntry]) -> EndpointUpdate | None:
        lost = [
            EndpointEntry({"name": name, "status": "removed"})
            for name in before
            if name not in self.entries
        ]
        others = [entry for name, entry in self.entries.items() if before.get(name) is not entry]
        return EndpointUpdate.of(self.index, lost + others, False) if lost or others else None

    def expire_retained(self, now: float) -> EndpointUpdate | None:
        """Those kept for long enough go, unless no server up would be left."""
        over = [name for name, until in self.retained.items() if until <= now]
        if not over or not self._has_listed_up():
            return None
        before = self.entries.copy()
        for name in over:
            del self.retained[name], self.entries[name]
        log.warning("discovery: %d servers that the list lacks are given up", len(over))
        return self._diff(before)

    def _has_listed_up(self) -> bool:
        return any(
            e.status == "up" for name, e in self.entries.items() if name not in self.retained
        )

    def load(self, known: EndpointUpdate) -> None:
        """With what an earlier process last held, which may be old."""
        self.index, self.epoch, self.lineage = known.index, known.epoch, known.lineage
        self.entries = {entry.name: entry for entry in known.entries if entry.status != "removed"}

    def dump(self) -> dict[str, Any]:
        """For the process that comes next."""
        return {
            "index": self.index,
            "epoch": self.epoch,
            "lineage": self.lineage,
            "left": self.left_lineages,
            "gone": list(self.removed.items()),
            "endpoints": [e.to_raw() for e in self.entries.values()],
            "kept": self.retained,  # the clock is the machine's: the next process reads the same
        }

    def restore(self, raw: dict[str, Any] | None, entries: list[dict[str, Any]]) -> None:
        """From an earlier process, which may not have watched the list service: then only its
        list."""
        if raw is None:
            self.load(EndpointUpdate({"index": 0, "snapshot": True, "endpoints": entries}))
            return
        self.index, self.epoch, self.lineage = int(raw["index"]), int(raw["epoch"]), raw["lineage"]
        self.left_lineages, self.removed = (
            list(raw["left"]),
            OrderedDict((n, int(v)) for n, v in raw["gone"]),
        )
        self.entries = {entry.name: entry for entry in map(EndpointEntry, raw["endpoints"])}
        self.retained = {str(name): float(until) for name, until in raw["kept"].items()}


@dataclass(slots=True)
class AddressRotation:
    """Which address is watched, and how long to wait before the next try. Pure, but for the dice
    given."""

    targets: tuple[tuple[str, int], ...]
    position: int = 0
    fleet_size: int = 1
    failed_attempts: int = 0  # tries since a line was last heard
    rejections: int = 0  # of these, at the end
    switched_at: float = -math.inf  # when a replica was last left as it was out of touch ...
    switch_interval: float = REPLICA_SWITCH_INTERVAL_S[
        0
    ]  # ... and how long after that the next may be

    @property
    def current(self) -> tuple[str, int]:
        return self.targets[self.position]

    def watch_ended(
        self, heard: bool, turned_away: bool | None, uniform: Callable[[float, float], float]
    ) -> float:
        """The watch is over, or never came to be (`turned_away` is None): the next address, and the
        seconds until it is tried. A round over all is made without growing waits: others likely do
        not fail."""
        if heard:
            self.failed_attempts = 0
        if turned_away is not None:
            self.rejections = self.rejections + 1 if turned_away else 0
        count = len(self.targets)
        self.position = (self.position + 1) % count
        if self.rejections and self.rejections % count == 0:
            doubled = min(self.rejections // count - 1, MAX_DOUBLINGS)
            return uniform(0, self.fleet_size * REJECTION_SPREAD_S * (1 << doubled))
        rounds, self.failed_attempts = (
            min(self.failed_attempts // count, 16),
            self.failed_attempts + 1,
        )
        return min(BACKOFF_S[0] * (1 << rounds), BACKOFF_S[1]) * uniform(0.5, 1.0)

    def should_switch(self, age: float, now: float) -> bool:
        """Whether a replica that has been out of touch for `age` is left for another."""
        if (
            len(self.targets) < 2
            or age < STALE_LIST_AGE_S
            or now - self.switched_at < self.switch_interval
        ):
            return False
        again = now - self.switched_at < REPLICA_SWITCH_INTERVAL_S[1] + self.switch_interval
        self.switch_interval = (
            min(2 * self.switch_interval, REPLICA_SWITCH_INTERVAL_S[1])
            if again
            else REPLICA_SWITCH_INTERVAL_S[0]
        )
        self.switched_at = now
        return True


class Discovery:
    def __init__(
        self,
        address: tuple[str, int],
        index: int,
        changed: Callable[[EndpointUpdate], None],
        fleet_size: int = 1,
        held: EndpointTable | None = None,
        me: int = 0,
    ) -> None:
        self.index, self.table, self._on_change, self._ingress_index = index, held, changed, me
        self.rotation = AddressRotation(())
        self._task: asyncio.Task[None] | None = None
        self._expiry: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._received_at, self._replica_age = self._loop.time(), 0.0
        self._warn_at_age, self._last_rejection = STALE_LIST_AGE_S, ""
        self._source: tuple[str, int] | None = None
        # set once it has said something, or a first try has come to nothing
        self.first_attempt_done = asyncio.Event()
        self._set_addresses(address, fleet_size)

    def _set_addresses(self, address: tuple[str, int], fleet_size: int) -> None:
        more = self.table.directory.addresses if self.table else ()
        every = tuple(dict.fromkeys((address, *more)))
        if every != self.rotation.targets:
            # a fleet begins at all of them alike
            self.rotation = AddressRotation(every, self._ingress_index % len(every))
        self.rotation.fleet_size = fleet_size

    def start(self, index: int | None = None) -> None:
        self.index = self.index if index is None else index
        self._task = self._loop.create_task(self._keep_watching())
        self._plan_expiry(self._loop.time())

    def stop(self) -> None:
        for waiting in (self._task, self._expiry):
            if waiting:
                waiting.cancel()
        self._expiry = None

    def update_config(
        self,
        address: tuple[str, int],
        fleet_size: int,
        directory: DirectoryConfig | None = None,
        entries: Iterable[EndpointEntry] = (),
    ) -> None:
        """Discovery is elsewhere from now on: watches there from the version held. `entries` are
        those in use, for when the list service takes the place of the platform's discovery."""
        before, watched = self.rotation.targets, self.table is not None
        if directory is None:
            self.table = None
        elif self.table is None:
            self.table = EndpointTable(directory)
            self.table.load(EndpointUpdate.of(0, entries, True))
        elif self.table.directory != directory:
            self.table.directory = directory
            self.table.left_lineages.clear()
        self._set_addresses(address, fleet_size)
        if self.rotation.targets != before or watched != (self.table is not None):
            self.stop()
            self.start()

    def watch_target(self) -> str:
        if self.table is None:
            return f"/discovery/hosts?watch=1&from={self.index}"
        held = self.table
        # a version of no lineage says nothing to the list service
        index = held.index if held.lineage else 0
        return (
            f"/discovery/hosts?watch=1&from={index}&epoch={held.epoch}&lineage={held.lineage or ''}"
        )

    def handle_line(self, line: bytes) -> None:
        """A line of a watch, an empty one as well. What is not to be taken raises, and the watch
        ends."""
        now = self._loop.time()
        if not line.strip():
            self._replica_age = 0.0
        else:
            listing = EndpointUpdate(json.loads(line))
            if self.table is None:
                self.index = listing.index
                self._on_change(listing)
            else:
                self._apply(self.table, listing, now)
        self._received_at, self._last_rejection = now, ""
        self.first_attempt_done.set()
        if self.table and self._source != self.rotation.current:
            self._source = self.rotation.current
            log.info("discovery: told by %s:%d", *self._source)
        self._warn_if_stale()

    def _apply(self, held: EndpointTable, listing: EndpointUpdate, now: float) -> None:
        change = held.apply_update(listing, now)
        self.index, self._replica_age = held.index, listing.age
        if change:
            self._on_change(change)
        self._plan_expiry(now)
        if self.rotation.should_switch(listing.age, now):
            raise UpdateRejected(f"out of touch with its leader for {listing.age:.0f} s")

    def update_rejected(self, reason: str) -> None:
        if reason != self._last_rejection:  # once, however often it is tried
            log.warning("discovery at %s:%d: %s", *self.rotation.current, reason)
            self._last_rejection = reason

    def age(self) -> float:
        """s since the list was last known to be what discovery holds."""
        return self._loop.time() - self._received_at + self._replica_age

    def status(self) -> dict[str, Any]:
        held, (host, port) = self.table, self.rotation.current
        status: dict[str, Any] = {
            "at": f"{host}:{port}",
            "index": self.index,
            "age_s": round(self.age(), 1),
        }
        if held:
            status |= {
                "lineage": held.lineage,
                "epoch": held.epoch,
                "servers": len(held.entries),
                "kept": sorted(held.retained),
                "replica_out_of_touch_s": round(self._replica_age, 1),
                "refused": self._last_rejection or None,
            }
        return status

    def _warn_if_stale(self) -> None:
        age = self.age()
        if age < STALE_LIST_AGE_S:
            self._warn_at_age = STALE_LIST_AGE_S
        elif age >= self._warn_at_age:
            log.warning("discovery: the list is %.0f s old and goes on being used", age)
            self._warn_at_age = 2 * age

    def _plan_expiry(self, now: float) -> None:
        if self.table and self.table.retained and self._expiry is None:
            wait = max(MIN_EXPIRY_CHECK_S, min(self.table.retained.values()) - now)
            self._expiry = self._loop.call_later(wait, self._expire)

    def _expire(self) -> None:
        self._expiry, now = None, self._loop.time()
        if self.table and (change := self.table.expire_retained(now)):
            self._on_change(change)
        self._plan_expiry(now)

    async def _keep_watching(self) -> None:
        while True:
            watch: Watch | None = None
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    transport, watch = await self._loop.create_connection(
                        lambda: Watch(self), *self.rotation.current
                    )
            except OSError:  # TimeoutError is one
                pass
            else:
                try:
                    await watch.closed.wait()
                finally:
                    transport.abort()
            self.first_attempt_done.set()
            heard, away = (watch.received_line, watch.rejected) if watch else (False, None)
            wait = self.rotation.watch_ended(
                heard, away, random.uniform
            )  # a fleet's tries are spread
            self._warn_if_stale()
            await asyncio.sleep(wait)


class Watch(asyncio.Protocol):
    transport: asyncio.Transport

    def __init__(self, discovery: Discovery) -> None:
        self.received_line = self.rejected = False
        self.closed = asyncio.Event()
        self._discovery, self._loop = discovery, asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._timer: asyncio.TimerHandle | None = None
        self._partial_line, self._head_bytes, self._last_received_at = b"", 0, 0.0
        self._lines: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        (host, port), target = self._discovery.rotation.current, self._discovery.watch_target()
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
        self._last_received_at = self._loop.time()
        self._check_timeout()

    def data_received(self, data: bytes) -> None:
        self._last_received_at = self._loop.time()
        try:
            self._parser.feed_data(data)
            if self._parser.get_status_code() >= 300:
                self.rejected = self._parser.get_status_code() >= 500
                raise ValueError("not a watch")
            if self._head_bytes >= 0:
                self._head_bytes += len(data)
            if len(self._partial_line) > MAX_LINE_BYTES or self._head_bytes > MAX_HEAD_BYTES:
                raise ValueError("too long")
            lines, self._lines = self._lines, []
            for line in lines:
                self._discovery.handle_line(line)
                self.received_line = True
        except UpdateRejected as error:
            self._discovery.update_rejected(str(error))
            self.transport.abort()
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            ValueError,
            RecursionError,
        ) as error:
            log.warning("discovery: %s", error)
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer:
            self._timer.cancel()
        self.closed.set()

    def _check_timeout(self) -> None:
        """A cut-off discovery says nothing and the connection stays open: missing beats are the
        only sign."""
        patience = (
            WATCH_TIMEOUT_S
            if self.received_line or len(self._discovery.rotation.targets) < 2
            else FIRST_LINE_TIMEOUT_S
        )
        left = self._last_received_at + patience - self._loop.time()
        if left <= 0:
            log.warning("discovery: silent for %.0f s, watching anew", patience)
            self.transport.abort()
            return
        self._timer = self._loop.call_later(left, self._check_timeout)

    def on_headers_complete(self) -> None:
        self._head_bytes = -1

    def on_body(self, part: bytes) -> None:
        *lines, self._partial_line = (self._partial_line + part).split(b"\n")
        self._lines += lines

    def on_message_complete(self) -> None:
        self.transport.close()
