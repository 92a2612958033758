"""Common parts of the commands: exit codes, options, calls to the control API, JSON input."""

from __future__ import annotations

import json
from enum import IntEnum
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option

from cairndale.cli.control_client import ApiAnswer, UnclearAnswerError, request
from cairndale.settings import parse_address

AT = option("at", "a", "address of a control node; may be repeated", flag=False, multiple=True)
JSON = option("json", None, "print the API's answer as JSON, for programs", flag=True)
YES = option("yes", "y", "do not ask for confirmation", flag=True)


class ExitCode(IntEnum):
    """The client's exit codes."""

    DONE = 0
    REJECTED = 1
    USAGE = 2  # or input that cannot be read
    UNCLEAR = 3  # no clear answer: the order may still take effect


class CommandError(Exception):
    """A command has failed. The caller prints the lines and exits with the code."""

    def __init__(self, code: ExitCode, *lines: str) -> None:
        super().__init__(*lines)
        self.code, self.lines = code, lines


class ApiCommand(Command):
    """A command that may call the control API. Subclasses implement `run_command`."""

    def handle(self) -> int:
        """Run the command and return its exit code. Prints a `CommandError` to standard error."""
        try:
            return self.run_command()
        except CommandError as error:
            for line in error.lines:
                self.line_error(line)
            return error.code

    def run_command(self) -> ExitCode:
        """Execute the command. Raises CommandError."""
        raise NotImplementedError

    def call_api(self, method: str, call: str, body: bytes = b"") -> Any:
        """Send a call to the addresses of `--at`, and return the decoded JSON of its answer.

        Raises:
            CommandError: `--at` is missing or invalid, there was no clear answer, or the call was
                rejected.
        """
        try:
            addresses = [parse_address(text) for text in self.option("at")]
        except ValueError as error:
            raise CommandError(ExitCode.USAGE, f"--at: {error}") from error
        if not addresses:
            raise CommandError(
                ExitCode.USAGE,
                "--at ADDRESS is missing: the address of a control ingress, such as 10.1.0.11:8200",
            )
        try:
            answer = request(addresses, method, call, body)
        except UnclearAnswerError as error:
            raise CommandError(
                ExitCode.UNCLEAR,
                f"no clear answer: {error}; the order may still take effect",
            ) from error
        if answer.status >= 300:
            raise CommandError(ExitCode.REJECTED, *_error_lines(answer))
        return answer.value

    def load_object(self) -> dict[str, Any]:
        """Read the JSON object in the file that the argument `file` names. Raises CommandError."""
        name = self.argument("file")
        try:
            value = json.loads(Path(name).read_text())
        except (OSError, ValueError) as error:
            raise CommandError(ExitCode.USAGE, f"{name}: {error}") from error
        if not isinstance(value, dict):
            raise CommandError(ExitCode.USAGE, f"{name}: not a JSON object")
        return value


def _error_lines(answer: ApiAnswer) -> list[str]:
    value = answer.value
    errors = value.get("errors", [value]) if isinstance(value, dict) else [value]
    return [f"{answer.status}: {error}" for error in errors]
