"""The configuration watch: sends long polls to the leader, one after the other."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from cairndale.dataplane.config_applier import ConfigApplier
from cairndale.dataplane.config_client import ConfigClient
from cairndale.dataplane.serving_state import ServingState
from cairndale.errors import CallError
from cairndale.events import Event, log_event
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.leader_client import LeaderClient
from cairndale.rpc.lease_timing import MAX_LONG_POLL_S, long_poll_timeout, response_timeout

WATCH_TIMEOUT_S = 3.0  # for a response, over all attempts
RETRY_PAUSE_S = (0.05, 0.15)  # after a failed request: minimum and maximum
DRAINING_PAUSE_S = 0.5  # between requests while this node drains
DRAIN_NOTICE_TIMEOUT_S = 1.0  # for the response to one attempt to announce the drain
DRAIN_NOTICE_PAUSE_S = 0.2  # between these attempts


class ConfigWatch:
    """Renews the lease and fetches updates.

    Each request carries the versions that this node has, and so acknowledges the last response.
    """

    def __init__(
        self,
        *,
        config: ConfigClient,
        applier: ConfigApplier,
        serving: ServingState,
        leader_client: LeaderClient,
        describe_node: Callable[[], pb.Node],
        now: Callable[[], float],
    ) -> None:
        """`describe_node`: returns this node's current description; `now`: monotonic clock, s."""
        self._config, self._applier, self._serving = config, applier, serving
        self._leader_client = leader_client
        self._describe_node, self._now = describe_node, now

    async def run(self) -> None:
        """Watch until cancelled. Raises what making a request or applying a response raises."""
        while True:
            if not await self._poll():
                await asyncio.sleep(random.uniform(*RETRY_PAUSE_S))
            elif self._serving.draining:
                await asyncio.sleep(DRAINING_PAUSE_S)

    async def _poll(self) -> bool:
        """Make one request and apply the response. Return whether there was a response."""
        node = self._describe_node()
        count = self._config.ingress_count
        # Until the number of ingresses is known, allow for the longest poll.
        wait = long_poll_timeout(count) if count else MAX_LONG_POLL_S
        requested_at = self._now()
        request = pb.Envelope(watch_request=self._config.watch_request(node, requested_at, wait))
        try:
            answer = await self._leader_client.call(
                request, WATCH_TIMEOUT_S, response_timeout(wait)
            )
        except CallError as failure:
            self._config.request_failed()
            if not self._serving.may_serve():
                log_event(Event.NO_LEADER, "%s", failure)
            return False
        if answer.WhichOneof("body") == "watch_response":
            try:
                self._applier.apply(answer.watch_response, node, requested_at)
            except Exception:
                self._config.response_failed(answer.watch_response, requested_at)
                raise
        return True

    async def announce_drain(self) -> None:
        """Report the drain to the leader, until it acknowledges it or the task is cancelled."""
        while True:
            watch_request = self._config.watch_request(self._describe_node(), self._now(), 0.0)
            request = pb.Envelope(watch_request=watch_request)
            try:
                await self._leader_client.call(request, WATCH_TIMEOUT_S, DRAIN_NOTICE_TIMEOUT_S)
                return
            except CallError:
                await asyncio.sleep(DRAIN_NOTICE_PAUSE_S)
