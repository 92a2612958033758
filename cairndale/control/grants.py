"""Grants quota units, and units of retry and warm-up budgets, to ingresses as the leader.

Quota units are granted only once the leader counts quotas: until then an ingress may still spend
units or quota shares that it was granted in an earlier term, which this leader does not know of.
"""

from __future__ import annotations

from typing import Any

from cairndale.configuration.numbers import bounded_quantity
from cairndale.control.idempotency import IdempotencyCache
from cairndale.control.ingress_counter import RECOUNT_INTERVAL_S, IngressCounter
from cairndale.errors import RejectedError, StaleCallError
from cairndale.quota.budget_counter import (
    BUDGET_GRANT_LIFETIME_S,
    RETRY,
    Budget,
    BudgetCounter,
    retry_budget,
    warmup_budget,
)
from cairndale.quota.quota_counter import QuotaCounter
from cairndale.registry.endpoints import EndpointRegistry
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.settings import Bounds

MAX_RETRY_AFTER_S = 1.0  # that an ingress is asked to wait after a denied budget request


class GrantService:
    """Answers requests for units within one term. Times are seconds on the leader's clock."""

    def __init__(
        self,
        term: int,
        now: float,
        had_predecessor: bool,
        bounds: Bounds,
        endpoint_registry: EndpointRegistry,
        node_registry: NodeRegistry,
        ingress_counter: IngressCounter,
    ) -> None:
        """`had_predecessor`: an earlier leader may have granted units."""
        self._term, self._bounds = term, bounds
        self._endpoint_registry, self._node_registry = endpoint_registry, node_registry
        self._ingress_counter = ingress_counter
        self._quota_counter = QuotaCounter(now, bounds, had_predecessor)
        self._budget_counter = BudgetCounter(now, had_predecessor)
        self._idempotency_cache = IdempotencyCache()
        self.is_counting = not had_predecessor
        self._shares_may_be_spent = False  # by an ingress, from an earlier term
        self._contact_updated_at = float("-inf")
        self._requests_per_s_in_warmup: dict[str, float] = {}  # by service

    def set_tenants(self, tenants: Any) -> None:
        """Adopts the quotas of the configuration's tenants."""
        self._quota_counter.set_quotas(
            {
                tenant["name"]: (
                    bounded_quantity(tenant["ratePerS"]),
                    bounded_quantity(tenant.get("burst") or 0),
                )
                for tenant in tenants
                if tenant.get("ratePerS")
            }
        )

    def set_services(self, backends: Any) -> None:
        """Adopts the warm-up rates of the configuration's services."""
        rates = {
            backend["name"]: bounded_quantity(backend.get("warmupPerS") or 0)
            for backend in backends
        }
        self._requests_per_s_in_warmup = rates

    def record_share_granted(self) -> None:
        """Notes that an ingress knew the ingress count before, so it may have spent its share."""
        self._shares_may_be_spent = True

    def update_contact(self, now: float, force: bool = False) -> bool:
        """Counts connected and isolated ingresses, and starts to count quotas once that is safe.

        It is safe once each ingress that may spend without a grant has made a request in this term,
        or its lease has expired: only then can the leader know that nothing was spent. As soon as
        one that made a request may have spent its share, counting starts at once, with empty
        buckets. Returns True if counting starts now. Without `force` nothing is done within
        RECOUNT_INTERVAL_S of the last update.
        """
        if not force and 0 <= now - self._contact_updated_at < RECOUNT_INTERVAL_S:
            return False
        self._contact_updated_at = now
        ingresses = self._ingress_counter.count(now)
        begins = not self.is_counting and (
            self._shares_may_be_spent or self._node_registry.all_ingresses_contacted(now)
        )
        if begins:
            self._begin_counting(now)
        if self.is_counting:
            isolated = self._node_registry.count_isolated(now, ingresses)
            self._quota_counter.set_ingresses(now, ingresses, isolated)
        return begins

    def _begin_counting(self, now: float) -> None:
        idle_time = self._node_registry.common_idle_time(now)
        counter = QuotaCounter(now, self._bounds, idle_time=idle_time)
        counter.copy_quotas(self._quota_counter)
        self._quota_counter, self.is_counting = counter, True

    def answer(self, now: float, call: pb.Envelope) -> pb.Envelope:
        """Answers a request for units; all copies of a request get the same answer.

        Raises StaleCallError for a request to another term, and RejectedError if no units can be
        granted because quotas are not counted yet or the tenant has no quota.
        """
        if call.term != self._term:
            raise StaleCallError(
                f"request is for term {call.term}, this leader's term is {self._term}"
            )
        if cached := self._idempotency_cache.get(now, call.origin, call.request_id):
            return cached
        answer = pb.Envelope(term=self._term)
        if call.HasField("budget_request"):
            answer.budget_response.CopyFrom(self.grant_budget(now, call.budget_request))
        elif (remaining := self.grant_quota(now, call.quota_request)) is not None:
            answer.quota_response.remaining = remaining
        else:
            raise RejectedError()
        self._idempotency_cache.put(now, call.origin, call.request_id, answer)
        return answer

    def grant_quota(self, now: float, request: pb.QuotaRequest) -> float | None:
        """The tenant's remaining units, as `QuotaCounter.grant` returns them.

        None if quotas are not counted yet or the tenant has no quota.
        """
        self.update_contact(now)
        if not self.is_counting:
            return None
        return self._quota_counter.grant(now, request.tenant, request.amount, request.spent)

    def grant_budget(self, now: float, request: pb.BudgetRequest) -> pb.BudgetResponse:
        """Grants one unit of each requested budget, or of none."""
        budgets = {name: self._budget(name) for name in request.budgets}
        known = {name: budget for name, budget in budgets.items() if budget}
        wait = MAX_RETRY_AFTER_S
        if len(known) == len(budgets):
            wait = self._budget_counter.grant(now, known)
        return pb.BudgetResponse(
            granted=not wait,
            valid_ms=round(BUDGET_GRANT_LIFETIME_S * 1000),
            retry_after_ms=round(min(wait, MAX_RETRY_AFTER_S) * 1000),
        )

    def _budget(self, name: str) -> Budget | None:
        kind, _, subject = name.partition("/")
        rates = self._requests_per_s_in_warmup
        if kind == RETRY:
            return retry_budget(self._bounds) if subject in rates else None
        endpoint = self._endpoint_registry.endpoints.get(subject)
        if endpoint is None:
            return None
        return warmup_budget(self._bounds, rates.get(endpoint.service, 0.0))
