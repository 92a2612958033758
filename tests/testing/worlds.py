"""Systems of real processes on loopback, for the length of one test."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TypeVar

from cairndale.chaos.world import World

WorldT = TypeVar("WorldT", bound=World)


@asynccontextmanager
async def configured(world: WorldT) -> AsyncIterator[WorldT]:
    """Starts a system and gives it the usual configuration; yields it when all of it is ready."""
    await world.begin()
    try:
        await world.configure()
        await world.ready(world.edges)
        yield world
    finally:
        await world.end()
