"""Dispatches calls of servers and operators to their handlers at the leader.

Every answer is confirmed by contact with a majority after the call arrived (`read_index.py`), so a
node that was replaced as leader without knowing it answers nothing.
"""

from __future__ import annotations

from cairndale.configuration.commands import Verb
from cairndale.configuration.key_requirement import without_placeholder
from cairndale.control.call_origin import CallOrigin
from cairndale.control.change_queue import ChangeQueue
from cairndale.control.configuration_changes import ConfigurationChanges
from cairndale.control.departure_log import DepartureLog
from cairndale.control.evacuations import Evacuations
from cairndale.control.leader import Leader
from cairndale.control.leadership import Leadership
from cairndale.events import Event, log_event
from cairndale.http_api.router import CONTROL_ROUTES, ApiCall, RouteFailure, match
from cairndale.http_api.server import Response, error_response, json_response
from cairndale.json_text import decode_json
from cairndale.registry.departures import Departure
from cairndale.registry.endpoints import HeartbeatError, read_heartbeat

UNKNOWN_ORIGIN = CallOrigin()


class OperationHandler:
    """Answers calls while this process leads."""

    def __init__(self, leader: Leader) -> None:
        self._leader = leader
        self._departures = DepartureLog(leader)
        queue = ChangeQueue(leader)
        self._configuration_changes = ConfigurationChanges(leader, queue)
        self._evacuations = Evacuations(leader, queue)

    async def handle(
        self, method: str, target: str, body: bytes, origin: CallOrigin = UNKNOWN_ORIGIN
    ) -> Response:
        """Answers a call; `origin` was assigned where the call entered the system.

        Raises CallError if this process does not lead or no longer leads, or if the outcome is not
        known.
        """
        route = match(CONTROL_ROUTES, method, target)
        if isinstance(route, RouteFailure):
            return error_response(route.status, route.reason)
        leadership, now = self._leader.require_leadership(), self._leader.now()
        match route.call:
            case ApiCall.REPLACE:
                return await self._configuration_changes.handle(Verb.REPLACE, body)
            case ApiCall.UPDATE:
                return await self._configuration_changes.handle(Verb.UPDATE, body)
            case ApiCall.EVACUATE:
                return await self._evacuations.handle(Verb.EVACUATE, route.args["zone"], origin)
            case ApiCall.RESTORE:
                return await self._evacuations.handle(Verb.RESTORE, route.args["zone"], origin)
            case ApiCall.HEARTBEAT:
                answer = await self._record_heartbeat(leadership, route.args["id"], body, now)
            case ApiCall.DEREGISTER:
                answer = await self._record_end(leadership, route.args["id"], now)
            case call:
                await self._leader.confirm(now, leadership.term)
                return self._read(leadership, call)
        await self._leader.confirm(now, leadership.term, at_once=False)
        return answer

    def _read(self, leadership: Leadership, call: ApiCall) -> Response:
        state = self._leader.state
        match call:
            case ApiCall.READ if state.gen:
                return json_response(200, without_placeholder(state.content))
            case ApiCall.READ:
                return error_response(404, "no configuration yet")
            case ApiCall.SHOW:
                view = leadership.fleet_view(self._leader.now(), state)
                return json_response(200, view | self._leader.describe_cluster())
        return error_response(404, "no such call")

    async def _record_heartbeat(
        self, leadership: Leadership, id: str, body: bytes, now: float
    ) -> Response:
        try:
            heartbeat = read_heartbeat(id, decode_json(body), now)
        except HeartbeatError as error:
            return error_response(400, *error.errors)
        except ValueError as error:
            return error_response(400, f"not JSON: {error}")
        if leadership.endpoint_registry.record_heartbeat(heartbeat):
            fields = heartbeat.id, heartbeat.service, heartbeat.state
            log_event(Event.ENDPOINTS_CHANGED, "%s %s %s", *fields)
            self._leader.notify_change()
        if heartbeat.state == "draining":
            await self._departures.record(Departure.DRAINING, [id])
        return json_response(200, {})

    async def _record_end(self, leadership: Leadership, id: str, now: float) -> Response:
        if leadership.endpoint_registry.mark_ended(id, now):
            log_event(Event.ENDPOINTS_CHANGED, "%s gone", id)
            self._leader.notify_change()
        await self._departures.record(Departure.ENDED, [id])
        return json_response(200, {})
