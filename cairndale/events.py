"""Numbered events of the system's log.

Each line of the log is `LEVEL NUMBER name: text`. The meaning of a number never changes, while a
name may change with the code; so monitoring matches numbers. `docs/events.md` is the catalogue for
operators: a test compares it with `Event`.
"""

from __future__ import annotations

import sys
from enum import IntEnum

import picologging

from cairndale.json_text import escape_line


class Event(IntEnum):
    """The event of a log line; the name in the log is the member's name in lower case."""

    # 1xx: the process, its settings and its disk.
    STARTED = 100  # the process listens
    SETTINGS_INVALID = 101  # an error of the settings file, one line each
    SETTINGS_READ = 102  # SIGHUP: changed settings are in use
    STOPPING = 103  # SIGTERM: no new work is accepted
    ENDED = 104  # all accepted work is done
    DISK_UNREADABLE = 110  # at start: the state cannot be read, or a port is in use
    DISK_NAMED = 111  # an empty disk was assigned its id
    DISK_FAILED = 120  # a write that must be durable failed; the process ends at once
    SNAPSHOT_FAILED = 121  # a snapshot could not be written; the log is kept
    SNAPSHOT_DROPPED = 122  # a received snapshot, or a chunk of it, is corrupt or of another format
    SNAPSHOT_INSTALLED = 123  # the leader's snapshot has replaced this member's state
    ENTRY_DROPPED = 124  # a received log entry is corrupt

    # 2xx: leadership and membership of the control cluster.
    LEADERSHIP_BEGINS = 200  # this node is the leader, and has applied all earlier terms' entries
    LEADERSHIP_ENDS = 201  # its leader lease has expired, or another node is the leader
    MEMBERS = 202  # the configuration of the Raft cluster has changed
    LEAVING = 203  # before the process ends: whether leadership and vote were handed over

    # 3xx: operations.
    CONFIG_ACCEPTED = 300  # a configuration is committed and in force
    CONFIG_REJECTED = 301  # a configuration is invalid
    ZONE_EVACUATED = 302  # no requests go to a zone's servers
    ZONE_RESTORED = 303  # an evacuated zone's servers are used again
    ORDER_EXPIRED = 304  # an order for a zone came late, and is not carried out
    CONFIG_POSTPONED = 305  # a valid configuration cannot be in force at all ingresses yet

    # 4xx: the endpoint registry.
    ENDPOINTS_CHANGED = 400  # endpoints were added, changed state, or are gone

    # 5xx: the data plane.
    CONFIG_APPLIED = 502  # this ingress serves by a new configuration
    NO_LEADER = 503  # this ingress holds no lease and must not serve
    DELTA_DROPPED = 504  # a configuration delta does not fit; the full configuration is requested
    CLIENTS_REDIRECTED = 505  # lookups send clients of a region to others, or to it again
    TENANT_UNUSABLE = 506  # a tenant's name cannot be sent to servers: its requests are refused

    # 6xx: connections between the system's processes.
    MALFORMED_FRAME = 600  # bytes that are not a frame of the protocol
    FOREIGN_PEER = 601  # a peer of another system, format or address
    STALE_TERM = 602  # a message of a leader of an earlier term

    # 9xx: defects.
    FAILED = 900  # an unexpected exception


WARNINGS = (Event.FAILED, Event.NO_LEADER, Event.DISK_FAILED, Event.SNAPSHOT_FAILED)

_log = picologging.getLogger("cairndale")


def set_up_logging() -> None:
    """Send the log to standard error; called once, before the first event."""
    handler = picologging.StreamHandler(sys.stderr)
    handler.setFormatter(picologging.Formatter("%(levelname)s %(message)s"))
    _log.addHandler(handler)
    _log.setLevel(picologging.INFO)


def log_event(event: Event, text: str, *args: object) -> None:
    """Log an event; `text % args` is formatted only if the line is written.

    It stays one line, whatever the names in it: control characters are escaped.
    `WARNINGS` are logged as warnings, all others as information.
    """
    level = picologging.WARNING if event in WARNINGS else picologging.INFO
    if _log.isEnabledFor(level):
        line = escape_line(text % args if args else text)
        _log.log(level, "%s", f"{event.value} {event.name.lower()}: {line}")
