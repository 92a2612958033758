"""Runs tests on uvloop, like the ingress, stops their processes, and applies KNOWN-RED.txt."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Mapping

import pytest
import uvloop

from tests import known_red
from tests.testing.discovery import RESERVED_SOCKETS, STARTED_PROCESSES


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.pluginmanager.register(known_red.PytestPlugin(config), "known-red")
    except known_red.ListError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_asyncio_loop_factories(
    config: pytest.Config, item: pytest.Item
) -> Mapping[str, Callable[[], asyncio.AbstractEventLoop]]:
    return {"uvloop": uvloop.new_event_loop}


@pytest.fixture(autouse=True)
def stop_leftover_processes() -> Iterator[None]:
    yield
    while RESERVED_SOCKETS:
        RESERVED_SOCKETS.pop().close()
    while STARTED_PROCESSES:
        program = STARTED_PROCESSES.pop()
        if program.poll() is None:
            program.kill()
            program.wait()
