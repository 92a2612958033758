"""One event loop for a feature; a world for each scenario, ended whatever became of it."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
from pathlib import Path
from typing import Any


def before_all(context: Any) -> None:
    context.loop = asyncio.new_event_loop()


def after_all(context: Any) -> None:
    context.loop.close()


def before_scenario(context: Any, scenario: Any) -> None:
    context.folder = Path(tempfile.mkdtemp())


def after_scenario(context: Any, scenario: Any) -> None:
    if world := getattr(context, "world", None):
        context.loop.run_until_complete(world.end())
        if scenario.status == "failed":
            for log in sorted(context.folder.glob("*.log")):
                print(f"--- {log.name}\n{log.read_text()[-3000:]}")
    shutil.rmtree(context.folder)
