"""Registry of data-plane and control nodes, each with a lease that it has to renew at the leader.

Times are seconds on the leader's clock. A lease (Gray and Cheriton) starts at the leader with its
response, and at the node with its request, so it expires at the node before it expires here. The
registry is soft state; only the names of possible lease holders are durable, in the replicated
state.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.lease_timing import (
    FRESH_REQUEST_S,
    LEADER_CONTACT_MARGIN_S,
    NODE_LEASE_S,
    long_poll_timeout,
)

# A node without contact for this long is no longer listed, so no client is sent to it.
UNLISTED_AFTER_S = 0.8

NEVER = float("-inf")


@dataclass(slots=True)
class NodeLease:
    """The lease of one node, and what its newest watch request reported."""

    node: pb.Node
    lease_end: float
    last_contact_at: float
    requested_at: float  # lower bound of when its newest request was sent
    config_version: int  # the version by which the node serves
    # Like `requested_at`, by the leader's clock as the node estimates it; NEVER: the node did not
    # know of this term.
    requested_at_by_term_clock: float = NEVER
    # The node reported that it spent no quota since `idle_from`; at `idle_until` it was first
    # assigned a quota share.
    idle_from: float = float("inf")
    idle_until: float = float("inf")
    uses_quota_counter: bool = False  # while connected it spends only granted units
    is_listed: bool = False  # clients are sent to the node if it is ready
    is_current: bool = False  # its newest request had the newest endpoints version
    has_pending_request: bool = False


class NodeRegistry:
    """All nodes with a lease, and a version that increases with every change of the listed nodes.

    Versions are comparable within one leader's epoch only.
    """

    def __init__(self) -> None:
        self.leases: dict[str, NodeLease] = {}  # by name
        self.version = 0
        self.names_added = 0  # increases with every new name
        # Version of the last change by name, also of removed nodes; the newest at the end.
        self._changed_at: dict[str, int] = {}

    def _mark_changed(self, name: str) -> None:
        self.version += 1
        self._changed_at.pop(name, None)
        self._changed_at[name] = self.version

    def begin_term(self, now: float, possible_holders: Iterable[str]) -> None:
        """Start the term of a new leader, which does not know the leases that were granted before.

        Each possible lease holder is treated as if it had been granted a lease just now.
        """
        for name in possible_holders:
            if name not in self.leases:
                unknown = pb.Node(name=name, kind="edge")
                self.leases[name] = NodeLease(unknown, now + NODE_LEASE_S, NEVER, NEVER, -1)
                self.names_added += 1
        for lease in self.leases.values():
            lease.lease_end, lease.config_version = now + NODE_LEASE_S, -1
            lease.requested_at = lease.requested_at_by_term_clock = NEVER
            if (
                lease.is_listed
            ):  # by the previous leader: it stays listed until it misses contact here
                lease.last_contact_at = now
            lease.uses_quota_counter = False
            lease.idle_from = lease.idle_until = float("inf")

    def is_outdated(self, now: float, node: pb.Node, requested_at: float | None) -> bool:
        """Whether a watch request was delayed for so long that it is obsolete.

        It is if a later request of the same incarnation was received before it, or if a lease that
        started with it would have expired. `requested_at`: the earliest time at which it may have
        been sent; None: the node does not know of this term.
        """
        known = self.leases.get(node.name)
        is_same_incarnation = known is not None and known.node.incarnation == node.incarnation
        previous = known.requested_at_by_term_clock if known and is_same_incarnation else NEVER
        if requested_at is None:
            return previous > NEVER
        return requested_at < previous or now - requested_at > NODE_LEASE_S

    def record_request(
        self, now: float, node: pb.Node, config_version: int, requested_at: float | None = None
    ) -> bool:
        """Record a watch request as contact; only the response to it renews the lease.

        True if a change has to be sent to other nodes. `requested_at` is as in `is_outdated`.
        """
        is_fresh = requested_at is None or now - requested_at <= FRESH_REQUEST_S
        sent_at = now if requested_at is None or is_fresh else requested_at
        by_term_clock = NEVER if requested_at is None else requested_at
        known = self.leases.get(node.name)
        if known is None:
            self._add(
                NodeLease(
                    node=node,
                    lease_end=now + NODE_LEASE_S,
                    last_contact_at=now,
                    requested_at=sent_at,
                    config_version=config_version,
                    requested_at_by_term_clock=by_term_clock,
                )
            )
            return True
        has_changed = known.node != node or not known.is_listed
        # A machine runs one process of a role at a time: the previous incarnation has ended.
        if known.node.incarnation != node.incarnation:
            known.config_version = config_version
        else:
            known.config_version = max(known.config_version, config_version)
        known.node, known.last_contact_at, known.requested_at = node, now, sent_at
        known.requested_at_by_term_clock = by_term_clock
        known.has_pending_request = known.is_listed = True
        if has_changed:
            self._mark_changed(node.name)
        return has_changed

    def _add(self, lease: NodeLease) -> None:
        lease.is_listed = lease.has_pending_request = True
        self.leases[lease.node.name] = lease
        self._mark_changed(lease.node.name)
        self.names_added += 1

    def renew_lease(self, now: float, name: str) -> None:
        """Renew the lease of a node, if it is known, when its request is answered."""
        if lease := self.leases.get(name):
            lease.lease_end, lease.last_contact_at = now + NODE_LEASE_S, now
            lease.has_pending_request = False

    def expire(self, now: float) -> bool:
        """Unlist nodes without recent contact, and remove those whose lease expired long ago.

        True if a change has to be sent to other nodes.
        """
        before = self.version
        for name, lease in list(self.leases.items()):
            silent_for = now - lease.last_contact_at
            if lease.is_listed and not lease.has_pending_request and silent_for >= UNLISTED_AFTER_S:
                lease.is_listed = False
                self._mark_changed(name)
            if not lease.is_listed and lease.lease_end < now and silent_for > NODE_LEASE_S:
                del self.leases[name]
        return self.version != before

    def count_isolated(self, now: float, ingress_count: int) -> int:
        """The number of ingresses that may serve and may have lost contact with the counter."""
        connected_since = now - long_poll_timeout(ingress_count) - LEADER_CONTACT_MARGIN_S
        return sum(
            1
            for lease in self.leases.values()
            if not (lease.uses_quota_counter and lease.requested_at >= connected_since)
            and lease.lease_end >= now
            and lease.node.kind == "edge"
        )

    def common_idle_time(self, now: float) -> float:
        """The time in which no ingress has spent any quota, in seconds; 0 if that is not known."""
        ingresses = [lease for lease in self.leases.values() if lease.node.kind == "edge"]
        if any(lease.requested_at == NEVER for lease in ingresses):
            return 0.0
        begin = max((lease.idle_from for lease in ingresses), default=now)
        return max(0.0, min([now, *(lease.idle_until for lease in ingresses)]) - begin)

    def all_ingresses_contacted(self, now: float) -> bool:
        """Whether every ingress that may hold a lease has made a request in this term."""
        return all(
            lease.requested_at > NEVER
            for lease in self.leases.values()
            if lease.node.kind == "edge" and lease.lease_end >= now
        )

    def all_ingresses_at_version(self, now: float, config_version: int) -> bool:
        """Whether no ingress can serve by a configuration older than `config_version`.

        Each ingress has reported this version or a newer one, or its lease has expired.
        """
        return all(
            lease.config_version >= config_version
            for lease in self.leases.values()
            if lease.lease_end >= now and lease.node.kind == "edge"
        )

    def ingresses_below_level(self, now: float, rules_level: int) -> list[str]:
        """The names of ingresses that may serve, and may not follow the configuration's rules.

        Those of earlier versions do not follow rules of a later level; of those that a new leader
        has not heard yet it is not known.
        """
        return sorted(
            lease.node.name
            for lease in self.leases.values()
            if lease.lease_end >= now
            and lease.node.kind == "edge"
            and lease.node.rules_level < rules_level
        )

    def listed_nodes(self) -> list[pb.Node]:
        """The nodes that clients and peers may be sent to."""
        return [lease.node for lease in self.leases.values() if lease.is_listed]

    def changed_since(self, version: int) -> tuple[list[pb.Node], list[str]]:
        """Nodes that changed after `version`: those listed, and the names of those unlisted."""
        names = []
        for name, changed_at in reversed(self._changed_at.items()):
            if changed_at <= version:
                break
            names.append(name)
        listed = [x.node for n in names if (x := self.leases.get(n)) and x.is_listed]
        unlisted = [n for n in names if n not in self.leases or not self.leases[n].is_listed]
        return listed, unlisted

    def apply_update(
        self,
        listed: Iterable[pb.Node],
        unlisted: Iterable[str],
        is_full: bool,
        now: float,
        version: int,
    ) -> None:
        """Apply an update from the leader's registry at `version`: a full list, or only changes."""
        if is_full:
            self.leases = {}
        for name in unlisted:
            self.leases.pop(name, None)
        for node in listed:
            self.leases[node.name] = NodeLease(
                node, now + NODE_LEASE_S, now, now, -1, is_listed=True
            )
        self.version = version
