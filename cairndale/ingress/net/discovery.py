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

from cairndale.ingress.net.http import MAX_HEAD

SILENT = 6.0  # s with no line: three beats
FIRST = 2.0  # s for the first line, where there are other addresses to turn to
BACK_OFF = (0.1, 2.0)  # s between tries: the first, the longest
# s for each gateway of the fleet that tries are spread over once one was turned away ...
CROWDED = 0.1
# ... doubled so many times: the list's service is one for all, and works on calls given up too
DOUBLED = 3
CONNECT_TIMEOUT = 1.0
MAX_LINE = 8 * 1024 * 1024
LOOK = 1.0  # s at the least between looks at servers kept beyond the list
# s: a list older than that is spoken of, and a replica out of touch for that is left ...
OLD = 10.0
# ... but no sooner than that after the last time, doubled up to the second
LEAVE_AGAIN = (30.0, 600.0)
# what a whole list may lack at once, and s that more is kept, if not configured
SHRINK, HOLD = (0.5, 60.0)
GONE = 4096  # removals that are remembered, so that a replica that lags cannot undo them
LEFT = 16  # lists of other lineages that are remembered as left

log = logging.getLogger(__name__)


class Entry:
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

    def raw(self) -> dict[str, Any]:
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

    def same_start(self, other: Entry) -> bool:
        return self.address == other.address and self.since_us == other.since_us

    def draining(self) -> Entry:
        return Entry(self.raw() | {"status": "draining"})


class Listing:
    """The whole list, or the entries that changed. What the list service tells beyond PROTOCOL is
    None or empty where another tells it."""

    __slots__ = ("age", "entries", "epoch", "gone", "index", "lineage", "whole")

    def __init__(self, raw: Any) -> None:
        try:
            self.index, self.whole = int(raw["index"]), bool(raw["snapshot"])
            self.entries = [Entry(e) for e in raw["endpoints"]]
            self.lineage = str(raw["lineage"]) if "lineage" in raw else None
            self.epoch = int(raw["epoch"]) if self.lineage is not None else 0
            self.gone = {str(name): int(version) for name, version in raw.get("gone", ())}
            self.age = float(raw.get("age_ms", 0)) / 1000  # s since a replica heard its leader
            if not 0 <= self.age < math.inf:
                raise ValueError(f"age {self.age} is none")
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"list of backends: {error!r}") from None

    @classmethod
    def of(cls, index: int, entries: Iterable[Entry], whole: bool) -> Listing:
        made = cls({"index": index, "snapshot": whole, "endpoints": ()})
        made.entries = list(entries)
        return made


class Refused(Exception):
    """What an address tells is not to be taken: the list stays as it is."""


@dataclass(frozen=True, slots=True)
class Directory:
    """The part of the configuration that names the list service."""

    addresses: tuple[tuple[str, int], ...]  # beside `discovery`
    # the share of the servers up that a whole list may lack and be taken at once
    shrink: float = SHRINK
    hold: float = HOLD  # s that those missing beyond it are kept


@dataclass(slots=True)
class Held:
    """The list held, and what a line may change of it. Pure.

    Versions grow within a lineage, over its epochs: what is older than what is held is not taken,
    entry by entry. A drain that was told holds until that server is told to be removed or has a new
    start or address. A whole list that lacks too many servers, or all, is no news of their end:
    those missing are kept a while."""

    directory: Directory
    index: int = 0
    epoch: int = 0
    lineage: str | None = None
    entries: dict[str, Entry] = field(default_factory=dict)
    gone: OrderedDict[str, int] = field(default_factory=OrderedDict)  # removed, with the version
    left: list[str] = field(default_factory=list)  # lineages
    # missing from the last whole list, until when
    kept: dict[str, float] = field(default_factory=dict)

    def offer(self, told: Listing, now: float) -> Listing | None:
        """What changes by it, None if nothing does; Refused if it is not to be taken."""
        if told.lineage is None and self.lineage is not None:
            raise Refused("no epoch: not the list service that was watched")
        if told.lineage != self.lineage:
            self._move(told)
        elif told.epoch < self.epoch:
            raise Refused(f"epoch {told.epoch} is past, {self.epoch} is held")
        elif told.index < self.index:
            raise Refused(f"version {told.index} is older than {self.index}, which is held")
        self.index, self.epoch = told.index, told.epoch
        before, served = self.entries.copy(), self._up_beside_kept()
        if told.whole:
            self._whole(told, now)
        for entry in told.entries:
            self._take(entry, told)
        # the first that came back: the others have as long again
        if not served and self._up_beside_kept():
            self.kept = dict.fromkeys(self.kept, now + self.directory.hold)
        while len(self.gone) > GONE:
            self.gone.popitem(last=False)
        if told.whole:
            return Listing.of(self.index, self.entries.values(), True)
        return self._changes(before)

    def _move(self, told: Listing) -> None:
        """Another lineage: its versions cannot be compared with those held."""
        if told.lineage in self.left:
            raise Refused(f"list {told.lineage} was left for {self.lineage}")
        if not told.whole:
            raise Refused(f"changes of list {told.lineage}, of which nothing is held")
        if self.lineage is not None:
            log.warning("discovery: list %s in place of %s", told.lineage, self.lineage)
            self.left = [*self.left, self.lineage][-LEFT:]
        self.lineage = told.lineage
        self.gone.clear()
        for entry in self.entries.values():
            entry.version = None

    def _whole(self, told: Listing, now: float) -> None:
        for name, version in told.gone.items():
            self._remove(name, version)
        named = {entry.name for entry in told.entries}
        missing = [name for name in self.entries if name not in named]
        up = [name for name, entry in self.entries.items() if entry.status == "up"]
        lost = [name for name in up if name not in named]
        left = any(entry.status == "up" for entry in told.entries)
        drastic = bool(lost) and (not left or len(lost) > self.directory.shrink * len(up))
        if drastic and any(name not in self.kept for name in missing):
            log.warning(
                "discovery: %d of %d servers are missing from the list; kept for %.0f s",
                len(lost),
                len(up),
                self.directory.hold,
            )
        for name in missing:
            if drastic or name in self.kept:
                self.kept.setdefault(name, now + self.directory.hold)
            else:
                del self.entries[name]

    def _take(self, entry: Entry, told: Listing) -> None:
        held, version = self.entries.get(entry.name), entry.version
        if version is None and self.lineage is None:
            version = told.index
        if entry.status == "removed":
            self._remove(entry.name, version if version is not None else told.index)
            return
        if version is not None and self.gone.get(entry.name, -1) >= version:
            return
        if held and version is not None and held.version is not None and held.version > version:
            return
        if held and held.status == "draining" and entry.status == "up" and entry.same_start(held):
            entry = entry.draining()
        self.kept.pop(entry.name, None)
        self.entries[entry.name] = entry

    def _remove(self, name: str, version: int) -> None:
        held = self.entries.get(name)
        if held and held.version is not None and held.version > version:
            return  # it came back since
        self.entries.pop(name, None)
        self.kept.pop(name, None)
        if version >= self.gone.get(name, -1):
            self.gone[name] = version
            self.gone.move_to_end(name)

    def _changes(self, before: dict[str, Entry]) -> Listing | None:
        lost = [
            Entry({"name": name, "status": "removed"})
            for name in before
            if name not in self.entries
        ]
        others = [entry for name, entry in self.entries.items() if before.get(name) is not entry]
        return Listing.of(self.index, lost + others, False) if lost or others else None

    def expire(self, now: float) -> Listing | None:
        """Those kept for long enough go, unless no server up would be left."""
        over = [name for name, until in self.kept.items() if until <= now]
        if not over or not self._up_beside_kept():
            return None
        before = self.entries.copy()
        for name in over:
            del self.kept[name], self.entries[name]
        log.warning("discovery: %d servers that the list lacks are given up", len(over))
        return self._changes(before)

    def _up_beside_kept(self) -> bool:
        return any(e.status == "up" for name, e in self.entries.items() if name not in self.kept)

    def begin(self, known: Listing) -> None:
        """With what an earlier process last held, which may be old."""
        self.index, self.epoch, self.lineage = known.index, known.epoch, known.lineage
        self.entries = {entry.name: entry for entry in known.entries if entry.status != "removed"}

    def dump(self) -> dict[str, Any]:
        """For the process that comes next."""
        return {
            "index": self.index,
            "epoch": self.epoch,
            "lineage": self.lineage,
            "left": self.left,
            "gone": list(self.gone.items()),
            "endpoints": [e.raw() for e in self.entries.values()],
            "kept": self.kept,  # the clock is the machine's: the next process reads the same
        }

    def take_over(self, raw: dict[str, Any] | None, entries: list[dict[str, Any]]) -> None:
        """From an earlier process, which may not have watched the list service: then only its
        list."""
        if raw is None:
            self.begin(Listing({"index": 0, "snapshot": True, "endpoints": entries}))
            return
        self.index, self.epoch, self.lineage = int(raw["index"]), int(raw["epoch"]), raw["lineage"]
        self.left, self.gone = list(raw["left"]), OrderedDict((n, int(v)) for n, v in raw["gone"])
        self.entries = {entry.name: entry for entry in map(Entry, raw["endpoints"])}
        self.kept = {str(name): float(until) for name, until in raw["kept"].items()}


@dataclass(slots=True)
class Addresses:
    """Which address is watched, and how long to wait before the next try. Pure, but for the dice
    given."""

    all: tuple[tuple[str, int], ...]
    at: int = 0
    fleet_size: int = 1
    failed: int = 0  # tries since a line was last heard
    turned_away: int = 0  # of these, at the end
    left_at: float = -math.inf  # when a replica was last left as it was out of touch ...
    leave_after: float = LEAVE_AGAIN[0]  # ... and how long after that the next may be

    @property
    def current(self) -> tuple[str, int]:
        return self.all[self.at]

    def ended(
        self, heard: bool, turned_away: bool | None, uniform: Callable[[float, float], float]
    ) -> float:
        """The watch is over, or never came to be (`turned_away` is None): the next address, and the
        seconds until it is tried. A round over all is made without growing waits: others likely do
        not fail."""
        if heard:
            self.failed = 0
        if turned_away is not None:
            self.turned_away = self.turned_away + 1 if turned_away else 0
        count = len(self.all)
        self.at = (self.at + 1) % count
        if self.turned_away and self.turned_away % count == 0:
            doubled = min(self.turned_away // count - 1, DOUBLED)
            return uniform(0, self.fleet_size * CROWDED * (1 << doubled))
        rounds, self.failed = min(self.failed // count, 16), self.failed + 1
        return min(BACK_OFF[0] * (1 << rounds), BACK_OFF[1]) * uniform(0.5, 1.0)

    def leaves(self, age: float, now: float) -> bool:
        """Whether a replica that has been out of touch for `age` is left for another."""
        if len(self.all) < 2 or age < OLD or now - self.left_at < self.leave_after:
            return False
        again = now - self.left_at < LEAVE_AGAIN[1] + self.leave_after
        self.leave_after = min(2 * self.leave_after, LEAVE_AGAIN[1]) if again else LEAVE_AGAIN[0]
        self.left_at = now
        return True


class Discovery:
    def __init__(
        self,
        address: tuple[str, int],
        index: int,
        changed: Callable[[Listing], None],
        fleet_size: int = 1,
        held: Held | None = None,
        me: int = 0,
    ) -> None:
        self.index, self.held, self._changed, self._me = index, held, changed, me
        self.addresses = Addresses(())
        self._task: asyncio.Task[None] | None = None
        self._expiry: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._heard_at, self._replica_age = self._loop.time(), 0.0
        self._speak_at, self._said = OLD, ""
        self._told_at: tuple[str, int] | None = None
        # set once it has said something, or a first try has come to nothing
        self.word = asyncio.Event()
        self._look_at(address, fleet_size)

    def _look_at(self, address: tuple[str, int], fleet_size: int) -> None:
        more = self.held.directory.addresses if self.held else ()
        every = tuple(dict.fromkeys((address, *more)))
        if every != self.addresses.all:
            # a fleet begins at all of them alike
            self.addresses = Addresses(every, self._me % len(every))
        self.addresses.fleet_size = fleet_size

    def start(self, index: int | None = None) -> None:
        self.index = self.index if index is None else index
        self._task = self._loop.create_task(self._keep_watching())
        self._plan_expiry(self._loop.time())

    def stop(self) -> None:
        for waiting in (self._task, self._expiry):
            if waiting:
                waiting.cancel()
        self._expiry = None

    def retune(
        self,
        address: tuple[str, int],
        fleet_size: int,
        directory: Directory | None = None,
        entries: Iterable[Entry] = (),
    ) -> None:
        """Discovery is elsewhere from now on: watches there from the version held. `entries` are
        those in use, for when the list service takes the place of the platform's discovery."""
        before, watched = self.addresses.all, self.held is not None
        if directory is None:
            self.held = None
        elif self.held is None:
            self.held = Held(directory)
            self.held.begin(Listing.of(0, entries, True))
        elif self.held.directory != directory:
            self.held.directory = directory
            self.held.left.clear()
        self._look_at(address, fleet_size)
        if self.addresses.all != before or watched != (self.held is not None):
            self.stop()
            self.start()

    def target(self) -> str:
        if self.held is None:
            return f"/discovery/hosts?watch=1&from={self.index}"
        held = self.held
        # a version of no lineage says nothing to the list service
        index = held.index if held.lineage else 0
        return (
            f"/discovery/hosts?watch=1&from={index}&epoch={held.epoch}&lineage={held.lineage or ''}"
        )

    def told(self, line: bytes) -> None:
        """A line of a watch, an empty one as well. What is not to be taken raises, and the watch
        ends."""
        now = self._loop.time()
        if not line.strip():
            self._replica_age = 0.0
        else:
            listing = Listing(json.loads(line))
            if self.held is None:
                self.index = listing.index
                self._changed(listing)
            else:
                self._take(self.held, listing, now)
        self._heard_at, self._said = now, ""
        self.word.set()
        if self.held and self._told_at != self.addresses.current:
            self._told_at = self.addresses.current
            log.info("discovery: told by %s:%d", *self._told_at)
        self._speak_of_age()

    def _take(self, held: Held, listing: Listing, now: float) -> None:
        change = held.offer(listing, now)
        self.index, self._replica_age = held.index, listing.age
        if change:
            self._changed(change)
        self._plan_expiry(now)
        if self.addresses.leaves(listing.age, now):
            raise Refused(f"out of touch with its leader for {listing.age:.0f} s")

    def refused(self, reason: str) -> None:
        if reason != self._said:  # once, however often it is tried
            log.warning("discovery at %s:%d: %s", *self.addresses.current, reason)
            self._said = reason

    def age(self) -> float:
        """s since the list was last known to be what discovery holds."""
        return self._loop.time() - self._heard_at + self._replica_age

    def status(self) -> dict[str, Any]:
        held, (host, port) = self.held, self.addresses.current
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
                "kept": sorted(held.kept),
                "replica_out_of_touch_s": round(self._replica_age, 1),
                "refused": self._said or None,
            }
        return status

    def _speak_of_age(self) -> None:
        age = self.age()
        if age < OLD:
            self._speak_at = OLD
        elif age >= self._speak_at:
            log.warning("discovery: the list is %.0f s old and goes on being used", age)
            self._speak_at = 2 * age

    def _plan_expiry(self, now: float) -> None:
        if self.held and self.held.kept and self._expiry is None:
            wait = max(LOOK, min(self.held.kept.values()) - now)
            self._expiry = self._loop.call_later(wait, self._expire)

    def _expire(self) -> None:
        self._expiry, now = None, self._loop.time()
        if self.held and (change := self.held.expire(now)):
            self._changed(change)
        self._plan_expiry(now)

    async def _keep_watching(self) -> None:
        while True:
            watch: Watch | None = None
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    transport, watch = await self._loop.create_connection(
                        lambda: Watch(self), *self.addresses.current
                    )
            except OSError:  # TimeoutError is one
                pass
            else:
                try:
                    await watch.closed.wait()
                finally:
                    transport.abort()
            self.word.set()
            heard, away = (watch.heard, watch.turned_away) if watch else (False, None)
            wait = self.addresses.ended(heard, away, random.uniform)  # a fleet's tries are spread
            self._speak_of_age()
            await asyncio.sleep(wait)


class Watch(asyncio.Protocol):
    transport: asyncio.Transport

    def __init__(self, discovery: Discovery) -> None:
        self.heard = self.turned_away = False
        self.closed = asyncio.Event()
        self._discovery, self._loop = discovery, asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._timer: asyncio.TimerHandle | None = None
        self._rest, self._head, self._last = b"", 0, 0.0
        self._lines: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        (host, port), target = self._discovery.addresses.current, self._discovery.target()
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
        self._last = self._loop.time()
        self._check()

    def data_received(self, data: bytes) -> None:
        self._last = self._loop.time()
        try:
            self._parser.feed_data(data)
            if self._parser.get_status_code() >= 300:
                self.turned_away = self._parser.get_status_code() >= 500
                raise ValueError("not a watch")
            if self._head >= 0:
                self._head += len(data)
            if len(self._rest) > MAX_LINE or self._head > MAX_HEAD:
                raise ValueError("too long")
            lines, self._lines = self._lines, []
            for line in lines:
                self._discovery.told(line)
                self.heard = True
        except Refused as error:
            self._discovery.refused(str(error))
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

    def _check(self) -> None:
        """A cut-off discovery says nothing and the connection stays open: missing beats are the
        only sign."""
        patience = SILENT if self.heard or len(self._discovery.addresses.all) < 2 else FIRST
        left = self._last + patience - self._loop.time()
        if left <= 0:
            log.warning("discovery: silent for %.0f s, watching anew", patience)
            self.transport.abort()
            return
        self._timer = self._loop.call_later(left, self._check)

    def on_headers_complete(self) -> None:
        self._head = -1

    def on_body(self, part: bytes) -> None:
        *lines, self._rest = (self._rest + part).split(b"\n")
        self._lines += lines

    def on_message_complete(self) -> None:
        self.transport.close()
