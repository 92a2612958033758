"""The configuration watch: long polls at the leader, one after the other, for the node's life."""

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

WATCH_TIMEOUT_S = 3.0  # for an answer over all tries
RETRY_PAUSE_S = (0.05, 0.15)  # after a request that failed: at least, at most
DRAINING_PAUSE_S = 0.5  # between requests once this node drains
DRAIN_NOTICE_TIMEOUT_S = 1.0  # for the answer to one try to say that this node drains
DRAIN_NOTICE_PAUSE_S = 0.2  # between such tries


class ConfigWatch:
    """Renews the lease and brings what is new.

    A request says what this node holds, so each acknowledges the response before it.
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
        """`describe_node`: this node as it is now; `now`: s on the node's steady clock."""
        self._config, self._applier, self._serving = config, applier, serving
        self._leader_client = leader_client
        self._describe_node, self._now = describe_node, now

    async def run(self) -> None:
        """Watch until cancelled. Raises only what a response that was applied has raised."""
        while True:
            if not await self._poll():
                await asyncio.sleep(random.uniform(*RETRY_PAUSE_S))
            elif self._serving.draining:
                await asyncio.sleep(DRAINING_PAUSE_S)

    async def _poll(self) -> bool:
        """Make one request, and apply the answer. Return whether it was answered."""
        node = self._describe_node()
        count = self._config.ingress_count
        # The first answer may take a while.
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
            except Exception as error:
                log_event(Event.FAILED, "watch: %r", error)
                raise
        return True

    async def announce_drain(self) -> None:
        """Tell the leader that this node drains, until it has answered or the task is cancelled."""
        while True:
            watch_request = self._config.watch_request(self._describe_node(), self._now(), 0.0)
            request = pb.Envelope(watch_request=watch_request)
            try:
                await self._leader_client.call(request, WATCH_TIMEOUT_S, DRAIN_NOTICE_TIMEOUT_S)
                return
            except CallError:
                await asyncio.sleep(DRAIN_NOTICE_PAUSE_S)
