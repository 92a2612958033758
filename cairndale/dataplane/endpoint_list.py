"""The endpoints that the leader announces, as the ingress's list of backends."""

from __future__ import annotations

from typing import Any

from cairndale.dataplane.config_client import ConfigClient, KnownEndpoint
from cairndale.dataplane.numbering import Numbering
from cairndale.events import Event, log_event
from cairndale.ingress.net.discovery import Entry, Listing
from cairndale.ingress.net.engine import Engine
from cairndale.ingress.policy import interface as it
from cairndale.settings import Settings


class ListedEndpoint(Entry):
    """A discovery entry with what the leader says beyond the base class's fields."""

    __slots__ = ("capacity", "service", "warmup_until_us")

    def __init__(
        self, raw: dict[str, Any], service: str = "", capacity: int = 0, warmup_until_us: int = 0
    ) -> None:
        """Raise ValueError where `raw` is no valid entry; `capacity`: slots, 0 if unknown."""
        super().__init__(raw)
        self.service, self.capacity = service, capacity
        self.warmup_until_us = warmup_until_us


class EndpointList:
    """Lists endpoints to the engine and describes them to the policy."""

    def __init__(
        self, config: ConfigClient, engine: Engine, numbering: Numbering, settings: Settings
    ) -> None:
        self._config, self._engine, self._numbering = config, engine, numbering
        self._settings = settings

    def reconfigure(self, settings: Settings) -> None:
        """Take other settings from now on."""
        self._settings = settings

    def update(self, changed: frozenset[str] | None) -> None:
        """List the endpoints of these ids, of which some may be gone; None: all, and no others.

        One whose address is invalid is logged and counts as gone.
        """
        known, entries = self._config.endpoints, list[Entry]()
        for id in known if changed is None else changed:
            try:
                if id in known:
                    entries.append(self._entry(known[id]))
                    continue
            except ValueError as error:
                log_event(Event.FAILED, "server %s: %s", id, error)
            if self._engine.knows(id):
                entries.append(ListedEndpoint({"name": id, "status": "removed"}))
        version = self._config.cursor.endpoints_version
        self._engine.listed(Listing.of(version, entries, changed is None))

    def _entry(self, known: KnownEndpoint) -> ListedEndpoint:
        endpoint = known.endpoint
        draining = endpoint.state != "ready" or endpoint.zone in self._config.evacuated_zones
        raw = {
            "name": endpoint.id,
            "address": endpoint.address,
            "zone": endpoint.zone,
            "status": "draining" if draining else "up",
        }
        return ListedEndpoint(raw, endpoint.service, endpoint.capacity, known.warmup_until_us)

    def describe(self, entry: Entry, number: int) -> it.ListedBackend:
        """Return an entry of this list as the policy knows it, by the engine's number.

        Raises TypeError for an entry of another list.
        """
        if not isinstance(entry, ListedEndpoint):
            raise TypeError(f"no endpoint that this list has named: {entry!r}")
        if entry.status == "removed":
            return it.ListedBackend(
                id=number,
                state=it.BackendState.GONE,
                zone=-1,
                cell=0,
                kind=0,
                weight=1.0,
                started=0,
                key=number,
            )
        up, numbering = entry.status == "up", self._numbering
        return it.ListedBackend(
            id=number,
            state=it.BackendState.READY if up else it.BackendState.DRAINING,
            zone=numbering.zone_number(entry.zone),
            cell=0,
            kind=0,
            weight=1.0,
            started=0,
            key=number,
            service=numbering.service_number(entry.service),
            region=numbering.region_number(self._settings.zones.get(entry.zone, "")),
            slots=entry.capacity,
            warmup_until=entry.warmup_until_us,
        )
