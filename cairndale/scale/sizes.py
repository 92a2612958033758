"""The size of a scale run: its parameters, their limits, and the largest that fits this machine."""

from __future__ import annotations

import os
from dataclasses import dataclass, fields, replace

MAX_PROCESSES = 100
INGRESSES_PER_PROCESS = 150  # at most this many simulated ingresses share a process
SERVERS_PER_PROCESS = 1000  # at most this many simulated servers share a process
CORE_MB, WORKER_MB = 60.0, 45.0  # minimum memory of a core process and of an empty worker
# memory of a simulated ingress: its sockets and what it received, shared where it is the same
INGRESS_MB = 0.12
SERVER_MB = 0.02
ITEM_MB = 0.0015  # memory of a route or a tenant in a process that has the configuration
MAX_VALUES = {
    "ingresses": 10_000,
    "servers": 40_000,
    "services": 1_000,
    "tenants": 400_000,
    "routes": 50_000,
}


@dataclass(frozen=True, slots=True)
class Size:
    """The parameters of a scale run; each is also a command-line flag."""

    ingresses: int = 30  # simulated ones
    real: int = 2  # real ingresses beside them
    cores: int = 5
    servers: int = 100
    services: int = 3
    tenants: int = 50
    routes: int = 20
    regions: int = 3
    changes_per_s: float = 0.5
    seconds: float = 20.0  # of the measured interval, before the faults

    @property
    def ingress_processes(self) -> int:
        """Number of processes that the simulated ingresses share."""
        return max(1, -(-self.ingresses // INGRESSES_PER_PROCESS), min(8, self.ingresses // 10))

    @property
    def server_processes(self) -> int:
        """Number of processes that the simulated servers share."""
        return max(1, -(-self.servers // SERVERS_PER_PROCESS))

    @property
    def processes(self) -> int:
        return self.ingress_processes + self.server_processes + self.cores + self.real + 1

    @property
    def memory_mb(self) -> float:
        """A lower bound of the memory of a run, from what is known before it."""
        items = (self.routes + self.tenants) * ITEM_MB
        simulated = self.ingresses * INGRESS_MB + self.servers * SERVER_MB
        nodes = (self.ingress_processes + self.server_processes) * WORKER_MB
        return (
            simulated
            + nodes
            + (self.cores + self.real) * (CORE_MB + items + self.servers * SERVER_MB)
        )


def memory_of_machine_mb() -> float:
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 1e6


def errors_of(size: Size, memory_mb: float, descriptors: int) -> list[str]:
    """Return all errors of a size, with a size that would fit; none if it can be run."""
    errors = []
    for field in fields(Size):
        value = getattr(size, field.name)
        minimum = {"real": 0, "changes_per_s": 0.0, "seconds": 1.0, "cores": 1}.get(field.name, 1)
        if value < minimum:
            errors.append(f"--{field.name.replace('_', '-')} {value}: at least {minimum}")
    for name, maximum in MAX_VALUES.items():
        if getattr(size, name) > maximum:
            errors.append(f"--{name} {getattr(size, name)}: at most {maximum}")
    upper_limits = {"cores": 15, "real": 10, "regions": 12, "seconds": 600.0, "changes_per_s": 20.0}
    for name, upper_limit in upper_limits.items():
        if getattr(size, name) > upper_limit:
            errors.append(
                f"--{name.replace('_', '-')} {getattr(size, name)}: at most {upper_limit}"
            )
    if size.services > size.servers:
        errors.append(f"--services {size.services}: at most one for each of {size.servers} servers")
    if errors:
        return errors
    has_too_many_processes, has_too_little_memory = (
        size.processes > MAX_PROCESSES,
        size.memory_mb > memory_mb / 2,
    )
    if has_too_many_processes or has_too_little_memory:
        smaller = largest_fitting(size, memory_mb)
        suggestion = "none would fit"
        if smaller:
            suggestion = f"--ingresses {smaller.ingresses} --servers {smaller.servers} would fit"
        if has_too_many_processes:
            errors.append(f"{size.processes} processes: at most {MAX_PROCESSES}; {suggestion}")
        if has_too_little_memory:
            errors.append(f"{size.memory_mb:.0f} MB: at most half of {memory_mb:.0f}; {suggestion}")
    if (needed := 3 * INGRESSES_PER_PROCESS + 100) > descriptors:
        errors.append(f"{needed} descriptors per process are needed, the limit is {descriptors}")
    return errors


def largest_fitting(size: Size, memory_mb: float) -> Size | None:
    """Return the largest size that fits with the same ratio of ingresses to servers, or None."""
    for percent in range(99, 0, -1):
        ingresses, servers = (
            max(1, size.ingresses * percent // 100),
            max(1, size.servers * percent // 100),
        )
        candidate = replace(
            size, ingresses=ingresses, servers=servers, services=min(size.services, servers)
        )
        if candidate.processes <= MAX_PROCESSES and candidate.memory_mb <= memory_mb / 2:
            return candidate
    return None
