"""Units of quotas, further tries and starts at cold servers: asked of the leader of the duty as
requests need them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from cairndale.errors import CallError, CallTimeoutError, UnreachableError
from cairndale.ingress.net.engine import Answered
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.interface import Outcome
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.leader_client import LeaderClient
from cairndale.rpc.lease_timing import MAX_CLOCK_DRIFT

LEASE_TIMEOUT_S, LEASE_TRY_TIMEOUT_S = (
    0.5,
    0.2,
)  # s for the counter's answer over all tries, and for one
GRANT_TIMEOUT_S = 0.2  # s for units to be dealt
UNANSWERED_DENIAL_US = 200_000  # us for which no unit is asked for where nobody answered
# s, at the least, before it is asked again where it said no, or had nothing for now
LEASE_PAUSE_S = 0.03

Denied = Callable[[tuple[it.Unit, ...], int, int], None]  # which, now, and until when


class QuotaClient:
    """The engine's lessor and dealer. Nothing of a call that nobody answered is used: copies of it
    may have been granted, and lapse."""

    def __init__(
        self,
        leader_client: LeaderClient,
        now: Callable[[], int],
        in_touch: Callable[[], bool],
        name: Callable[[str, int], str],
        tenant: Callable[[int], str],
        rate: Callable[[str], float],
        denied: Denied,
    ) -> None:
        """`now`: us; `name`, `tenant`: of a unit's and a customer's number; `rate`: units a second
        that a tenant's store refills by, 0 if it has none."""
        self._leader_client, self._now, self._in_touch = leader_client, now, in_touch
        self._name, self._tenant, self._rate, self._denied = name, tenant, rate, denied
        self.calls: set[asyncio.Task[None]] = set()  # under way

    def _keep(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    def deal(self, units: tuple[it.Unit, ...], on_granted: Callable[[int], None]) -> None:
        self._keep(self._deal(units, on_granted))

    async def _deal(self, units: tuple[it.Unit, ...], on_granted: Callable[[int], None]) -> None:
        asked, until, wait = self._now(), 0, UNANSWERED_DENIAL_US
        deal = pb.BudgetRequest(
            budgets=[f"{kind}/{self._name(kind, number)}" for kind, number in units]
        )
        try:
            if self._in_touch():
                answer = (
                    await self._leader_client.call(
                        pb.Envelope(budget_request=deal), GRANT_TIMEOUT_S, GRANT_TIMEOUT_S
                    )
                ).budget_response
                until = (
                    asked + round(answer.valid_ms * 1000 * (1 - MAX_CLOCK_DRIFT))
                    if answer.granted
                    else 0
                )
                wait = answer.retry_after_ms * 1000
        except CallError:
            pass
        if not until:
            now = self._now()
            self._denied(units, now, now + wait)
        on_granted(until)

    def lease(self, customer: int, amount: float, told: float, answered: Answered) -> None:
        self._keep(self._lease(self._tenant(customer), amount, told, answered))

    async def _lease(self, tenant: str, amount: float, told: float, answered: Answered) -> None:
        """Asks once more where the store was empty, but will hold a unit or more within a pause: a
        leader that has just begun to count begins with empty stores."""
        asked = pb.QuotaRequest(tenant=tenant, amount=amount, spent=told)
        try:
            left = await self._left(asked)
            if left <= -amount < 0 and self._rate(tenant) * LEASE_PAUSE_S >= 1:
                await asyncio.sleep(LEASE_PAUSE_S * random.uniform(1.0, 1.3))
                asked.spent = 0.0  # heard
                left = await self._left(asked)
        except CallError as failure:
            if not isinstance(failure, CallTimeoutError | UnreachableError):
                await asyncio.sleep(LEASE_PAUSE_S)
            # Asked anew while there is time, or spent without the counter.
            answered(Outcome.RESET, 0.0)
            return
        answered(Outcome.OK, 0.0, left)

    async def _left(self, asked: pb.QuotaRequest) -> float:
        """In the store; under 0 by what was not granted. Raises CallError."""
        answer = await self._leader_client.call(
            pb.Envelope(quota_request=asked), LEASE_TIMEOUT_S, LEASE_TRY_TIMEOUT_S
        )
        return answer.quota_response.remaining
