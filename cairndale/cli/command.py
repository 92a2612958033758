"""What the commands share: exit codes, options, calls to the control API, reading a JSON file."""

from __future__ import annotations

import json
from enum import IntEnum
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option

from cairndale.cli.control_client import ApiAnswer, UnclearAnswerError, request
from cairndale.settings import parse_address

AT = option(
    "at", "a", "address of a control node; may be given several times", flag=False, multiple=True
)
JSON = option("json", None, "for programs: the answer as it came", flag=True)
YES = option("yes", "y", "do not ask", flag=True)


class ExitCode(IntEnum):
    """The client's exit codes."""

    DONE = 0
    REJECTED = 1
    USAGE = 2  # or input that cannot be read
    UNCLEAR = 3  # what was ordered may yet come into force


class CommandError(Exception):
    """A command cannot go on. The lines were not printed yet."""

    def __init__(self, code: ExitCode, *lines: str) -> None:
        super().__init__(*lines)
        self.code, self.lines = code, lines


class ApiCommand(Command):
    """A command that may call the control API; `run_command` is what it does."""

    def handle(self) -> int:
        """Run the command; its exit code. The lines of a `CommandError` go to standard error."""
        try:
            return self.run_command()
        except CommandError as error:
            for line in error.lines:
                self.line_error(line)
            return error.code

    def run_command(self) -> ExitCode:
        """What the command does. Raises CommandError."""
        raise NotImplementedError

    def call_api(self, method: str, call: str, body: bytes = b"") -> Any:
        """The decoded JSON of a successful call at the addresses of `--at`.

        Raises:
            CommandError: `--at` is missing or wrong, no clear answer came, or the call was
                rejected.
        """
        try:
            addresses = [parse_address(text) for text in self.option("at")]
        except ValueError as error:
            raise CommandError(ExitCode.USAGE, f"--at: {error}") from error
        if not addresses:
            raise CommandError(
                ExitCode.USAGE,
                "--at ADDRESS is missing: where a control ingress listens, as 10.1.0.11:8200",
            )
        try:
            answer = request(addresses, method, call, body)
        except UnclearAnswerError as error:
            raise CommandError(
                ExitCode.UNCLEAR,
                f"no clear answer: {error}; what was ordered may yet come into force",
            ) from error
        if answer.status >= 300:
            raise CommandError(ExitCode.REJECTED, *_error_lines(answer))
        return answer.value

    def load_object(self) -> dict[str, Any]:
        """The JSON object in the file that is the argument `file`. Raises CommandError."""
        name = self.argument("file")
        try:
            value = json.loads(Path(name).read_text())
        except (OSError, ValueError) as error:
            raise CommandError(ExitCode.USAGE, f"{name}: {error}") from error
        if not isinstance(value, dict):
            raise CommandError(ExitCode.USAGE, f"{name}: is no JSON object")
        return value


def _error_lines(answer: ApiAnswer) -> list[str]:
    value = answer.value
    errors = value.get("errors", [value]) if isinstance(value, dict) else [value]
    return [f"{answer.status}: {error}" for error in errors]
