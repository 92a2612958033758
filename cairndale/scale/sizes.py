"""How large a scale run is to be, checked whole, and what would fit on this machine."""

from __future__ import annotations

import os
from dataclasses import dataclass, fields, replace

PROCESSES = 100  # of a run, at the most
EACH = 150  # hollow ingresses that share a process, at the most
SERVERS_EACH = 1000  # hollow servers that share a process, at the most
CORE_MB, WORKER_MB = 60.0, 45.0  # MB that a core process and an empty worker take at the least
# MB of a hollow ingress: its sockets and what it was told, shared where it is the same
INGRESS_MB = 0.12
SERVER_MB = 0.02
ITEM_MB = 0.0015  # MB of a route or a tenant in a process that holds the configuration
MOST = {
    "ingresses": 10_000,
    "servers": 40_000,
    "services": 1_000,
    "tenants": 400_000,
    "routes": 50_000,
}


@dataclass(frozen=True, slots=True)
class Size:
    ingresses: int = 30  # hollow ones
    real: int = 2  # real ingresses beside them
    cores: int = 5
    servers: int = 100
    services: int = 3
    tenants: int = 50
    routes: int = 20
    regions: int = 3
    changes_per_s: float = 0.5
    seconds: float = 20.0  # of the measured stretch, before the troubles

    @property
    def workers(self) -> int:
        """Processes that hollow ingresses share."""
        return max(1, -(-self.ingresses // EACH), min(8, self.ingresses // 10))

    @property
    def beaters(self) -> int:
        """Processes that hollow servers share."""
        return max(1, -(-self.servers // SERVERS_EACH))

    @property
    def processes(self) -> int:
        return self.workers + self.beaters + self.cores + self.real + 1

    @property
    def memory_mb(self) -> float:
        """An estimate from below: what is known before the run."""
        items = (self.routes + self.tenants) * ITEM_MB
        simulated = self.ingresses * INGRESS_MB + self.servers * SERVER_MB
        nodes = (self.workers + self.beaters) * WORKER_MB
        return (
            simulated
            + nodes
            + (self.cores + self.real) * (CORE_MB + items + self.servers * SERVER_MB)
        )


def memory_of_machine_mb() -> float:
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 1e6


def errors_of(size: Size, memory_mb: float, descriptors: int) -> list[str]:
    """All that is wrong, each with what would fit; none if it can be run."""
    errors = []
    for field in fields(Size):
        value = getattr(size, field.name)
        least = {"real": 0, "changes_per_s": 0.0, "seconds": 1.0, "cores": 1}.get(field.name, 1)
        if value < least:
            errors.append(f"--{field.name.replace('_', '-')} {value}: at least {least}")
    for name, most in MOST.items():
        if getattr(size, name) > most:
            errors.append(f"--{name} {getattr(size, name)}: at most {most}")
    bounds = {"cores": 15, "real": 10, "regions": 12, "seconds": 600.0, "changes_per_s": 20.0}
    for name, bound in bounds.items():
        if getattr(size, name) > bound:
            errors.append(f"--{name.replace('_', '-')} {getattr(size, name)}: at most {bound}")
    if size.services > size.servers:
        errors.append(f"--services {size.services}: at most one for each of {size.servers} servers")
    if errors:
        return errors
    many, heavy = size.processes > PROCESSES, size.memory_mb > memory_mb / 2
    if many or heavy:
        smaller = fitting(size, memory_mb)
        fits = "none would fit"
        if smaller:
            fits = f"--ingresses {smaller.ingresses} --servers {smaller.servers} would fit"
        if many:
            errors.append(f"{size.processes} processes: at most {PROCESSES}; {fits}")
        if heavy:
            errors.append(f"{size.memory_mb:.0f} MB: at most half of {memory_mb:.0f}; {fits}")
    if (wanted := 3 * EACH + 100) > descriptors:
        errors.append(f"{wanted} descriptors a process are wanted, {descriptors} may be open")
    return errors


def fitting(size: Size, memory_mb: float) -> Size | None:
    """The largest with as many ingresses to a server that has room; None where nothing has."""
    for share in range(99, 0, -1):
        ingresses, servers = (
            max(1, size.ingresses * share // 100),
            max(1, size.servers * share // 100),
        )
        made = replace(
            size, ingresses=ingresses, servers=servers, services=min(size.services, servers)
        )
        if made.processes <= PROCESSES and made.memory_mb <= memory_mb / 2:
            return made
    return None
