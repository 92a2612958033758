"""Assembles the ingress for the data plane: policy, engine, backends and listener.

All attributes of `cairndale.ingress` objects that this package sets are set here.
"""

from __future__ import annotations

import asyncio
import random

from cairndale.dataplane.endpoint_selection import EndpointSelector
from cairndale.dataplane.engine import ReconfigurableEngine, ReconfigurablePolicy
from cairndale.dataplane.leader_contact import LeaderContact
from cairndale.dataplane.numbering import Numbering
from cairndale.dataplane.quota_client import LEASE_ATTEMPT_TIMEOUT_S
from cairndale.dataplane.upstream_protocol import classify_answer
from cairndale.ingress.net.backends import Backends
from cairndale.ingress.net.bodies import BodyMemory
from cairndale.ingress.net.clients import Listener
from cairndale.ingress.net.engine import Clock, NameTable
from cairndale.ingress.net.requests import RequestReader
from cairndale.ingress.net.sockets import Sockets
from cairndale.ingress.policy import interface as it
from cairndale.quota.quota_counter import QUOTA_GRANT_LIFETIME_S
from cairndale.settings import Settings

MAX_RETRY_AFTER_US = (
    300_000  # longest Retry-After for a rejected client: T0 and d_0 of the borrowing ring
)
CONNECT_TIMEOUT_US = 400_000  # to an endpoint; the round trip to another region takes 40 ms
# Idle timeout of a connection to an endpoint that does not announce its own keep-alive time.
KEEPALIVE_US = 6_000_000
# TCP_USER_TIMEOUT: an endpoint that does not acknowledge data for this long is unreachable.
UNACKED_TIMEOUT_MS = 900
RESERVED_DESCRIPTORS = 200  # file descriptors of the process that traffic may not use
TRAFFIC_MEMORY_FRACTION = 0.5  # of the process's memory, available to bodies in transit
GRANT_LIFE_FRACTION = 0.95  # of the validity of granted quota units, in which they are used
TICK_US = 50_000  # timer interval of the policy
MAX_LEASE_FRACTION = 0.25  # of a token bucket's capacity, that one lease may take in advance
# The class with number 0, which no route uses.
PLACEHOLDER_CLASS = it.RequestClass(
    name="none",
    aim=1_000_000,  # us
    deadline=30_000_000,  # us
    repeat=it.Repeat.UNSAFE,
    late_value=0.5,
)


def initial_settings(zone: int, fleet_size: int) -> it.Settings:
    """Return the policy's settings before any configuration: placeholder class and plan only."""
    return it.Settings(
        ingress_index=0,
        fleet_size=fleet_size,
        zone=zone,
        tick=TICK_US,
        classes=(PLACEHOLDER_CLASS,),
        plans=(it.Plan(name="", rate=0.0, burst=0.0),),
        limits=it.Limits(
            max_attempts=6,
            advises_retry=True,
            max_retry_after=MAX_RETRY_AFTER_US,
            connect_timeout=CONNECT_TIMEOUT_US,
            awaits_silent_attempts=True,
            refusal_means_not_run=True,
            may_cancel=True,
        ),
        safety=it.Safety(
            answer_slack=0,
            drain_grace=0,
            cold_share=1.0,
            ramp_time=1,
            overload_multiple=1.0,
            overload_duration=1,
        ),
        counter=it.CounterLimits(
            allowed=True,
            timeout=round(LEASE_ATTEMPT_TIMEOUT_S * 1e6),
            max_calls_in_flight=1e6,
            lease_ahead_share=MAX_LEASE_FRACTION,
            strict=True,
            lease_expiry=round(QUOTA_GRANT_LIFETIME_S * GRANT_LIFE_FRACTION * 1e6),
        ),
    )


class IngressEngine:
    """Policy, engine, endpoint selector and connections to endpoints, connected to each other.

    The listener is created last (`make_listener`), as its request reader needs the selector.
    """

    def __init__(
        self, settings: Settings, numbering: Numbering, contact: LeaderContact, clock: Clock
    ) -> None:
        first = initial_settings(numbering.zone_number(settings.zone, 0), fleet_size=1)
        self._clock = clock
        self.policy = ReconfigurablePolicy(first, random.getrandbits(32), EndpointSelector)
        self.policy.counter_reachable = contact.in_contact
        self.policy.counter_unreachable_since = contact.isolated_since_us
        self.selector = self.policy.selector
        self._sockets = Sockets(settings.max_open_files - RESERVED_DESCRIPTORS)
        self.backends = _backends(self._sockets)
        self.engine = ReconfigurableEngine(
            self.policy, first, NameTable(first, {}), asyncio.get_running_loop(), clock.now
        )
        self.engine.rejection_statuses, self.engine.aborts_streams_at_deadline = (429, 503), True
        self.engine.upstreams = self.backends
        self.policy.plan_number = self.engine.plan_number_of
        self._memory = BodyMemory(settings.memory_mb * TRAFFIC_MEMORY_FRACTION)

    def make_listener(self, reader: RequestReader) -> Listener:
        """Return the engine's listener, which does not listen yet; `reader` reads its requests."""
        listener = Listener(self.engine, self._sockets, self._memory, self._clock.now, reader)
        listener.health_path = b""  # readiness is served at an address of its own
        return listener


def _backends(sockets: Sockets) -> Backends:
    backends = Backends(sockets, KEEPALIVE_US, CONNECT_TIMEOUT_US)
    backends.relays_responses, backends.classifier, backends.written_at_first_byte = (
        True,
        classify_answer,
        True,
    )
    backends.stream_stall_timeout = float(
        "inf"
    )  # only the request's deadline limits the wait for a response
    backends.unacked_ms = UNACKED_TIMEOUT_MS
    return backends
