"""Requests units of the limits that all ingresses share, from the leader, as requests need them.

Units of tenants' quotas are leased in advance; retries, and requests to endpoints in slow start,
are granted one by one.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from cairndale.dataplane.config_client import ConfigClient
from cairndale.dataplane.endpoint_selection import EndpointSelector
from cairndale.dataplane.leader_contact import LeaderContact
from cairndale.dataplane.numbering import Numbering
from cairndale.errors import CallError, CallTimeoutError, UnreachableError
from cairndale.events import Event, log_event
from cairndale.ingress.net.engine import CounterCallback, Engine
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.interface import Outcome
from cairndale.quota.budget_counter import RETRY
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.leader_client import LeaderClient
from cairndale.rpc.lease_timing import MAX_CLOCK_DRIFT

LEASE_TIMEOUT_S = 0.5  # for the counter's response, over all attempts
LEASE_ATTEMPT_TIMEOUT_S = 0.2  # for the response to one attempt
GRANT_TIMEOUT_S = 0.2  # for the response to a grant request, over all attempts
NO_ANSWER_DENIAL_US = 200_000  # for which no grant is requested after a request without response
# Minimum pause before another lease request after the counter rejected one or had no units left.
LEASE_PAUSE_S = 0.03


class QuotaClient:
    """The engine's `LeaseClient` (leases of quota) and `BudgetClient` (grants of shared budgets).

    No units are used from a call without response. The leader may have granted them all the same;
    they expire.
    """

    def __init__(
        self,
        *,
        leader_client: LeaderClient,
        contact: LeaderContact,
        config: ConfigClient,
        numbering: Numbering,
        engine: Engine,
        selector: EndpointSelector,
        now_us: Callable[[], int],
    ) -> None:
        """`now_us`: us on the engine's clock."""
        self._leader_client, self._contact, self._config = leader_client, contact, config
        self._numbering, self._engine, self._selector = numbering, engine, selector
        self._now_us = now_us
        self.calls: set[asyncio.Task[None]] = set()  # in flight

    def acquire(self, units: tuple[it.BudgetUnit, ...], on_granted: Callable[[int], None]) -> None:
        """Request a grant of one of each unit, or of none.

        `on_granted` is called with the expiry of the grant (us on the engine's clock), or with 0.
        """
        self._start(self._request_grant(units, on_granted))

    def lease(
        self, customer: int, amount: float, spent_units: float, answered: CounterCallback
    ) -> None:
        """Lease `amount` units of the tenant numbered `customer`, and report units already spent.

        `answered` is called with OK and the units left in the tenant's token bucket (negative by
        the units that were not granted), or with RESET if the counter could not be reached.
        """
        tenant = self._numbering.tenant_name(customer)
        self._start(self._request_lease(tenant, amount, spent_units, answered))

    def _start(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(call)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def _request_grant(
        self, units: tuple[it.BudgetUnit, ...], on_granted: Callable[[int], None]
    ) -> None:
        requested_at, until, denial_us = self._now_us(), 0, NO_ANSWER_DENIAL_US
        names = [f"{kind}/{self._unit_name(kind, number)}" for kind, number in units]
        request = pb.Envelope(budget_request=pb.BudgetRequest(budgets=names))
        try:
            if self._contact.in_contact():
                envelope = await self._leader_client.call(request, GRANT_TIMEOUT_S, GRANT_TIMEOUT_S)
                response = envelope.budget_response
                if response.granted:
                    until = requested_at + round(response.valid_ms * 1000 * (1 - MAX_CLOCK_DRIFT))
                denial_us = response.retry_after_ms * 1000
        except CallError:
            pass  # treated as denied, as without contact
        except Exception as error:  # likewise: the request that waits must not wait for good
            log_event(Event.FAILED, "budget request: %r", error)
        if not until:
            now = self._now_us()
            self._selector.deny(units, now, now + denial_us)
        on_granted(until)

    def _unit_name(self, kind: str, number: int) -> str:
        """Return the service for a retry unit, the endpoint for a slow-start unit."""
        if kind == RETRY:
            return self._numbering.service_name(number)
        return self._engine.backend_name(number)

    async def _request_lease(
        self, tenant: str, amount: float, spent_units: float, answered: CounterCallback
    ) -> None:
        """Request a lease, once more if the bucket was empty but refills by a unit in the pause.

        A new leader starts with empty token buckets.
        """
        request = pb.QuotaRequest(tenant=tenant, amount=amount, spent=spent_units)
        try:
            left = await self._units_left(request)
            if left <= -amount < 0 and self._refill_per_s(tenant) * LEASE_PAUSE_S >= 1:
                await asyncio.sleep(LEASE_PAUSE_S * random.uniform(1.0, 1.3))
                request.spent = 0.0  # the first request has reported the spent units
                left = await self._units_left(request)
        except CallError as failure:
            if not isinstance(failure, CallTimeoutError | UnreachableError):
                await asyncio.sleep(LEASE_PAUSE_S)
            # The policy retries until the deadline, or spends units without the counter.
            answered(Outcome.RESET, 0.0)
            return
        except Exception as error:  # the policy must not wait for good
            log_event(Event.FAILED, "quota request: %r", error)
            await asyncio.sleep(LEASE_PAUSE_S)
            answered(Outcome.RESET, 0.0)
            return
        answered(Outcome.OK, 0.0, left)

    def _refill_per_s(self, tenant: str) -> float:
        """Return the refill rate of the tenant's token bucket, in units/s; 0 if it has none."""
        known = self._config.route_table.tenants.get(tenant)
        return known.rate_per_s if known else 0.0

    async def _units_left(self, request: pb.QuotaRequest) -> float:
        """Return the units in the tenant's token bucket after the request. Raises CallError."""
        envelope = await self._leader_client.call(
            pb.Envelope(quota_request=request), LEASE_TIMEOUT_S, LEASE_ATTEMPT_TIMEOUT_S
        )
        return envelope.quota_response.remaining
