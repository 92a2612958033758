"""Registry of server endpoints: soft state, rebuilt from the servers' heartbeats after a loss.

Nothing here is durable or replicated through the log, but for the departures that servers have
announced (`departures.py`), which are looked up there. The leader sends a copy to each follower,
which starts with it if it becomes the leader. Times are seconds on the clock of the process that
has the registry.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from cairndale.json_text import NOT_ENCODABLE, field_error, is_encodable
from cairndale.registry.departures import Departure, DepartureLookup
from cairndale.settings import parse_duration

REPORTED_STATES = ("ready", "draining")  # by a server itself; the third state, "gone", is set here
MISSED_HEARTBEATS = 3  # consecutive ones, after which an endpoint is marked as gone
MAX_CAPACITY = 1_000_000  # request slots; a server that reports more counts as having so many
MAX_WARMUP_S = 3600.0
PORT = re.compile("[0-9]{1,5}")
MAX_PORT = 65_535
# Two reports of the same warm-up differ by the transmission times of the heartbeats.
WARMUP_TOLERANCE_S = 0.3
# How long the record of a gone endpoint is kept, so that a delayed heartbeat does not add it again.
TOMBSTONE_S = 30.0
MAX_ADOPTED_ENDS = 256  # of servers that a leader without a copy adds from the log

_UPDATED_FIELDS = ("service", "addr", "zone", "gen", "capacity", "state")
_COMPARED_FIELDS = ("service", "addr", "zone", "capacity", "state")


@dataclass(frozen=True, slots=True)
class EncodedEndpoint:
    """The encoded form of an endpoint, and the registry version at which it was encoded."""

    version: int
    data: bytes


_NOT_ENCODED = EncodedEndpoint(-1, b"")


@dataclass(slots=True)
class Endpoint:
    """The last reported state of a server."""

    id: str
    service: str
    addr: str
    zone: str
    gen: str
    capacity: int  # concurrent requests
    state: str
    warmup_until: float
    seq: int  # sequence number of its newest heartbeat
    last_heartbeat_at: float
    has_ended: bool = False  # it reported that it ends: later heartbeats are ignored
    changed_at_version: int = 0  # the registry's version at its last change
    encoded: EncodedEndpoint = _NOT_ENCODED

    def is_refreshed_by(self, heartbeat: Endpoint) -> bool:
        """Whether a later heartbeat changes nothing that has to be sent to the data plane."""
        is_same = all(getattr(self, n) == getattr(heartbeat, n) for n in _COMPARED_FIELDS)
        known_until = max(self.warmup_until, heartbeat.last_heartbeat_at)
        return is_same and heartbeat.warmup_until <= known_until + WARMUP_TOLERANCE_S


class HeartbeatError(ValueError):
    """A heartbeat's body is not valid; `errors` has all errors, each with its path."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


def read_heartbeat(id: str, raw: Any, now: float) -> Endpoint:
    """The endpoint that the decoded JSON body of a heartbeat describes.

    Raises HeartbeatError with all errors.
    """
    errors: list[str] = []
    if reason := field_error(id):  # `X-Target-Instance` names it
        errors.append(f"id: {id!r} {reason}")
    details, status = (raw.get(n) if isinstance(raw, dict) else None for n in ("details", "status"))
    addr = _text(raw, "", "addr", errors)
    if addr and not _is_address(addr):
        errors.append(f"addr: {addr!r} is not an address of the form host:port")
    state = _text(status, "status.", "state", errors)
    if state and state not in REPORTED_STATES:
        errors.append(f"status.state: {state!r} is not one of {', '.join(REPORTED_STATES)}")
    warmup_until = now + _warmup_left(status, errors)
    endpoint = Endpoint(
        id=id,
        service=_text(details, "details.", "backend", errors),
        addr=addr,
        zone=_text(details, "details.", "zone", errors),
        gen=_software_version(details, errors),
        capacity=min(MAX_CAPACITY, _number(details, "details.", "capacity", 1, errors)),
        state=state,
        warmup_until=warmup_until,
        seq=_number(status, "status.", "seq", 0, errors),
        last_heartbeat_at=now,
    )
    if errors:
        raise HeartbeatError(errors)
    return endpoint


def _is_address(text: str) -> bool:
    """Whether it is `host:port`, with a port that a connection can have."""
    host, _, port = text.rpartition(":")
    return bool(host) and PORT.fullmatch(port) is not None and int(port) <= MAX_PORT


def _text(parent: Any, path: str, name: str, errors: list[str]) -> str:
    value = parent.get(name) if isinstance(parent, dict) else None
    if isinstance(value, str) and not is_encodable(value):
        errors.append(f"{path}{name}: {NOT_ENCODABLE}")
        return ""
    if isinstance(value, str) and value:
        return value
    errors.append(f"{path}{name}: {value!r} is not a non-empty string")
    return ""


def _software_version(details: Any, errors: list[str]) -> str:
    version = str(details.get("gen", "")) if isinstance(details, dict) else ""
    if not is_encodable(version):
        errors.append(f"details.gen: {NOT_ENCODABLE}")
    return version


def _number(parent: Any, path: str, name: str, minimum: int, errors: list[str]) -> int:
    value = parent.get(name) if isinstance(parent, dict) else None
    if isinstance(value, int) and not isinstance(value, bool) and minimum <= value:
        return value
    errors.append(f"{path}{name}: {value!r} is not an integer of at least {minimum}")
    return 0


def _warmup_left(status: Any, errors: list[str]) -> float:
    left = status.get("warmupLeft", "0s") if isinstance(status, dict) else "0s"
    try:
        return min(MAX_WARMUP_S, parse_duration(left))
    except ValueError as error:
        errors.append(f"status.warmupLeft: {error}")
        return 0.0


class EndpointRegistry:
    """All endpoints, with a version that increases with every change relevant to the data plane.

    Versions are comparable within one leader's epoch only.
    """

    def __init__(self, recorded_departure: DepartureLookup = lambda id: None) -> None:
        """`recorded_departure`: returns how far a server has left by the replicated log."""
        self._recorded_departure = recorded_departure
        self.endpoints: dict[str, Endpoint] = {}  # by id
        self.version = 0
        self._by_last_change: dict[str, None] = {}  # ids, the last changed one at the end

    def _mark_changed(self, endpoint: Endpoint) -> None:
        self.version += 1
        endpoint.changed_at_version = self.version
        self._move_to_end(endpoint.id)

    def _move_to_end(self, id: str) -> None:
        self._by_last_change.pop(id, None)
        self._by_last_change[id] = None

    def record_heartbeat(self, heartbeat: Endpoint) -> bool:
        """Record a heartbeat. True if the change has to be sent to the data plane.

        Heartbeats older than the newest one, and those of a server that reported its end, are
        ignored. A draining server does not become ready again until it restarts.
        """
        known = self.endpoints.get(heartbeat.id)
        departure = self._recorded_departure(heartbeat.id)
        if departure is Departure.ENDED:
            heartbeat.state = "gone"
            return self.mark_ended(heartbeat.id, heartbeat.last_heartbeat_at)
        if departure is Departure.DRAINING:
            heartbeat.state = "draining"
        if known is None:
            self.endpoints[heartbeat.id] = heartbeat
            self._mark_changed(heartbeat)
            return True
        if known.has_ended or heartbeat.seq < known.seq:
            return False
        known.seq, known.last_heartbeat_at = heartbeat.seq, heartbeat.last_heartbeat_at
        if (
            known.state == "draining" and heartbeat.state == "ready"
        ):  # sent before it started to drain
            heartbeat.state = known.state
        is_refresh = known.is_refreshed_by(heartbeat)
        known.warmup_until = heartbeat.warmup_until
        if is_refresh:
            return False
        for name in _UPDATED_FIELDS:
            setattr(known, name, getattr(heartbeat, name))
        self._mark_changed(known)
        return True

    def mark_ended(self, id: str, now: float) -> bool:
        """Record that a server reported its end. True if this has to be sent to the data plane.

        An unknown server is recorded as gone too, since a delayed heartbeat may follow.
        """
        known = self.endpoints.get(id)
        if known is None:
            known = self.endpoints[id] = Endpoint(id, "", "", "", "", 1, "gone", now, 0, now)
        elif known.state == "gone" and known.has_ended:
            return False
        known.state, known.has_ended, known.last_heartbeat_at = "gone", True, now
        self._mark_changed(known)
        return True

    def is_empty(self) -> bool:
        """Whether no server is known, apart from those that are gone."""
        return all(endpoint.state == "gone" for endpoint in self.endpoints.values())

    def adopt_departures(self, newest_ended: Iterable[str], now: float) -> None:
        """Adopt the departures that the log has recorded, when this process begins to lead.

        The copy of the previous leader's registry may lack the last ones. `newest_ended`: ids of
        servers that have ended, the last one first; if the copy is empty, so many of them are added
        that data-plane nodes which were not told of them yet remove them.
        """
        added = MAX_ADOPTED_ENDS if self.is_empty() else 0
        for number, id in enumerate(newest_ended):
            if number < added or id in self.endpoints:
                self.mark_ended(id, now)
        for endpoint in self.endpoints.values():
            departure = self._recorded_departure(endpoint.id)
            if departure is Departure.DRAINING and endpoint.state == "ready":
                endpoint.state = "draining"
                self._mark_changed(endpoint)

    def expire(self, now: float, heartbeat_interval: float) -> bool:
        """Mark endpoints without recent heartbeats as gone, and remove the expired tombstones.

        An endpoint that is gone only for lack of heartbeats returns with its next heartbeat.
        True if a change has to be sent to the data plane.
        """
        before = self.version
        for id, endpoint in list(self.endpoints.items()):
            silent_for = now - endpoint.last_heartbeat_at
            if endpoint.state == "gone":
                if silent_for > TOMBSTONE_S:
                    del self.endpoints[id]
                    self._by_last_change.pop(id, None)
            elif silent_for > MISSED_HEARTBEATS * heartbeat_interval:
                endpoint.state = "gone"
                self._mark_changed(endpoint)
        return self.version != before

    def restart_warmup(self, zone: str, now: float, warmups: dict[str, float]) -> bool:
        """Restart the warm-up (slow start) of a zone's endpoints, as when its evacuation ends.

        They had no traffic and may no longer be warm, whatever their last heartbeat reported.
        `warmups` has the duration in seconds by service. True if a change has to be sent to the
        data plane.
        """
        before = self.version
        for endpoint in self.endpoints.values():
            warmup = warmups.get(endpoint.service, 0)
            if endpoint.zone == zone and endpoint.state != "gone" and warmup > 0:
                endpoint.warmup_until = max(endpoint.warmup_until, now + warmup)
                self._mark_changed(endpoint)
        return self.version != before

    def changed_since(self, version: int) -> list[Endpoint]:
        """Endpoints that changed after `version`, most recent change first."""
        changed = []
        for id in reversed(self._by_last_change):
            if (endpoint := self.endpoints[id]).changed_at_version <= version:
                break
            changed.append(endpoint)
        return changed

    def apply_update(self, update: Iterable[Endpoint], version: int, is_full: bool) -> None:
        """Apply an update from the leader's registry at `version`: a full list, or only changes."""
        if is_full:
            self.endpoints, self._by_last_change = {}, {}
        for endpoint in update:
            self.endpoints[endpoint.id] = replace(endpoint, changed_at_version=version)
            self._move_to_end(endpoint.id)
        self.version = version
