"""Converts the endpoints announced by the leader to the ingress's list of backends."""

from __future__ import annotations

from typing import Any

from cairndale.dataplane.config_client import ConfigClient, KnownEndpoint
from cairndale.dataplane.numbering import Numbering
from cairndale.events import Event, log_event
from cairndale.ingress.net.discovery import EndpointEntry, EndpointUpdate
from cairndale.ingress.net.engine import Engine
from cairndale.ingress.policy import interface as it
from cairndale.json_text import field_error
from cairndale.settings import Settings


class ListedEndpoint(EndpointEntry):
    """A discovery entry with the fields that the leader announces beyond the base class's."""

    __slots__ = ("capacity", "service", "warmup_until_us")

    def __init__(
        self, raw: dict[str, Any], service: str = "", capacity: int = 0, warmup_until_us: int = 0
    ) -> None:
        """`capacity`: slots, 0 if unknown. Raises ValueError if `raw` is not a valid entry."""
        super().__init__(raw)
        self.service, self.capacity = service, capacity
        self.warmup_until_us = warmup_until_us


class EndpointList:
    """Passes endpoint updates to the engine and describes endpoints to the policy."""

    def __init__(
        self, config: ConfigClient, engine: Engine, numbering: Numbering, settings: Settings
    ) -> None:
        self._config, self._engine, self._numbering = config, engine, numbering
        self._settings = settings

    def reconfigure(self, settings: Settings) -> None:
        """Use these settings from now on."""
        self._settings = settings

    def update(self, changed: frozenset[str] | None) -> None:
        """Update the endpoints with these ids, some of which may be removed; None: a full update.

        An endpoint with an invalid address or id is logged and treated as removed.
        """
        known, entries = self._config.endpoints, list[EndpointEntry]()
        for id in known if changed is None else changed:
            try:
                if id in known:
                    entries.append(self._entry(known[id]))
                    continue
            except ValueError as error:
                log_event(Event.FAILED, "server %s: %s", id, error)
            if self._engine.is_known(id):
                entries.append(ListedEndpoint({"name": id, "status": "removed"}))
        version = self._config.cursor.endpoints_version
        self._engine.update_endpoints(EndpointUpdate.of(version, entries, changed is None))

    def _entry(self, known: KnownEndpoint) -> ListedEndpoint:
        endpoint = known.endpoint
        if reason := field_error(endpoint.id):  # `X-Target-Instance` names it
            raise ValueError(f"the id {reason}")
        draining = endpoint.state != "ready" or endpoint.zone in self._config.evacuated_zones
        raw = {
            "name": endpoint.id,
            "address": endpoint.address,
            "zone": endpoint.zone,
            "status": "draining" if draining else "up",
        }
        return ListedEndpoint(raw, endpoint.service, endpoint.capacity, known.warmup_until_us)

    def describe(self, entry: EndpointEntry, number: int) -> it.ListedBackend:
        """Return an entry in the policy's form; `number`: the engine's number of the endpoint.

        Raises TypeError for an entry that this list did not create.
        """
        if not isinstance(entry, ListedEndpoint):
            raise TypeError(f"expected a ListedEndpoint, got {entry!r}")
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
