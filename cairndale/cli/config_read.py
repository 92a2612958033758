"""The command `config read`."""

from __future__ import annotations

import json
from typing import ClassVar

from cleo.io.inputs.option import Option

from cairndale.cli.command import AT, ApiCommand, ExitCode


class ConfigReadCommand(ApiCommand):
    """Prints the configuration in force."""

    name = "config read"
    description = "Prints the configuration in force, as JSON."
    options: ClassVar[list[Option]] = [AT]

    def run_command(self) -> ExitCode:
        """Print the configuration as indented JSON."""
        self.line(json.dumps(self.call_api("GET", "Config.Read"), indent=2))
        return ExitCode.DONE
