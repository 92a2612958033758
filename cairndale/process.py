"""One process of the system: its settings, its nodes and its signals.

SIGTERM and SIGINT shut the process down gracefully, SIGHUP reloads the settings file.
"""

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
from cairndale.settings import Settings, SettingsError, read_settings

SETTINGS_VARIABLE = "CAIRNDALE_CONFIG"  # the environment variable that names the settings file


class Node(Protocol):
    """A node that a process runs: a control node or a data-plane node."""

    async def start(self) -> None:
        """Return once the node listens. Raises OSError if a port is in use."""

    async def stop(self) -> None:
        """Return once all accepted work is done."""

    def reconfigure(self, settings: Settings) -> None:
        """Apply changed settings."""


def create_nodes(settings: Settings) -> list[Node]:
    """Create the nodes that this machine runs.

    A machine with a state directory runs a control node, one that serves clients a data-plane node.
    Only the required modules are imported. Raises StorageError if the state on disk cannot be read.
    """
    nodes: list[Node] = []
    if settings.state_dir is not None:
        from cairndale.control.node import ControlNode

        nodes.append(ControlNode(settings))
    if "edge" in settings.serves:
        from cairndale.dataplane.node import DataPlaneNode

        nodes.append(DataPlaneNode(settings))
    return nodes


async def serve(settings: Settings, sighup_received: Callable[[], bool]) -> None:
    """Run the machine's nodes until SIGTERM or SIGINT.

    `sighup_received`: whether a SIGHUP came before this call, so that the settings may be outdated.
    """
    nodes = create_nodes(settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def reload() -> None:
        try:
            changed = read_settings(os.environ.get(SETTINGS_VARIABLE, ""))
        except SettingsError as error:
            log_event(Event.SETTINGS_INVALID, "keeping the previous settings: %s", error)
            return
        log_event(Event.SETTINGS_READ, "seeds %s", " ".join(f"{h}:{p}" for h, p in changed.seeds))
        for node in nodes:
            node.reconfigure(changed)

    loop.add_signal_handler(signal.SIGHUP, reload)
    if sighup_received():
        reload()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    for node in nodes:
        await node.start()
    # Objects created so far live as long as the process: exclude them from garbage collection.
    gc.collect()
    gc.freeze()
    log_event(Event.STARTED, "%s as %s", settings.name, settings.role)
    await stop.wait()
    log_event(Event.STOPPING, "%s", settings.name)
    await asyncio.gather(*(node.stop() for node in nodes))
    log_event(Event.ENDED, "%s", settings.name)


def run(sighup_received: Callable[[], bool]) -> int:
    """Run the process until it ends, and return its exit status.

    0 after a graceful shutdown; 1 if the settings are invalid, the state cannot be read, or a port
    is in use. Each cause is logged.
    """
    set_up_logging()
    try:
        uvloop.run(serve(read_settings(os.environ.get(SETTINGS_VARIABLE, "")), sighup_received))
    except SettingsError as error:
        for line in error.errors:
            log_event(Event.SETTINGS_INVALID, "%s", line)
        return 1
    except (StorageError, OSError) as error:
        log_event(Event.DISK_UNREADABLE, "%s", error)
        return 1
    return 0
