"""The discovery client: watches the endpoint list from the last known version on.

With a `directory` in the configuration, the list comes from one of several replicas of the list
service, and `EndpointTable` decides which updates are applied. Without it, every update of the
platform's discovery is applied as received.
"""

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

from cairndale.ingress.net.http import LineReader, ResponseReader

WATCH_TIMEOUT_S = 6.0  # without a line: three heartbeats
FIRST_LINE_TIMEOUT_S = 2.0  # for the first line, if there are other addresses to try
BACKOFF_S = (0.1, 2.0)  # between attempts: the first and the longest pause
# After a rejection, attempts are spread over this time per ingress of the fleet. It is doubled up
# to MAX_DOUBLINGS times: all ingresses share one list service, which also spends work on calls that
# their callers have given up.
REJECTION_SPREAD_S = 0.1
MAX_DOUBLINGS = 3
CONNECT_TIMEOUT_S = 1.0
MAX_LINE_BYTES = 8 * 1024 * 1024
MIN_EXPIRY_CHECK_S = 1.0  # shortest interval between checks of retained servers
# An endpoint list older than this is logged, and a replica that has been out of touch with its
# leader for this long is left for another.
STALE_LIST_AGE_S = 10.0
# Shortest interval between two such switches, doubled after each up to the second value.
REPLICA_SWITCH_INTERVAL_S = (30.0, 600.0)
# Defaults: the share of servers that a full list may lack and be applied at once, and the seconds
# for which missing servers are retained otherwise.
DEFAULT_SHRINK, DEFAULT_HOLD_S = (0.5, 60.0)
MAX_REMOVALS = 4096  # removals that are remembered, so that a lagging replica cannot undo them
MAX_LEFT_LINEAGES = 16  # former lineages that are remembered, so that they are not returned to

log = logging.getLogger(__name__)


class EndpointEntry:
    """An endpoint of a backend, as discovery lists it. Raises ValueError if `raw` is invalid."""

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
        # A removed backend needs only its name.
        address = str(raw["address"] if self.status != "removed" else raw.get("address", ":0"))
        host, _, port = address.rpartition(":")
        self.address = (host, int(port))
        if not 0 <= self.address[1] < 65536:
            raise ValueError(f"invalid port in address {address!r}")
        self.zone, self.kind = str(raw.get("zone", "")), str(raw.get("type", ""))
        self.group, self.weight = int(raw.get("group", 0)), float(raw.get("weight", 1.0))
        if not math.isfinite(self.weight):
            raise ValueError(f"weight {self.weight} is not finite")
        self.since_us = int(raw.get("since_ms", 0)) * 1000
        # Version of its last change, if reported.
        self.version = int(raw["version"]) if "version" in raw else None

    def to_raw(self) -> dict[str, Any]:
        """Return the entry in the form in which discovery lists it."""
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
        """Return whether both entries are of the same start at the same address."""
        return self.address == other.address and self.since_us == other.since_us

    def as_draining(self) -> EndpointEntry:
        """Return a copy with the status `draining`."""
        return EndpointEntry(self.to_raw() | {"status": "draining"})


class EndpointUpdate:
    """A full endpoint list, or the entries that changed.

    Fields that only the list service adds to the protocol are None or empty in updates from others.
    Raises ValueError if `raw` is invalid.
    """

    __slots__ = ("age", "entries", "epoch", "full", "index", "lineage", "removed")

    def __init__(self, raw: Any) -> None:
        try:
            self.index, self.full = int(raw["index"]), bool(raw["snapshot"])
            self.entries = [EndpointEntry(e) for e in raw["endpoints"]]
            self.lineage = str(raw["lineage"]) if "lineage" in raw else None
            self.epoch = int(raw["epoch"]) if self.lineage is not None else 0
            self.removed = {str(name): int(version) for name, version in raw.get("gone", ())}
            self.age = (
                float(raw.get("age_ms", 0)) / 1000
            )  # s since the replica's last contact with its leader
            if not 0 <= self.age < math.inf:
                raise ValueError(f"age {self.age} s is out of range")
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"invalid endpoint list: {error!r}") from None

    @classmethod
    def of(cls, index: int, entries: Iterable[EndpointEntry], full: bool) -> EndpointUpdate:
        """Return an update of these entries, without the list service's fields."""
        update = cls({"index": index, "snapshot": full, "endpoints": ()})
        update.entries = list(entries)
        return update


class UpdateRejected(Exception):
    """An update is not applied, and the endpoint list stays as it is."""


@dataclass(frozen=True, slots=True)
class DirectoryConfig:
    """The settings of the list service."""

    addresses: tuple[tuple[str, int], ...]  # in addition to `discovery`
    # Share of the servers up that a full list may lack and be applied at once.
    shrink: float = DEFAULT_SHRINK
    hold: float = DEFAULT_HOLD_S  # s for which missing servers are retained otherwise


@dataclass(slots=True)
class EndpointTable:
    """The endpoint list, and the rules by which updates are applied to it. Pure.

    Versions increase within a lineage, across its epochs: entries older than the known ones are
    ignored. A draining server stays so until it is removed, restarted or moved. A full list that
    lacks too many servers, or all, does not prove that they have ended: the missing ones are
    retained for a while.
    """

    directory: DirectoryConfig
    index: int = 0
    epoch: int = 0
    lineage: str | None = None
    entries: dict[str, EndpointEntry] = field(default_factory=dict)
    # Names of removed servers, with the version of the removal.
    removed: OrderedDict[str, int] = field(default_factory=OrderedDict)
    left_lineages: list[str] = field(default_factory=list)
    # Servers missing from the last full list, and until when they are retained.
    retained: dict[str, float] = field(default_factory=dict)

    def apply_update(self, update: EndpointUpdate, now: float) -> EndpointUpdate | None:
        """Apply an update. Return the resulting changes, None if there are none.

        Raises UpdateRejected if the update must not be applied.
        """
        if update.lineage is None and self.lineage is not None:
            raise UpdateRejected("no epoch: the update is not from the list service watched before")
        if update.lineage != self.lineage:
            self._switch_lineage(update)
        elif update.epoch < self.epoch:
            raise UpdateRejected(f"epoch {update.epoch} is past, {self.epoch} is known")
        elif update.index < self.index:
            raise UpdateRejected(
                f"version {update.index} is older than {self.index}, which is known"
            )
        self.index, self.epoch = update.index, update.epoch
        before, had_listed_up = self.entries.copy(), self._has_listed_up()
        if update.full:
            self._apply_full(update, now)
        for entry in update.entries:
            self._apply_entry(entry, update)
        # The first server is back: retain the others for the full time from now.
        if not had_listed_up and self._has_listed_up():
            self.retained = dict.fromkeys(self.retained, now + self.directory.hold)
        while len(self.removed) > MAX_REMOVALS:
            self.removed.popitem(last=False)
        if update.full:
            return EndpointUpdate.of(self.index, self.entries.values(), True)
        return self._diff(before)

    def _switch_lineage(self, update: EndpointUpdate) -> None:
        """Switch to another lineage, whose versions cannot be compared with the known ones."""
        if update.lineage in self.left_lineages:
            raise UpdateRejected(f"list {update.lineage} was left for {self.lineage}")
        if not update.full:
            raise UpdateRejected(f"changes of the unknown list {update.lineage}")
        if self.lineage is not None:
            log.warning("discovery: lineage %s replaces %s", update.lineage, self.lineage)
            self.left_lineages = [*self.left_lineages, self.lineage][-MAX_LEFT_LINEAGES:]
        self.lineage = update.lineage
        self.removed.clear()
        for entry in self.entries.values():
            entry.version = None

    def _apply_full(self, update: EndpointUpdate, now: float) -> None:
        for name, version in update.removed.items():
            self._remove(name, version)
        listed = {entry.name for entry in update.entries}
        missing = [name for name in self.entries if name not in listed]
        up = [name for name, entry in self.entries.items() if entry.status == "up"]
        missing_up = [name for name in up if name not in listed]
        any_up = any(entry.status == "up" for entry in update.entries)
        drastic = bool(missing_up) and (
            not any_up or len(missing_up) > self.directory.shrink * len(up)
        )
        if drastic and any(name not in self.retained for name in missing):
            log.warning(
                "discovery: %d of %d servers are missing from the list; retained for %.0f s",
                len(missing_up),
                len(up),
                self.directory.hold,
            )
        for name in missing:
            if drastic or name in self.retained:
                self.retained.setdefault(name, now + self.directory.hold)
            else:
                del self.entries[name]

    def _apply_entry(self, entry: EndpointEntry, update: EndpointUpdate) -> None:
        known, version = self.entries.get(entry.name), entry.version
        if version is None and self.lineage is None:
            version = update.index
        if entry.status == "removed":
            self._remove(entry.name, version if version is not None else update.index)
            return
        if version is not None and self.removed.get(entry.name, -1) >= version:
            return
        if known and version is not None and known.version is not None and known.version > version:
            return
        if (
            known
            and known.status == "draining"
            and entry.status == "up"
            and entry.is_same_instance(known)
        ):
            entry = entry.as_draining()
        self.retained.pop(entry.name, None)
        self.entries[entry.name] = entry

    def _remove(self, name: str, version: int) -> None:
        known = self.entries.get(name)
        if known and known.version is not None and known.version > version:
            return  # it has been listed again since
        self.entries.pop(name, None)
        self.retained.pop(name, None)
        if version >= self.removed.get(name, -1):
            self.removed[name] = version
            self.removed.move_to_end(name)

    def _diff(self, before: dict[str, EndpointEntry]) -> EndpointUpdate | None:
        removed = [
            EndpointEntry({"name": name, "status": "removed"})
            for name in before
            if name not in self.entries
        ]
        changed = [entry for name, entry in self.entries.items() if before.get(name) is not entry]
        return (
            EndpointUpdate.of(self.index, removed + changed, False) if removed or changed else None
        )

    def expire_retained(self, now: float) -> EndpointUpdate | None:
        """Remove retained servers after their time, unless no server up would be left.

        Return the resulting changes, None if there are none.
        """
        expired = [name for name, until in self.retained.items() if until <= now]
        if not expired or not self._has_listed_up():
            return None
        before = self.entries.copy()
        for name in expired:
            del self.retained[name], self.entries[name]
        log.warning("discovery: removed %d servers missing from the list", len(expired))
        return self._diff(before)

    def _has_listed_up(self) -> bool:
        return any(
            e.status == "up" for name, e in self.entries.items() if name not in self.retained
        )

    def load(self, known: EndpointUpdate) -> None:
        """Start with the list in the configuration, which may be old."""
        self.index, self.epoch, self.lineage = known.index, known.epoch, known.lineage
        self.entries = {entry.name: entry for entry in known.entries if entry.status != "removed"}

    def dump(self) -> dict[str, Any]:
        """Return the state for the process that replaces this one."""
        return {
            "index": self.index,
            "epoch": self.epoch,
            "lineage": self.lineage,
            "left": self.left_lineages,
            "gone": list(self.removed.items()),
            "endpoints": [e.to_raw() for e in self.entries.values()],
            "kept": self.retained,  # times on the machine's clock, which the next process shares
        }

    def restore(self, raw: dict[str, Any] | None, entries: list[dict[str, Any]]) -> None:
        """Restore the state of an earlier process.

        `raw` is None if that process did not watch the list service; then only its `entries` are
        used.
        """
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
    """Chooses the address to watch, and the pause before the next attempt. Pure."""

    targets: tuple[tuple[str, int], ...]
    position: int = 0
    fleet_size: int = 1
    failed_attempts: int = 0  # since a line was last received
    rejections: int = 0  # the latest attempts in a row that were rejected
    switched_at: float = -math.inf  # when a replica out of touch was last left
    # Shortest time in s until the next one may be left.
    switch_interval: float = REPLICA_SWITCH_INTERVAL_S[0]

    @property
    def current(self) -> tuple[str, int]:
        """The address to watch."""
        return self.targets[self.position]

    def watch_ended(
        self, received_line: bool, rejected: bool | None, uniform: Callable[[float, float], float]
    ) -> float:
        """Move on to the next address after a watch; return the pause before it is tried, in s.

        `received_line`: whether the watch received anything. `rejected`: whether the server
        rejected it; None if no connection was established. The pause grows only after all addresses
        have been tried, as the others are likely to work. `uniform` draws a random number from a
        range.
        """
        if received_line:
            self.failed_attempts = 0
        if rejected is not None:
            self.rejections = self.rejections + 1 if rejected else 0
        count = len(self.targets)
        self.position = (self.position + 1) % count
        if self.rejections and self.rejections % count == 0:
            doubled = min(self.rejections // count - 1, MAX_DOUBLINGS)
            return uniform(0, self.fleet_size * REJECTION_SPREAD_S * (1 << doubled))
        full_rounds, self.failed_attempts = (
            min(self.failed_attempts // count, 16),
            self.failed_attempts + 1,
        )
        return min(BACKOFF_S[0] * (1 << full_rounds), BACKOFF_S[1]) * uniform(0.5, 1.0)

    def should_switch(self, age: float, now: float) -> bool:
        """Return whether to leave a replica that has been out of touch for `age` seconds."""
        if (
            len(self.targets) < 2
            or age < STALE_LIST_AGE_S
            or now - self.switched_at < self.switch_interval
        ):
            return False
        recently = now - self.switched_at < REPLICA_SWITCH_INTERVAL_S[1] + self.switch_interval
        self.switch_interval = (
            min(2 * self.switch_interval, REPLICA_SWITCH_INTERVAL_S[1])
            if recently
            else REPLICA_SWITCH_INTERVAL_S[0]
        )
        self.switched_at = now
        return True


class Discovery:
    """Keeps one watch open, and passes updates of the endpoint list on."""

    def __init__(
        self,
        address: tuple[str, int],
        index: int,
        on_change: Callable[[EndpointUpdate], None],
        fleet_size: int = 1,
        table: EndpointTable | None = None,
        ingress_index: int = 0,
    ) -> None:
        self.index, self.table, self._on_change, self._ingress_index = (
            index,
            table,
            on_change,
            ingress_index,
        )
        self.rotation = AddressRotation(())
        self._task: asyncio.Task[None] | None = None
        self._expiry: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._received_at, self._replica_age = self._loop.time(), 0.0
        self._warn_at_age, self._last_rejection = STALE_LIST_AGE_S, ""
        self._source: tuple[str, int] | None = None
        # Set once a line has been received, or the first attempt has failed.
        self.first_attempt_done = asyncio.Event()
        self._set_addresses(address, fleet_size)

    def _set_addresses(self, address: tuple[str, int], fleet_size: int) -> None:
        further = self.table.directory.addresses if self.table else ()
        targets = tuple(dict.fromkeys((address, *further)))
        if targets != self.rotation.targets:
            # The ingresses of a fleet start at different addresses, evenly spread.
            self.rotation = AddressRotation(targets, self._ingress_index % len(targets))
        self.rotation.fleet_size = fleet_size

    def start(self, index: int | None = None) -> None:
        """Start watching, from version `index` if given."""
        self.index = self.index if index is None else index
        self._task = self._loop.create_task(self._keep_watching())
        self._plan_expiry(self._loop.time())

    def stop(self) -> None:
        """Close the watch."""
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
        """Apply a new configuration; continue from the known version at the new addresses.

        `entries`: the endpoint list in use, which the table starts from if the list service
        replaces the platform's discovery.
        """
        targets_before, had_table = self.rotation.targets, self.table is not None
        if directory is None:
            self.table = None
        elif self.table is None:
            self.table = EndpointTable(directory)
            self.table.load(EndpointUpdate.of(0, entries, True))
        elif self.table.directory != directory:
            self.table.directory = directory
            self.table.left_lineages.clear()
        self._set_addresses(address, fleet_size)
        if self.rotation.targets != targets_before or had_table != (self.table is not None):
            self.stop()
            self.start()

    def watch_target(self) -> str:
        """Return the request target of a watch from the known version on."""
        if self.table is None:
            return f"/discovery/hosts?watch=1&from={self.index}"
        table = self.table
        # A version without a lineage means nothing to the list service.
        index = table.index if table.lineage else 0
        return (
            f"/discovery/hosts?watch=1&from={index}&epoch={table.epoch}"
            f"&lineage={table.lineage or ''}"
        )

    def handle_line(self, line: bytes) -> None:
        """Process a line of a watch; an empty line is a heartbeat.

        Raises UpdateRejected or ValueError if it cannot be applied; the watch is then closed.
        """
        now = self._loop.time()
        if not line.strip():
            self._replica_age = 0.0
        else:
            update = EndpointUpdate(json.loads(line))
            if self.table is None:
                self.index = update.index
                self._on_change(update)
            else:
                self._apply(self.table, update, now)
        self._received_at, self._last_rejection = now, ""
        self.first_attempt_done.set()
        if self.table and self._source != self.rotation.current:
            self._source = self.rotation.current
            log.info("discovery: receiving updates from %s:%d", *self._source)
        self._warn_if_stale()

    def _apply(self, table: EndpointTable, update: EndpointUpdate, now: float) -> None:
        change = table.apply_update(update, now)
        self.index, self._replica_age = table.index, update.age
        if change:
            self._on_change(change)
        self._plan_expiry(now)
        if self.rotation.should_switch(update.age, now):
            raise UpdateRejected(f"replica out of touch with its leader for {update.age:.0f} s")

    def update_rejected(self, reason: str) -> None:
        """Log a rejected update, once for each reason."""
        if reason != self._last_rejection:
            log.warning("discovery at %s:%d: %s", *self.rotation.current, reason)
            self._last_rejection = reason

    def age(self) -> float:
        """Return the time since the list was last known to be up to date, in s."""
        return self._loop.time() - self._received_at + self._replica_age

    def status(self) -> dict[str, Any]:
        """Return a report for operators."""
        table, (host, port) = self.table, self.rotation.current
        status: dict[str, Any] = {
            "at": f"{host}:{port}",
            "index": self.index,
            "age_s": round(self.age(), 1),
        }
        if table:
            status |= {
                "lineage": table.lineage,
                "epoch": table.epoch,
                "servers": len(table.entries),
                "kept": sorted(table.retained),
                "replica_out_of_touch_s": round(self._replica_age, 1),
                "refused": self._last_rejection or None,
            }
        return status

    def _warn_if_stale(self) -> None:
        age = self.age()
        if age < STALE_LIST_AGE_S:
            self._warn_at_age = STALE_LIST_AGE_S
        elif age >= self._warn_at_age:
            log.warning("discovery: endpoint list is %.0f s old and still in use", age)
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
            received_line, rejected = (
                (watch.received_line, watch.rejected) if watch else (False, None)
            )
            # Random pauses spread the attempts of a fleet.
            wait = self.rotation.watch_ended(received_line, rejected, random.uniform)
            self._warn_if_stale()
            await asyncio.sleep(wait)


class Watch(asyncio.Protocol):
    """One watch: a request whose response streams updates, one JSON object per line."""

    transport: asyncio.Transport

    def __init__(self, discovery: Discovery) -> None:
        self.received_line = self.rejected = False
        self.closed = asyncio.Event()
        self._discovery, self._loop = discovery, asyncio.get_running_loop()
        self._response, self._lines = ResponseReader(), LineReader(MAX_LINE_BYTES)
        self._timer: asyncio.TimerHandle | None = None
        self._last_received_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        (host, port), target = self._discovery.rotation.current, self._discovery.watch_target()
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
        self._last_received_at = self._loop.time()
        self._check_timeout()

    def data_received(self, data: bytes) -> None:
        self._last_received_at = self._loop.time()
        try:
            body = self._response.feed(data)
            if self._response.status >= 300:
                self.rejected = self._response.status >= 500
                raise ValueError(f"watch rejected with status {self._response.status}")
            for line in self._lines.feed(body):
                self._discovery.handle_line(line)
                self.received_line = True
            if self._response.complete:
                self.transport.close()
        except UpdateRejected as error:
            self._discovery.update_rejected(str(error))
            self.transport.abort()
        except (ValueError, RecursionError) as error:
            log.warning("discovery: %s", error)
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer:
            self._timer.cancel()
        self.closed.set()

    def _check_timeout(self) -> None:
        """Abort the watch if heartbeats are missing.

        That is the only sign of an isolated server, as the connection stays open.
        """
        timeout = (
            WATCH_TIMEOUT_S
            if self.received_line or len(self._discovery.rotation.targets) < 2
            else FIRST_LINE_TIMEOUT_S
        )
        remaining = self._last_received_at + timeout - self._loop.time()
        if remaining <= 0:
            log.warning("discovery: no data for %.0f s, reconnecting", timeout)
            self.transport.abort()
            return
        self._timer = self._loop.call_later(remaining, self._check_timeout)
