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

from cairndale.events import Event, note, set_up
from cairndale.raft.storage import StoreError
from cairndale.settings import Settings, SettingsError, read

SETTINGS = "CAIRNDALE_CONFIG"


class Part(Protocol):
    async def start(self) -> None: ...
    async def stop(self) -> None: ...
    def resettle(self, settings: Settings) -> None: ...


async def play(settings: Settings, hung_up: Callable[[], bool] = bool) -> None:
    """A machine with a disk holds the state, one that clients reach carries the traffic; one may do
    both. `hung_up`: whether the settings file has changed since this process began."""
    parts: list[Part] = []
    if settings.state is not None:
        from cairndale.control.node import Core

        parts.append(Core(settings))
    if "edge" in settings.serves:
        from cairndale.dataplane.node import House

        parts.append(House(settings))
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def reread() -> None:
        try:
            now = read(os.environ.get(SETTINGS, ""))
        except SettingsError as error:
            note(Event.SETTINGS_WRONG, "the settings stay as they were: %s", error)
            return
        note(Event.SETTINGS_READ, "seeds %s", " ".join(f"{h}:{p}" for h, p in now.seeds))
        for part in parts:
            part.resettle(now)

    loop.add_signal_handler(signal.SIGHUP, reread)
    if hung_up():
        reread()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    for part in parts:
        await part.start()
    gc.collect()
    gc.freeze()
    note(Event.STARTED, "%s as %s", settings.name, settings.role)
    await stop.wait()
    note(Event.STOPPING, "%s", settings.name)
    await asyncio.gather(*(part.stop() for part in parts))
    note(Event.ENDED, "%s", settings.name)


def run(hung_up: Callable[[], bool]) -> int:
    """The exit status."""
    set_up()
    try:
        uvloop.run(play(read(os.environ.get(SETTINGS, "")), hung_up))
    except SettingsError as error:
        for line in error.errors:
            note(Event.SETTINGS_WRONG, "%s", line)
        return 1
    except (StoreError, OSError) as error:
        note(Event.DISK_UNREADABLE, "%s", error)
        return 1
    return 0
