"""Hooks of behave: one event loop, one world for each scenario, and the list of known failures."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
from pathlib import Path
from typing import Any

from tests.known_red import BehaveScenarios


def before_all(context: Any) -> None:
    context.loop = asyncio.new_event_loop()
    context.known_red = BehaveScenarios(context.config, Path.cwd())


def after_all(context: Any) -> None:
    context.loop.close()
    if known_red := getattr(context, "known_red", None):  # missing if the list is malformed
        known_red.after_all()


def before_feature(context: Any, feature: Any) -> None:
    context.known_red.before_feature(feature)


def before_scenario(context: Any, scenario: Any) -> None:
    context.folder = Path(tempfile.mkdtemp())


def after_scenario(context: Any, scenario: Any) -> None:
    if world := getattr(context, "world", None):
        context.loop.run_until_complete(world.end())
        if scenario.status.has_failed():  # also if a step has raised an exception
            for log in sorted(context.folder.glob("*.log")):
                print(f"--- {log.name}\n{log.read_text()[-3000:]}")
    shutil.rmtree(context.folder)
