"""The history of a storm, as its stand-ins recorded it: orders, reads, heartbeats, requests. The
checkers use nothing else.

Times are seconds on the event loop's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from cairndale.chaos.standins import Ledger

NEVER = float("inf")


@dataclass(slots=True)
class Probe:
    """A request that shows the configuration version of one ingress; sent there in sequence."""

    edge: str
    incarnation: int
    request: str
    sent_at: float


@dataclass(slots=True)
class Submission:
    """One submission of an order; status 0 means no clear answer."""

    address: str
    sent_at: float
    received_at: float
    status: int


@dataclass(slots=True)
class Order:
    """A configuration change with all its submissions. Its marker is part of the configuration
    while the version is in force."""

    marker: str
    gen: int
    parent: int
    call: str
    body: dict[str, Any]
    submissions: list[Submission] = field(default_factory=list)

    @property
    def sent_at(self) -> float:
        return min((submission.sent_at for submission in self.submissions), default=NEVER)

    @property
    def acked_at(self) -> float:
        """When its first acknowledgement arrived."""
        return min(
            (submission.received_at for submission in self.submissions if submission.status == 200),
            default=NEVER,
        )

    @property
    def rejections(self) -> list[Submission]:
        return [submission for submission in self.submissions if 400 <= submission.status < 500]


@dataclass(slots=True)
class Read:
    """A configuration read; `gen` 0 means that there was none yet."""

    address: str
    sent_at: float
    received_at: float
    gen: int
    marker: str = ""


@dataclass(slots=True)
class FleetStatus:
    """An answer to `Fleet.Show`."""

    sent_at: float
    received_at: float
    leader: str
    members: list[str]
    ready: set[str]  # ids of servers
    evacuated: dict[str, int]


@dataclass(slots=True)
class Evacuation:
    """Evacuation of a zone, from its acknowledgement to the first call that may end it."""

    zone: str
    acked_at: float
    ends_at: float = NEVER


@dataclass(slots=True)
class FaultInterval:
    """The interval in which a fault is injected."""

    kind: str
    begin: float
    end: float


@dataclass(slots=True)
class Isolation:
    """The interval in which a control node is partitioned from all other nodes, both ways."""

    address: str
    begin: float
    end: float


@dataclass(slots=True)
class QuorumAnswer:
    """A clear answer of one machine to a call that it may answer only in contact with a quorum."""

    address: str
    description: str
    sent_at: float
    received_at: float


@dataclass
class Record:
    """The history of one storm."""

    ledger: Ledger
    probes: list[Probe] = field(default_factory=list)
    orders: dict[str, Order] = field(default_factory=dict)  # by marker
    reads: list[Read] = field(default_factory=list)
    fleet_statuses: list[FleetStatus] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    drained: list[tuple[str, float]] = field(default_factory=list)
    faults: list[FaultInterval] = field(default_factory=list)
    isolations: list[Isolation] = field(default_factory=list)
    quorum_answers: list[QuorumAnswer] = field(default_factory=list)
    # processes that exited by themselves while no fault was injected into them
    unexpected_exits: list[str] = field(default_factory=list)

    def accepted_orders(self) -> list[Order]:
        """Orders that were acknowledged or seen in force, by version."""
        served_markers = {
            execution.tenant
            for execution in self.ledger.executions
            if execution.tenant in self.orders
        }
        served_markers |= {read.marker for read in self.reads}
        accepted = [
            o for o in self.orders.values() if o.acked_at < NEVER or o.marker in served_markers
        ]
        return sorted(accepted, key=lambda o: o.gen)

    def has_no_fault_change(self, begin: float, end: float) -> bool:
        """Whether no fault began or ended in that interval."""
        return not any(begin < at < end for fault in self.faults for at in (fault.begin, fault.end))
