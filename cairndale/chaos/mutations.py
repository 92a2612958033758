"""Known defects for the processes of a storm, to show that its checkers detect them:
`storm SEED COUNT cairndale.chaos.mutations:NAME`."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from cairndale.chaos import control_mutations
from cairndale.chaos.control_mutations import (  # re-exported
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
    """The defects that one storm of the tests has to detect together."""
    broken_promise()
    free_starts()
    control_mutations.short_memory()


def early_ack() -> None:
    """A configuration is acknowledged before every ingress has applied it."""
    from cairndale.control.change_queue import ChangeQueue

    async def return_at_once(self: ChangeQueue, version: int) -> None:
        return

    ChangeQueue.wait_until_acknowledged = return_at_once  # type: ignore[method-assign]


def broken_promise() -> None:
    """A request that was sent and got no response is reported as rejected."""
    from cairndale.ingress.policy import interface as interface
    from cairndale.ingress.policy.engine import RequestPolicy

    end = RequestPolicy.end

    def end_as_rejected(self: RequestPolicy, request: Any, answer: interface.Action) -> None:
        end(
            self,
            request,
            interface.Refuse(answer.request, 0, False)
            if isinstance(answer, interface.Fail)
            else answer,
        )

    RequestPolicy.end = end_as_rejected  # type: ignore[method-assign]


def sent_twice() -> None:
    """A connection lost in the middle of a request counts as one that never carried it."""
    from cairndale.ingress.net.engine import AttemptResult
    from cairndale.ingress.net.upstream_connection import Exchange
    from cairndale.ingress.policy.interface import Outcome

    def lost(self: Exchange) -> None:
        self.end(AttemptResult(Outcome.CONNECT_FAILED))

    Exchange.fail = lost  # type: ignore[method-assign]


def going_back() -> None:
    """Updates to an older configuration version are applied as well."""
    from cairndale.dataplane.config_client import ConfigClient

    apply = ConfigClient.apply

    def apply_older(self: ConfigClient, *args: Any) -> Any:
        self.cursor = replace(self.cursor, config_version=0)
        return apply(self, *args)

    ConfigClient.apply = apply_older  # type: ignore[method-assign, assignment]


def unkept_lease() -> None:
    """An ingress keeps serving after its lease has expired, and a change does not wait for
    ingresses that are out of contact."""
    from cairndale.dataplane.serving_state import ServingState
    from cairndale.registry.nodes import NodeRegistry

    ServingState.may_serve = lambda self: True  # type: ignore[method-assign]
    NodeRegistry.all_ingresses_at_version = lambda self, now, config_version: all(  # type: ignore[method-assign]
        member.config_version >= config_version
        for member in self.leases.values()
        if member.is_listed and member.node.kind == "edge"
    )


def free_starts() -> None:
    """Requests to servers in slow start need no granted budget."""
    from cairndale.dataplane.endpoint_selection import EndpointSelector

    EndpointSelector.required_units = lambda self: ()  # type: ignore[method-assign]


def free_tries() -> None:
    """Retries cost nothing from the retry budget."""
    from cairndale.dataplane.endpoint_selection import EndpointSelector, RetryBudget

    pick = EndpointSelector.pick

    def pick_freely(self: EndpointSelector, *args: Any, **named: Any) -> Any:
        self.retry_budgets = {service: RetryBudget(2.0) for service in self.ready_by_service}
        return pick(self, *args, **named)

    EndpointSelector.pick = pick_freely  # type: ignore[method-assign]


def generous_counter() -> None:
    """The quota counter grants every lease in full."""
    from cairndale.quota.quota_counter import QuotaCounter

    QuotaCounter.grant = lambda self, now, tenant, amount, spent: 0.0  # type: ignore[method-assign]
