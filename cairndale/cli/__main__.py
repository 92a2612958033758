"""`python -m cairndale.cli`: operators' queries and orders, sent to any control node.

Exit codes: 0 done, 1 rejected, 2 wrong usage or unreadable input, 3 no control node answered
clearly (see `ExitCode`).
"""

from __future__ import annotations

import sys

from cleo.application import Application

from cairndale.cli.config_apply import ConfigApplyCommand
from cairndale.cli.config_check import ConfigCheckCommand
from cairndale.cli.config_read import ConfigReadCommand
from cairndale.cli.evacuation import EvacuateCommand, TakeBackCommand
from cairndale.cli.state import StateCommand
from cairndale.cli.status import StatusCommand

COMMANDS = (
    StatusCommand,
    ConfigReadCommand,
    ConfigCheckCommand,
    ConfigApplyCommand,
    EvacuateCommand,
    TakeBackCommand,
    StateCommand,
)


def main() -> int:
    """Run the command that the arguments name, and return its exit code."""
    application = Application("cairndale", "1")
    for command in COMMANDS:
        application.add(command())
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
