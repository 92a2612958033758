"""What the stand-ins of a storm wrote down: orders, reads, beats, requests. The judge looks at
nothing else.

Times are seconds on the run's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from cairndale.chaos.standins import Ledger

NEVER = float("inf")


@dataclass(slots=True)
class Probe:
    """A request at one ingress, one after the other there, that shows its version."""

    edge: str
    life: int
    request: str
    sent: float


@dataclass(slots=True)
class Sending:
    """One time that an order was sent; a status of 0: no clear answer."""

    address: str
    sent: float
    heard: float
    status: int


@dataclass(slots=True)
class Order:
    """A change of the configuration, and whenever it was sent. Its mark is in force while it is."""

    mark: str
    gen: int
    parent: int
    call: str
    body: dict[str, Any]
    sendings: list[Sending] = field(default_factory=list)

    @property
    def sent(self) -> float:
        return min((s.sent for s in self.sendings), default=NEVER)

    @property
    def acked(self) -> float:
        """When its first acknowledgement was there."""
        return min((s.heard for s in self.sendings if s.status == 200), default=NEVER)

    @property
    def refusals(self) -> list[Sending]:
        return [s for s in self.sendings if 400 <= s.status < 500]


@dataclass(slots=True)
class Read:
    """A configuration that was read; `gen` 0: there is none."""

    address: str
    sent: float
    heard: float
    gen: int
    mark: str = ""


@dataclass(slots=True)
class Shown:
    """What an operator was shown of the system."""

    sent: float
    heard: float
    leader: str
    members: list[str]
    ready: set[str]  # servers
    evacuated: dict[str, int]


@dataclass(slots=True)
class Move:
    """A zone's evacuation, from when it was acknowledged until it may be over."""

    zone: str
    acked: float
    over: float = NEVER


@dataclass(slots=True)
class Span:
    """A trouble."""

    kind: str
    begin: float
    end: float


@dataclass(slots=True)
class Isolation:
    """One that none of its own could reach, nor it them."""

    address: str
    begin: float
    end: float


@dataclass(slots=True)
class Said:
    """A clear answer of one machine to a call that it can't answer alone."""

    address: str
    what: str
    sent: float
    heard: float


@dataclass
class Record:
    ledger: Ledger
    probes: list[Probe] = field(default_factory=list)
    orders: dict[str, Order] = field(default_factory=dict)  # by mark
    reads: list[Read] = field(default_factory=list)
    shown: list[Shown] = field(default_factory=list)
    moves: list[Move] = field(default_factory=list)
    drained: list[tuple[str, float]] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    isolations: list[Isolation] = field(default_factory=list)
    said: list[Said] = field(default_factory=list)
    # processes that ended by themselves, out of trouble
    ended: list[str] = field(default_factory=list)

    def taken(self) -> list[Order]:
        """Orders that were acknowledged or seen in force, in their order."""
        shown = {line.tenant for line in self.ledger.ran if line.tenant in self.orders}
        shown |= {read.mark for read in self.reads}
        found = [o for o in self.orders.values() if o.acked < NEVER or o.mark in shown]
        return sorted(found, key=lambda o: o.gen)

    def settled(self, begin: float, end: float) -> bool:
        """Nothing began or ended to be in trouble in that time."""
        return not any(begin < at < end for span in self.spans for at in (span.begin, span.end))
