"""Operators' orders to evacuate or restore a zone, as the leader decides them.

A zone may have several evacuation orders at a time and is restored once each of them is undone.
The evacuation log decides which calls belong to one order.
"""

from __future__ import annotations

from dataclasses import dataclass

from cairndale.configuration.commands import Command, Verb
from cairndale.control.call_origin import CallOrigin
from cairndale.control.change_queue import ChangeOutcome, ChangeQueue
from cairndale.control.leader import Leader
from cairndale.errors import StaleCallError
from cairndale.events import Event, log_event
from cairndale.http_api.server import Response, error_response, json_response


@dataclass(frozen=True, slots=True)
class _ZoneCall:
    verb: Verb
    zone: str
    order_id: str  # empty: there is nothing to do
    origin: CallOrigin
    called_at: float


class Evacuations:
    """Handles `Drain.Begin` and `Drain.Finish` at the leader."""

    def __init__(self, leader: Leader, queue: ChangeQueue) -> None:
        self._leader, self._queue = leader, queue

    async def handle(self, verb: Verb, zone: str, origin: CallOrigin) -> Response:
        """Answers a call, which may arrive more than once with the same id, and late.

        Raises StaleCallError if its caller may have given it up before it could take effect, and
        CallError if the outcome is not known.
        """
        call_id = origin.call_id
        leader = self._leader
        leadership, now, state = leader.require_leadership(), leader.now(), leader.state
        if zone not in leader.settings.zones:
            await leader.confirm(now, leadership.term)
            return error_response(404, f"no zone {zone!r}")
        if call_id in state.evacuation_calls:  # a copy arrived through another node before
            await leader.confirm(now, leadership.term)
            await self._queue.wait_until_acknowledged(state.version)
            return self._answer(zone, state.evacuation_calls[call_id])
        is_in_force = (zone in state.evacuated) == (verb is Verb.EVACUATE)
        evacuation_log = leadership.evacuation_log
        if not evacuation_log.is_known(call_id):
            self._require_unexpired(verb, zone, origin)
        order_id = evacuation_log.begin_call(now, zone, verb.value, is_in_force, call_id)
        call = _ZoneCall(verb, zone, order_id, origin, now)
        try:
            return await self._queue.run(lambda: self._decide(call))
        finally:
            evacuation_log.end_call(zone, order_id)

    async def _decide(self, call: _ZoneCall) -> ChangeOutcome:
        leader, zone = self._leader, call.zone
        leadership, state = leader.require_leadership(), leader.state
        orders, is_evacuation = state.evacuated.get(zone, 0), call.verb is Verb.EVACUATE
        is_new = bool(call.order_id) and state.latest_evacuation_orders.get(zone) != call.order_id
        has_effect = is_new and (orders > 0 or is_evacuation)
        call_id = call.origin.call_id
        if not call_id and not has_effect:
            await leader.confirm(call.called_at, leadership.term)
            return ChangeOutcome(self._answer(zone, call.order_id), state.version)
        if is_new:
            self._require_unexpired(call.verb, zone, call.origin)
        if is_new and not is_evacuation and orders == 1:
            warmups = leadership.warmups(state)
            leadership.endpoint_registry.restart_warmup(zone, leader.now(), warmups)
        # A committed order needs no further confirmation: a majority has stored its entry.
        await leader.decide(Command(call.verb, call.order_id, zone=zone, call_id=call_id))
        if is_new:
            event = Event.ZONE_EVACUATED if is_evacuation else Event.ZONE_RESTORED
            log_event(
                event,
                "zone %s, evacuation orders in force: %d, order %s, age %s",
                zone,
                leader.state.evacuated.get(zone, 0),
                call.order_id,
                _age_text(call.origin, call.called_at),
            )
        return ChangeOutcome(self._answer(zone, call.order_id), leader.state.version)

    def _require_unexpired(self, verb: Verb, zone: str, origin: CallOrigin) -> None:
        now = self._leader.now()
        if origin.has_expired(now):
            age = _age_text(origin, now)
            log_event(
                Event.ORDER_EXPIRED,
                "zone %s, %s, call %s, age %s",
                zone,
                verb.value,
                origin.call_id,
                age,
            )
            raise StaleCallError(f"the order for {zone!r} is too old to be carried out: {age}")

    def _answer(self, zone: str, order_id: str) -> Response:
        orders = self._leader.state.evacuated.get(zone, 0)
        return json_response(200, {"zone": zone, "order": order_id, "orders": orders})


def _age_text(origin: CallOrigin, now: float) -> str:
    age = origin.age(now)
    return "not known" if age is None else f"{age:.3f} s"
