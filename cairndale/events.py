"""Numbered events of the logs; docs/events.md is their catalogue."""

from __future__ import annotations

import sys
from enum import IntEnum

import picologging


class Event(IntEnum):
    STARTED = 100
    SETTINGS_WRONG = 101
    SETTINGS_READ = 102
    STOPPING = 103
    ENDED = 104
    DISK_UNREADABLE = 110
    DISK_NAMED = 111
    DISK_FAILED = 120
    SNAPSHOT_FAILED = 121
    SNAPSHOT_DROPPED = 122
    SNAPSHOT_INSTALLED = 123
    ENTRY_DROPPED = 124
    LEADERSHIP_BEGINS = 200
    LEADERSHIP_ENDS = 201
    MEMBERS = 202
    LEAVING = 203
    CONFIG_ACCEPTED = 300
    CONFIG_REJECTED = 301
    ZONE_EVACUATED = 302
    ZONE_RESTORED = 303
    ENDPOINTS_CHANGED = 400
    CONFIG_APPLIED = 502
    NO_LEADER = 503
    DELTA_DROPPED = 504
    GARBLED_FRAME = 600
    FOREIGN_PEER = 601
    OLD_TERM = 602
    FAILED = 900


WARNINGS = (Event.FAILED, Event.NO_LEADER, Event.DISK_FAILED, Event.SNAPSHOT_FAILED)

_log = picologging.getLogger("cairndale")


def set_up_logging() -> None:
    handler = picologging.StreamHandler(sys.stderr)
    handler.setFormatter(picologging.Formatter("%(levelname)s %(message)s"))
    _log.addHandler(handler)
    _log.setLevel(picologging.INFO)


def log_event(event: Event, text: str, *args: object) -> None:
    level = picologging.WARNING if event in WARNINGS else picologging.INFO
    _log.log(level, f"{event.value} {event.name.lower()}: {text}", *args)
