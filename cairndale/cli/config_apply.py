"""The command `config apply`."""

from __future__ import annotations

import json
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from cairndale.cli.command import AT, YES, ApiCommand, ExitCode


class ConfigApplyCommand(ApiCommand):
    """Puts a configuration, or changes to it, in force."""

    name = "config apply"
    description = "Applies a file with a configuration, or with changes to the version in force."
    arguments: ClassVar[list[Argument]] = [argument("file")]
    options: ClassVar[list[Option]] = [AT, YES]

    def run_command(self) -> ExitCode:
        """Ask for confirmation, and apply the full content or the changes in the file."""
        body = self.load_object()
        call = "Config.Update" if "upsert" in body or "remove" in body else "Config.Replace"
        self.line(f"{call}: gen {body.get('gen')} on top of {body.get('parent')}")
        if not self.option("yes") and not self.confirm("Put it in force?", False):
            return ExitCode.REJECTED
        applied = self.call_api("POST", call, json.dumps(body).encode())
        self.line(f"in force: gen {applied['gen']}")
        return ExitCode.DONE
