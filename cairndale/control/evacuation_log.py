"""Decides which calls to evacuate or restore a zone are retries of one order.

An evacuation call has neither a body nor a name. A second call may be a retry by the same operator,
who got no clear answer, or an order of another operator, whose evacuation holds until it is undone
as well.

A call counts as a retry of the previous order while that order is unanswered, and for the retry
window after its first call, unless the caller is known to have received the answer. Copies of one
call may arrive through two nodes, and late: each call carries an id given where it entered the
system, and an order has the id of its first call. A copy that arrives after its caller may have
ordered the opposite is not executed (`call_origin.py`).
"""

from __future__ import annotations

import random
from dataclasses import dataclass

MAX_REMEMBERED_CALLS = 1024  # the replicated state remembers more


@dataclass(slots=True)
class _Order:
    verb: str
    id: str
    began_at: float  # arrival of its first call
    calls_in_flight: int = 0
    is_acknowledged: bool = False  # the caller has received the answer


class EvacuationLog:
    """The newest order of each zone, within one term. Times are seconds on the leader's clock."""

    def __init__(self, now: float, retry_window: float, had_predecessor: bool) -> None:
        """`retry_window`: seconds in which an unanswered order may be retried.

        `had_predecessor`: orders given to an earlier leader may be retried at this one.
        """
        self._retry_window = retry_window
        self._predecessor_orders_until = now + retry_window if had_predecessor else now
        self._newest: dict[str, _Order] = {}  # by zone
        self._order_ids: dict[str, str] = {}  # by call id

    def is_known(self, call_id: str) -> bool:
        """Whether a copy of this call has arrived in this term before."""
        return call_id in self._order_ids

    def begin_call(
        self, now: float, zone: str, verb: str, is_in_force: bool, call_id: str = ""
    ) -> str:
        """The id of the order that a call belongs to; empty if there is nothing to do.

        `is_in_force`: the zone already is in the state that the call requests. Each call must be
        ended with `end_call`.
        """
        newest = self._newest.get(zone)
        if call_id in self._order_ids:  # a copy of a known call, whatever came since
            if newest and newest.id == self._order_ids[call_id]:
                newest.calls_in_flight += 1
            return self._order_ids[call_id]
        if newest is None and is_in_force and now < self._predecessor_orders_until:
            return self._remember(call_id, "")
        if newest is None or newest.verb != verb or not self._may_be_repeated(now, newest):
            order_id = call_id or f"{random.getrandbits(64):016x}"
            newest = self._newest[zone] = _Order(verb, order_id, now)
        newest.calls_in_flight += 1
        return self._remember(call_id, newest.id)

    def _remember(self, call_id: str, order_id: str) -> str:
        if call_id:
            self._order_ids[call_id] = order_id
            while len(self._order_ids) > MAX_REMEMBERED_CALLS:
                del self._order_ids[next(iter(self._order_ids))]
        return order_id

    def _may_be_repeated(self, now: float, order: _Order) -> bool:
        is_recent = now - order.began_at < self._retry_window
        return not order.is_acknowledged and (order.calls_in_flight > 0 or is_recent)

    def end_call(self, zone: str, order_id: str) -> None:
        """Notes that a call of this order was answered or has failed."""
        if (newest := self._newest.get(zone)) and newest.id == order_id:
            newest.calls_in_flight -= 1

    def acknowledge(self, zone: str, order_id: str) -> None:
        """Notes that the caller has received the answer: a later call is a new order."""
        if (newest := self._newest.get(zone)) and newest.id == order_id:
            newest.is_acknowledged = True
