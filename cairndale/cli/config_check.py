"""The command `config check`."""

from __future__ import annotations

from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from cairndale.cli.command import ApiCommand, ExitCode
from cairndale.configuration.validation import change_errors, content_errors


class ConfigCheckCommand(ApiCommand):
    """Validates a configuration in a file, without a call to any node."""

    name = "config check"
    description = "Validates a configuration in a file and prints every error. Contacts no node."
    arguments: ClassVar[list[Argument]] = [argument("file")]

    def run_command(self) -> ExitCode:
        """Print each error."""
        body = self.load_object()
        errors = change_errors(body, True, -1) + content_errors(body)
        for line in errors:
            self.line_error(line)
        self.line(f"{len(errors)} errors" if errors else "valid")
        return ExitCode.REJECTED if errors else ExitCode.DONE
