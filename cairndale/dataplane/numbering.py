"""Numbers for services, tenants, zones and regions, which the policy knows by number only."""

from __future__ import annotations

from collections.abc import Mapping


class Numbering:
    """Assigns numbers to names; they stay the same for the life of the process.

    Zones and regions are those of the settings at process start. Services and tenants are numbered
    from 1 in the order of their first use.
    """

    def __init__(self, zones: Mapping[str, str]) -> None:
        """`zones`: the region of each zone."""
        self._zones = {zone: number for number, zone in enumerate(sorted(zones))}
        self._regions = {r: number for number, r in enumerate(sorted(set(zones.values())))}
        self._services: dict[str, int] = {}
        self._service_names: dict[int, str] = {}
        self._tenants: dict[str, int] = {}
        self._tenant_names: dict[int, str] = {}

    def zone_number(self, zone: str, unknown: int = -1) -> int:
        """Return the zone's number, or `unknown`."""
        return self._zones.get(zone, unknown)

    def region_number(self, region: str) -> int:
        """Return the region's number, or -1 if it is unknown."""
        return self._regions.get(region, -1)

    def region_numbers(self, regions: frozenset[str]) -> frozenset[int]:
        """Return the numbers of the known regions among these."""
        return frozenset(self._regions[r] for r in regions if r in self._regions)

    def service_number(self, service: str) -> int:
        """Return the service's number, a new one for a new service."""
        number = self._services.setdefault(service, len(self._services) + 1)
        self._service_names[number] = service
        return number

    def service_name(self, number: int) -> str:
        """Return the service's name. Raises KeyError for a number that was never assigned."""
        return self._service_names[number]

    def tenant_number(self, tenant: str) -> int:
        """Return the tenant's number, a new one for a new tenant."""
        number = self._tenants.setdefault(tenant, len(self._tenants) + 1)
        self._tenant_names[number] = tenant
        return number

    def tenant_name(self, number: int) -> str:
        """Return the tenant's name; empty for a number that was never assigned."""
        return self._tenant_names.get(number, "")
