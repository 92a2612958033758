"""Known defects that are put into the program under test to show that the checker finds them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

Plant = Callable[[Any], None]  # called with the wrapper's disk


def unsynced_answer(disk: Any) -> None:
    """Acknowledges writes before they are synced to disk."""
    from cairndale.discovery.store import Store

    append = Store.append

    def early(self: Store, records: Sequence[Any], new_state: Any) -> None:
        disk.unsynced = True
        try:
            append(self, records, new_state)
        finally:
            disk.unsynced = False

    Store.append = early  # type: ignore[method-assign]


def early_follower(disk: Any) -> None:
    """Lets a follower accept writes without the leader."""
    from cairndale.discovery.service import Service

    lead = Service.require_leader

    def always(self: Service) -> None:
        if self.role != "follower":
            lead(self)

    Service.require_leader = always  # type: ignore[method-assign]


def unfenced_owner(disk: Any) -> None:
    """Lets a deposed leader acknowledge its successor and continue to lead."""
    from cairndale.discovery.service import Service

    async def ignored(self: Service, lineage: str, epoch: int, leader: str) -> None:
        return None

    Service.depose = ignored  # type: ignore[method-assign]


def young_reads(disk: Any) -> None:
    """Lets a follower report age 0 for its list, however long ago its last contact with the leader
    was."""
    from cairndale.discovery.replica import ReplicationProgress

    ReplicationProgress.age = lambda self, state, now: 0.0  # type: ignore[method-assign]


def forgotten_ids(disk: Any) -> None:
    """Carries out a write again that is retried with the same request id."""
    from cairndale.discovery.state import State

    decide = State.decide

    def again(self: State, request: Any) -> Any:
        self.writes.pop(request.id, None)
        return decide(self, request)

    State.decide = again  # type: ignore[method-assign]


def sent_again(disk: Any) -> None:
    """Lets an ingress retry a request with a side effect after its attempt was reset."""
    from cairndale.ingress import wire
    from cairndale.ingress.policy.interface import Repeat

    wire._REPEATS["fragile"] = Repeat.SAFE


PLANTS: dict[str, Plant] = {
    "unsynced-answer": unsynced_answer,
    "early-follower": early_follower,
    "unfenced-owner": unfenced_owner,
    "young-reads": young_reads,
    "forgotten-ids": forgotten_ids,
    "sent-again": sent_again,
}
