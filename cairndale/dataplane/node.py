"""A data-plane node: the serving ingress, configured by the control plane's leader."""

from __future__ import annotations

import asyncio
import random

from cairndale.configuration.rules_level import RULES_LEVEL
from cairndale.dataplane.config_applier import ConfigApplier
from cairndale.dataplane.config_client import ConfigClient
from cairndale.dataplane.config_watch import ConfigWatch
from cairndale.dataplane.endpoint_list import EndpointList
from cairndale.dataplane.ingress_engine import IngressEngine
from cairndale.dataplane.leader_contact import LeaderContact
from cairndale.dataplane.lookup_api import LookupApi
from cairndale.dataplane.numbering import Numbering
from cairndale.dataplane.quota_client import QuotaClient
from cairndale.dataplane.readiness import Readiness
from cairndale.dataplane.request_router import RequestRouter
from cairndale.dataplane.serving_state import ServingState
from cairndale.dataplane.shutdown import drain
from cairndale.errors import RejectedError
from cairndale.http_api.server import HttpServer
from cairndale.ingress.net.engine import Clock
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.leader_client import LeaderClient
from cairndale.rpc.peer import RpcPeer
from cairndale.settings import Settings, format_address
from cairndale.supervision import run_restarting


class DataPlaneNode:
    """Connects the components of a data-plane node, and starts and stops them.

    Must be created within a running event loop. The monotonic clock is the loop's (s), the engine's
    clock is `Clock` (us).
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        now = asyncio.get_running_loop().time
        self.clock = Clock()
        now_us = self.clock.now
        self.rpc_peer = RpcPeer((settings.ip, settings.own_port), self._receive, self._refuse)
        self.rpc_peer.on_disconnect = self._connection_lost
        self.config_client = ConfigClient(now(), _seed_addresses(settings))
        self.leader_client = LeaderClient(
            self.rpc_peer, self._control_addresses, self._peer_addresses
        )
        self.numbering = Numbering(settings.zones)
        contact = LeaderContact(self.config_client, now, now_us)
        self.ingress = IngressEngine(settings, self.numbering, contact, self.clock)
        selector, engine = self.ingress.selector, self.ingress.engine
        self.serving = ServingState(self.config_client, selector, now)
        self.router = RequestRouter(
            config=self.config_client,
            serving=self.serving,
            numbering=self.numbering,
            rng=random.Random(),
        )
        self.listener = self.ingress.make_listener(self.router)
        endpoints = EndpointList(self.config_client, engine, self.numbering, settings)
        engine.describe_endpoint = endpoints.describe
        self.quota_client = QuotaClient(
            leader_client=self.leader_client,
            contact=contact,
            config=self.config_client,
            numbering=self.numbering,
            engine=engine,
            selector=selector,
            now_us=now_us,
        )
        engine.lease_client = engine.budget_client = self.quota_client
        self.applier = ConfigApplier(
            config=self.config_client,
            listener=self.listener,
            ingress=self.ingress,
            endpoints=endpoints,
            numbering=self.numbering,
            settings=settings,
            now=now,
            now_us=now_us,
        )
        self.readiness = Readiness(self.config_client, self.serving, selector, self.numbering)
        self._api = LookupApi(self.config_client, self.readiness, settings)
        self._readiness_server = HttpServer(self._api.readiness)
        self._lookup_server = HttpServer(self._api.lookup)
        self._watch = ConfigWatch(
            config=self.config_client,
            applier=self.applier,
            serving=self.serving,
            leader_client=self.leader_client,
            describe_node=self.describe,
            now=now,
        )
        self._watching: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and start the configuration watch. Raises OSError if an address is in use."""
        listen = self.settings.listen
        await self.rpc_peer.listen()
        await self._readiness_server.listen(listen["readyz"])
        if "dir" in listen:
            await self._lookup_server.listen(listen["dir"])
        await self.listener.listen(*listen["http"])
        self._watching = asyncio.get_running_loop().create_task(
            run_restarting("configuration watch", self._watch.run)
        )

    async def stop(self) -> None:
        """Drain within the configured grace period, then stop."""
        await drain(
            listener=self.listener,
            engine=self.ingress.engine,
            serving=self.serving,
            watch=self._watch,
            grace=self.settings.bounds.grace,
        )
        if self._watching:
            self._watching.cancel()
        for call in self.quota_client.calls:
            call.cancel()
        self._readiness_server.stop()
        self._lookup_server.stop()
        self.rpc_peer.stop()
        self.ingress.backends.stop()

    def reconfigure(self, settings: Settings) -> None:
        """Apply changed settings (SIGHUP): seeds and bounds.

        Known control nodes stay known, and the listening addresses do not change.
        """
        self.settings = settings
        self.applier.reconfigure(settings)
        self._api.reconfigure(settings)
        self.config_client.add_control_addresses(_seed_addresses(settings))

    def describe(self) -> pb.Node:
        """Return this node's current description, for the leader to announce."""
        settings = self.settings
        return pb.Node(
            name=settings.name,
            incarnation=self.rpc_peer.incarnation,
            address=self.rpc_peer.own_address,
            http_address=format_address(settings.listen["http"]),
            zone=settings.zone,
            region=settings.region,
            kind="edge",
            ready=self.readiness.is_prepared(),
            draining=self.serving.draining,
            rules_level=RULES_LEVEL,
        )

    def _control_addresses(self) -> list[str]:
        return self.config_client.control_addresses

    def _peer_addresses(self) -> list[str]:
        return self.config_client.peer_addresses(self.rpc_peer.own_address)

    def _connection_lost(self, address: str) -> None:
        """End the contact with the leader if the connection to it was closed.

        The leader has noticed the end of the connection too, or has failed.
        """
        if address == self.leader_client.leader_address:
            self.config_client.connection_lost(asyncio.get_running_loop().time())

    def _receive(self, envelope: pb.Envelope) -> None:
        """Drop the message: this node receives responses to its own calls only."""

    async def _refuse(self, envelope: pb.Envelope) -> pb.Envelope:
        raise RejectedError("this node only forwards calls")


def _seed_addresses(settings: Settings) -> list[str]:
    return [format_address(settings.core_address(seed)) for seed in settings.seeds]
