"""One process of the system: reads its settings, takes the parts that its machine is there for,
runs until SIGTERM. Changed settings (SIGHUP) are told to the parts."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
from collections.abc import Callable
from typing import Protocol

import uvloop

from cairndale.events import Event, log_event, set_up_logging
from cairndale.raft.storage import StorageError
from cairndale.settings import Settings, SettingsError, read

SETTINGS = "CAIRNDALE_CONFIG"


class NodeRole(Protocol):
    async def start(self) -> None: ...
    async def stop(self) -> None: ...
    def reconfigure(self, settings: Settings) -> None: ...


async def play(settings: Settings, hung_up: Callable[[], bool] = bool) -> None:
    """A machine with a disk holds the state, one that clients reach carries the traffic; one may do
    both. `hung_up`: whether the settings file has changed since this process began."""
    parts: list[NodeRole] = []
    if settings.state is not None:
        from cairndale.control.node import ControlNode

        parts.append(ControlNode(settings))
    if "edge" in settings.serves:
        from cairndale.dataplane.node import DataPlaneNode

        parts.append(DataPlaneNode(settings))
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def reread() -> None:
        try:
            now = read(os.environ.get(SETTINGS, ""))
        except SettingsError as error:
            log_event(Event.SETTINGS_WRONG, "the settings stay as they were: %s", error)
            return
        log_event(Event.SETTINGS_READ, "seeds %s", " ".join(f"{h}:{p}" for h, p in now.seeds))
        for part in parts:
            part.reconfigure(now)

    loop.add_signal_handler(signal.SIGHUP, reread)
    if hung_up():
        reread()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    for part in parts:
        await part.start()
    gc.collect()
    gc.freeze()
    log_event(Event.STARTED, "%s as %s", settings.name, settings.role)
    await stop.wait()
    log_event(Event.STOPPING, "%s", settings.name)
    await asyncio.gather(*(part.stop() for part in parts))
    log_event(Event.ENDED, "%s", settings.name)


def run(hung_up: Callable[[], bool]) -> int:
    """The exit status."""
    set_up_logging()
    try:
        uvloop.run(play(read(os.environ.get(SETTINGS, "")), hung_up))
    except SettingsError as error:
        for line in error.errors:
            log_event(Event.SETTINGS_WRONG, "%s", line)
        return 1
    except (StorageError, OSError) as error:
        log_event(Event.DISK_UNREADABLE, "%s", error)
        return 1
    return 0
