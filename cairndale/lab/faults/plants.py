"""Known defects that can be put into the program under test, to see that the judge finds them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

Plant = Callable[[Any], None]  # told the wrapper's disk


def unsynced_answer(disk: Any) -> None:
    """Writes are answered before they are on disk."""
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
    """A follower says yes to writes on its own."""
    from cairndale.discovery.service import Service

    lead = Service.require_leader

    def always(self: Service) -> None:
        if self.role != "follower":
            lead(self)

    Service.require_leader = always  # type: ignore[method-assign]


def unfenced_owner(disk: Any) -> None:
    """A leader that is told of its successor says yes and goes on."""
    from cairndale.discovery.service import Service

    async def ignored(self: Service, lineage: str, epoch: int, leader: str) -> None:
        return None

    Service.depose = ignored  # type: ignore[method-assign]


def young_reads(disk: Any) -> None:
    """A follower says of its list that it is fresh, however long it has not heard its leader."""
    from cairndale.discovery.replica import ReplicationProgress

    ReplicationProgress.age = lambda self, state, now: 0.0  # type: ignore[method-assign]


def forgotten_ids(disk: Any) -> None:
    """A write that is repeated with its id is carried out again."""
    from cairndale.discovery.state import State

    decide = State.decide

    def again(self: State, request: Any) -> Any:
        self.writes.pop(request.id, None)
        return decide(self, request)

    State.decide = again  # type: ignore[method-assign]


def sent_again(disk: Any) -> None:
    """An ingress sends what takes effect again a second time when an attempt was reset."""
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
