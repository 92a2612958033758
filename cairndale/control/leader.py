"""The leading process as the handlers of operators' and servers' calls see it."""

from __future__ import annotations

from typing import Any, Protocol

from cairndale.configuration.commands import Command
from cairndale.configuration.state import State
from cairndale.control.leadership import Leadership
from cairndale.settings import Settings


class Leader(Protocol):
    """The part of the control node that call handlers use."""

    settings: Settings

    @property
    def state(self) -> State:
        """The replicated state, as of the last applied entry."""

    def now(self) -> float:
        """Seconds on the process's clock."""

    def require_leadership(self) -> Leadership:
        """The leadership. Raises CallError if this process does not lead."""

    async def decide(self, command: Command) -> bool:
        """Commits a command: True once a majority has it on disk and it is applied here.

        False if it is void. Raises CallError if its outcome is not known.
        """

    async def confirm(
        self, called_at: float, term: int, decided: bool = False, at_once: bool = True
    ) -> None:
        """Returns once a majority has acknowledged this leader, in `term`, after `called_at`.

        With `decided`, also all entries that the log contains now are committed. Raises CallError.
        """

    async def wait_for_change(self, timeout: float) -> None:
        """Returns at the next change, or after `timeout` seconds."""

    def notify_change(self) -> None:
        """Wakes all tasks that wait for a change."""

    def describe_cluster(self) -> dict[str, Any]:
        """The cluster's members, for operators."""
