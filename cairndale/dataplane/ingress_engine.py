"""The ingress in service, built for the data plane: policy, engine, backends and listener.

All of `cairndale.ingress` that this package sets by attribute is set here.
"""

from __future__ import annotations

import asyncio
import random

from cairndale.dataplane.endpoint_selection import EndpointSelector
from cairndale.dataplane.engine import ReconfigurableEngine, ReconfigurablePolicy
from cairndale.dataplane.leader_contact import LeaderContact
from cairndale.dataplane.numbering import Numbering
from cairndale.dataplane.quota_client import LEASE_TRY_TIMEOUT_S
from cairndale.dataplane.upstream_protocol import judge
from cairndale.ingress.net.backends import Backends
from cairndale.ingress.net.bodies import Memory
from cairndale.ingress.net.clients import Listener
from cairndale.ingress.net.engine import Clock, Names
from cairndale.ingress.net.requests import Reader
from cairndale.ingress.net.sockets import Sockets
from cairndale.ingress.policy import interface as it
from cairndale.quota.quota_counter import QUOTA_GRANT_LIFE_S
from cairndale.settings import Settings

RETRY_AFTER_US = 300_000  # longest Retry-After advice to a refused client: T0, d_0
CONNECT_TIMEOUT_US = 400_000  # of a connection to an endpoint: a region is 40 ms away and back
# An idle connection to an endpoint is kept so long, if the endpoint does not say how long.
KEEPALIVE_US = 6_000_000
# Without an acknowledgement for so long an endpoint counts as gone (TCP_USER_TIMEOUT).
UNACKED_TIMEOUT_MS = 900
OWN_DESCRIPTORS = 200  # of the process's file descriptors, for what is not traffic
TRAFFIC_MEMORY = 0.5  # of the process's memory, that bodies in transit may take
EXPIRY_MARGIN = 0.95  # of the time for which the counter grants units, in which they are used
TICK_US = 50_000  # of the policy
LEASE_PART = 0.25  # of a store's room that one lease may take ahead
# The class with number 0, that no route has.
NO_CLASS = it.RequestClass(
    name="none",
    aim=1_000_000,  # us
    deadline=30_000_000,  # us
    repeat=it.Repeat.UNSAFE,
    late_value=0.5,
)


def initial_settings(zone: int, fleet_size: int) -> it.Settings:
    """Return the policy's settings without a configuration: no class and no plan but the first."""
    return it.Settings(
        ingress_index=0,
        fleet_size=fleet_size,
        zone=zone,
        tick=TICK_US,
        classes=(NO_CLASS,),
        plans=(it.Plan(name="", rate=0.0, burst=0.0),),
        limits=it.Limits(
            max_attempts=6,
            advises_retry=True,
            max_retry_after=RETRY_AFTER_US,
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
            timeout=round(LEASE_TRY_TIMEOUT_S * 1e6),
            max_calls_in_flight=1e6,
            lease_ahead_share=LEASE_PART,
            strict=True,
            lease_expiry=round(QUOTA_GRANT_LIFE_S * EXPIRY_MARGIN * 1e6),
        ),
    )


class IngressEngine:
    """Policy, engine, endpoint selector and connections to endpoints, wired to one another.

    The listener comes last (`make_listener`), as what reads its requests needs the selector.
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
        self._sockets = Sockets(settings.max_open_files - OWN_DESCRIPTORS)
        self.backends = _backends(self._sockets)
        self.engine = ReconfigurableEngine(
            self.policy, first, Names(first, {}), asyncio.get_running_loop(), clock.now
        )
        self.engine.refusals, self.engine.ends_passing = (429, 503), True
        self.engine.servers = self.backends
        self.policy.plan_number = self.engine.number_of_plan
        self._memory = Memory(settings.memory_mb * TRAFFIC_MEMORY)

    def make_listener(self, reader: Reader) -> Listener:
        """Return the listener for this engine, not listening yet; `reader` reads its requests."""
        listener = Listener(self.engine, self._sockets, self._memory, self._clock.now, reader)
        listener.up = b""  # readiness has an address of its own
        return listener


def _backends(sockets: Sockets) -> Backends:
    backends = Backends(sockets, KEEPALIVE_US, CONNECT_TIMEOUT_US)
    backends.relays, backends.judge, backends.strict = True, judge, True
    backends.stalled = float("inf")  # a silent endpoint is waited for, by the request's deadline
    backends.unacked_ms = UNACKED_TIMEOUT_MS
    return backends
