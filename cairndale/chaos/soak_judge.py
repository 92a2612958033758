"""The history that a soak's clients recorded, and the rules that it must satisfy.

Times are seconds on the event loop's clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from cairndale.chaos.standins import Ledger
from cairndale.chaos.supervised_world import UnexpectedExit, exit_violations

# After an ingress has served for this long, all others know it.
KNOWN_AFTER_S = 1.5


@dataclass(slots=True)
class Lifetime:
    """When one incarnation of an ingress took connections: from ready to the end of its drain."""

    region: str
    began_at: float
    ends_at: float = float("inf")


@dataclass(frozen=True, slots=True)
class ObservedLookup:
    """One answer to a client's look-up; `regions` are those of the ingresses that it names."""

    client_region: str
    sent_at: float
    received_at: float
    regions: frozenset[str]


@dataclass(frozen=True, slots=True)
class AbortedRequest:
    """A request that was sent completely, and whose connection ended without a response."""

    request: str
    address: str
    sent_at: float
    ended_at: float


@dataclass(slots=True)
class SoakRecord:
    """All that the rules are checked on, besides the servers' ledger.

    Attributes:
        homes: home regions by route; empty: any.
        lifetimes: by the address at which an ingress takes requests.
    """

    homes: dict[str, frozenset[str]]
    lifetimes: dict[str, list[Lifetime]] = field(default_factory=dict)
    lookups: list[ObservedLookup] = field(default_factory=list)
    aborted_requests: list[AbortedRequest] = field(default_factory=list)
    unexpected_exits: list[UnexpectedExit] = field(default_factory=list)


def soak_violations(record: SoakRecord, ledger: Ledger) -> list[str]:
    """Return the violations, a line each."""
    return [
        *_check_home_regions(record),
        *_check_aborted_requests(record, ledger),
        *exit_violations(record.unexpected_exits),
    ]


def _check_home_regions(record: SoakRecord) -> Iterator[str]:
    """Clients are not sent outside a route's home regions while their own region serves."""
    for lookup in record.lookups:
        if not _is_region_served(record, lookup):
            continue
        for region in lookup.regions - {lookup.client_region}:
            routes = [name for name, homes in record.homes.items() if homes and region not in homes]
            if routes:
                yield (
                    f"at {lookup.received_at:.2f} clients of {lookup.client_region} were sent to"
                    f" {region}, no home region of {' '.join(routes)}"
                )


def _is_region_served(record: SoakRecord, lookup: ObservedLookup) -> bool:
    return any(
        lifetime.region == lookup.client_region
        and lifetime.began_at + KNOWN_AFTER_S <= lookup.sent_at
        and lookup.received_at <= lifetime.ends_at
        for lifetimes in record.lifetimes.values()
        for lifetime in lifetimes
    )


def _check_aborted_requests(record: SoakRecord, ledger: Ledger) -> Iterator[str]:
    """A request that ran gets a response: processes drain and are not killed."""
    execution_counts = ledger.execution_counts()
    for aborted in record.aborted_requests:
        if execution_counts[aborted.request]:
            yield (
                f"{aborted.request}: ran, but {aborted.address} closed the connection without a"
                f" response after {aborted.ended_at - aborted.sent_at:.2f} s,"
                f" at {aborted.ended_at:.2f}"
            )
