"""Timing that both ends of the configuration watch rely on: node leases, long polls and contact.

A data-plane node holds a lease at the leader and renews it with each watch request. The leader
keeps a request open until there is an update or its long-poll timeout is over. Both ends derive
from the same constants for how long a node counts as connected, so that the leader never takes a
node for connected that already considers itself isolated. Times are seconds; a duration measured by
one process's monotonic clock is shortened by `MAX_CLOCK_DRIFT` where another process relies on it.
"""

from __future__ import annotations

# Shorter than the time allowed for an acknowledgement, which waits until nodes that do not answer
# have stopped serving.
NODE_LEASE_S = 4.5

MIN_LONG_POLL_S = 0.25
# With many nodes polls take longer, which bounds the leader's request rate. Beyond
# MAX_LONG_POLL_S / LONG_POLL_PER_NODE_S nodes the rate grows with their number again.
LONG_POLL_PER_NODE_S = 0.015
# Two polls in a row, a response timeout and the search for another leader fit into one lease.
MAX_LONG_POLL_S = 1.0

# A response is waited for this much longer than its long-poll timeout, and by this part of what the
# timeout exceeds its minimum: with many nodes responses are larger and queue at the leader.
RESPONSE_MARGIN_S = 0.35
RESPONSE_MARGIN_FRACTION = 0.5

# Time beyond the long-poll timeout after which the leader counts a node as possibly isolated, and
# after which the node itself does. The node's is longer than the sum of the other three.
LEADER_CONTACT_MARGIN_S = 0.25
NODE_CONTACT_MARGIN_S = 0.4
# A request that arrives within this time of being made counts as made when it arrived.
FRESH_REQUEST_S = 0.05
# A request sent within this time of the previous response shows that the node is connected.
PROMPT_REQUEST_S = 0.05

# The fraction of a time span by which two monotonic clocks may differ.
MAX_CLOCK_DRIFT = 0.02


def long_poll_timeout(nodes: int) -> float:
    """Seconds that the leader may keep a watch request open, with so many data-plane nodes.

    The leader then answers at least `nodes / long_poll_timeout(nodes)` requests a second.
    """
    return min(MAX_LONG_POLL_S, max(MIN_LONG_POLL_S, LONG_POLL_PER_NODE_S * nodes))


def response_timeout(long_poll_s: float) -> float:
    """Seconds that a node waits for a response, before it looks for another leader.

    `long_poll_s` is the long-poll timeout that it requested.
    """
    excess_s = max(0.0, long_poll_s - MIN_LONG_POLL_S)
    return long_poll_s + RESPONSE_MARGIN_S + RESPONSE_MARGIN_FRACTION * excess_s
