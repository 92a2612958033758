"""Known defects for a storm's processes, to see that its judge finds them:
`storm SEED COUNT cairndale.chaos.mutations:NAME`."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from cairndale.chaos import control_mutations
from cairndale.chaos.control_mutations import (  # by name here as well
    answers_by_number,
    beats_alone,
    foreign_words,
    gone_members_vote,
    new_majority_only,
    old_words,
    own_reads,
    own_refusals,
    short_memory,
    torn_snapshot,
    unconfirmed,
    unsynced_votes,
)

__all__ = [
    "answers_by_number",
    "beats_alone",
    "foreign_words",
    "gone_members_vote",
    "new_majority_only",
    "old_words",
    "own_reads",
    "own_refusals",
    "short_memory",
    "torn_snapshot",
    "unconfirmed",
    "unsynced_votes",
]


def several() -> None:
    """Those that a storm of the tests is to find all at once."""
    broken_promise()
    free_starts()
    control_mutations.short_memory()


def early_ack() -> None:
    """A configuration is acknowledged before every ingress serves by it."""
    from cairndale.control.change_queue import ChangeQueue

    async def at_once(self: ChangeQueue, version: int) -> None:
        return

    ChangeQueue.wait_until_acknowledged = at_once  # type: ignore[method-assign]


def broken_promise() -> None:
    """What was sent and got no answer is called refused."""
    from cairndale.ingress.policy import interface as it
    from cairndale.ingress.policy.engine import RequestPolicy

    end = RequestPolicy.end

    def refused(self: RequestPolicy, request: Any, answer: it.Action) -> None:
        end(
            self,
            request,
            it.Refuse(answer.request, 0, False) if isinstance(answer, it.Fail) else answer,
        )

    RequestPolicy.end = refused  # type: ignore[method-assign]


def sent_twice() -> None:
    """A connection that broke under a request is taken for one that never carried it."""
    from cairndale.ingress.net.backends import Exchange
    from cairndale.ingress.net.engine import AttemptResult
    from cairndale.ingress.policy.interface import Outcome

    def lost(self: Exchange) -> None:
        self.end(AttemptResult(Outcome.CONNECT_FAILED))

    Exchange.fail = lost  # type: ignore[method-assign]


def going_back() -> None:
    """News of an older version is taken as well."""
    from cairndale.dataplane.config_client import ConfigClient

    apply = ConfigClient.apply

    def older(self: ConfigClient, *args: Any) -> Any:
        self.cursor = replace(self.cursor, config_version=0)
        return apply(self, *args)

    ConfigClient.apply = older  # type: ignore[method-assign, assignment]


def unkept_lease() -> None:
    """An ingress serves on when its lease is over, and a change does not wait for those it did not
    hear."""
    from cairndale.dataplane.serving_state import ServingState
    from cairndale.registry.nodes import NodeRegistry

    ServingState.may_serve = lambda self: True  # type: ignore[method-assign]
    NodeRegistry.all_ingresses_at_version = lambda self, now, config_version: all(  # type: ignore[method-assign]
        held.config_version >= config_version
        for held in self.leases.values()
        if held.is_listed and held.node.kind == "edge"
    )


def free_starts() -> None:
    """Requests to cold servers are not dealt."""
    from cairndale.dataplane.endpoint_selection import EndpointSelector

    EndpointSelector.required_units = lambda self: ()  # type: ignore[method-assign]


def free_tries() -> None:
    """Further tries cost nothing."""
    from cairndale.dataplane.endpoint_selection import EndpointSelector, RetryBudget

    pick = EndpointSelector.pick

    def free(self: EndpointSelector, *args: Any, **named: Any) -> Any:
        self.retry_budgets = {service: RetryBudget(2.0) for service in self.ready_by_service}
        return pick(self, *args, **named)

    EndpointSelector.pick = free  # type: ignore[method-assign]


def generous_counter() -> None:
    """All that is asked for is leased."""
    from cairndale.quota.quota_counter import QuotaCounter

    QuotaCounter.grant = lambda self, now, tenant, amount, spent: 0.0  # type: ignore[method-assign]
