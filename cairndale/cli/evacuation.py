"""The commands `evacuate` and `take-back`."""

from __future__ import annotations

from typing import ClassVar
from urllib.parse import quote

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from cairndale.cli.command import AT, YES, ApiCommand, ExitCode


class _ZoneCommand(ApiCommand):
    """Sends one order about a zone, after a confirmation."""

    arguments: ClassVar[list[Argument]] = [argument("zone")]
    options: ClassVar[list[Option]] = [AT, YES]
    api_call: ClassVar[str]
    confirmation: ClassVar[str]

    def run_command(self) -> ExitCode:
        """Send the order, and print the orders that now evacuate the zone."""
        zone = self.argument("zone")
        if not self.option("yes") and not self.confirm(self.confirmation.format(zone), False):
            return ExitCode.REJECTED
        orders = self.call_api("POST", f"{self.api_call}/{quote(zone, safe='')}")["orders"]
        self.line("done")
        if orders:
            self.line(f"orders that evacuate {zone}, each to be ended with take-back: {orders}")
        return ExitCode.DONE


class EvacuateCommand(_ZoneCommand):
    """Begins to evacuate a zone."""

    name = "evacuate"
    description = "Evacuates a zone: no further requests are sent to its servers."
    api_call = "Drain.Begin"
    confirmation = "Stop sending requests to the servers in {}?"


class TakeBackCommand(_ZoneCommand):
    """Takes back an order that evacuates a zone."""

    name = "take-back"
    description = "Takes back an order that evacuates a zone."
    api_call = "Drain.Finish"
    confirmation = "Resume sending requests to the servers in {}?"
