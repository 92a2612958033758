"""What the handlers of operators' and servers' calls need of the process that leads."""

from __future__ import annotations

from typing import Any, Protocol

from cairndale.configuration.commands import Command
from cairndale.configuration.state import State
from cairndale.control.leadership import Leadership
from cairndale.settings import Settings


class Leader(Protocol):
    """The control node, as its handlers see it."""

    settings: Settings

    @property
    def state(self) -> State:
        """The replicated state, as of the last applied entry."""

    def now(self) -> float:
        """Seconds on the process's clock."""

    def require_leadership(self) -> Leadership:
        """The leadership. Raises CallError where this process does not lead."""

    async def decide(self, command: Command) -> bool:
        """Commit a command: True once a majority has it on disk and it is in force here.

        False if it is void. Raises CallError where its outcome is not known.
        """

    async def confirm(
        self, called_at: float, term: int, decided: bool = False, at_once: bool = True
    ) -> None:
        """Return once a majority has followed this leader, in `term`, after the time `called_at`.

        With `decided` all that the log holds now is committed as well. Raises CallError.
        """

    async def wait_for_change(self, timeout: float) -> None:
        """Return once something has changed, or after `timeout` seconds."""

    def notify_change(self) -> None:
        """Wake all who wait for a change."""

    def describe_cluster(self) -> dict[str, Any]:
        """The cluster's members, for operators."""
