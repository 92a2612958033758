"""Ingresses grouped by zone and phase, so that a selection among thousands compares few groups."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from cairndale.rpc import protocol_pb2 as pb


class Phase(IntEnum):
    """How many of its requests an ingress accepts; the lowest value is preferred."""

    READY = 0
    DRAINING = 1  # accepts what it can finish in the rest of its grace period
    ENDING = 2  # accepts hardly any requests


@dataclass(slots=True)
class IngressGroup:
    """Ingresses of one zone that are in the same phase.

    Attributes:
        addresses: where the ingresses accept client requests, as `host:port`.
    """

    region: str
    zone: str
    phase: Phase
    addresses: list[str] = field(default_factory=list)


def group_ingresses(nodes: Iterable[pb.Node]) -> list[IngressGroup]:
    """The ingresses among `nodes`, without those that have not begun to serve."""
    groups: dict[tuple[str, str, Phase], IngressGroup] = {}
    for node in nodes:
        phase = _phase(node)
        if phase is None or node.kind != "edge" or not node.http_address:
            continue
        key = (node.region, node.zone, phase)
        if key not in groups:
            groups[key] = IngressGroup(*key)
        groups[key].addresses.append(node.http_address)
    return list(groups.values())


def _phase(node: pb.Node) -> Phase | None:
    if node.draining:
        return Phase.DRAINING if node.ready else Phase.ENDING
    return Phase.READY if node.ready else None


def count_by_region(groups: Iterable[IngressGroup], phases: set[Phase]) -> dict[str, int]:
    """The number of ingresses in these phases, by region; regions without any are omitted."""
    counts: Counter[str] = Counter()
    for group in groups:
        if group.phase in phases:
            counts[group.region] += len(group.addresses)
    return dict(sorted(counts.items()))
