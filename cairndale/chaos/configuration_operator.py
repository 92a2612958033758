"""An operator who changes the configuration, one change at a time, through faults of the system.

A change without a clear answer may be in force, or come into force (RULES, CONFIG). So after one
the operator goes on from the configuration that is read.
"""

from __future__ import annotations

from typing import Any

from cairndale.chaos.world import World

CHANGE_WITHIN_S = 30.0  # in which a change gets a clear answer, as a rule
READ_WITHIN_S = 30.0


class ConfigurationOperator:
    """Sends changes, and notes as violations of the world what no operator may see.

    Attributes:
        in_force: the configuration that was in force last, with its `parent`.
        unclear: later ones without a clear answer, oldest first.
    """

    def __init__(self, world: World, actions: list[str]) -> None:
        """`actions`: gets a line for each change."""
        self._world, self._actions = world, actions
        self.in_force: dict[str, Any] = {}
        self.unclear: list[dict[str, Any]] = []

    @property
    def gen(self) -> int:
        """The generation that was in force last; 0 before the first."""
        return int(self.in_force.get("gen", 0))

    async def replace(self, content: dict[str, Any]) -> int:
        """Send a whole configuration; see `send`."""
        return await self.send("Replace", content, content)

    async def send(self, call: str, body: dict[str, Any], content: dict[str, Any]) -> int:
        """Send a change until there is a clear answer; return its status.

        `content`: the configuration that it leads to. Raises TimeoutError without a clear answer.
        """
        world, gen = self._world, body["gen"]
        try:
            status, answer = await world.order(
                "POST", f"Config.{call}", body, within=CHANGE_WITHIN_S
            )
        except TimeoutError:
            self._actions.append(f"gen {gen}: no clear answer")
            self.unclear.append(content)
            await self.read_in_force()
            raise
        self._actions.append(f"gen {gen} by {call}: {status}")
        if status == 200:
            self._note_in_force(content)
        elif status == 412 and self.unclear:  # one of them came into force meanwhile
            await self.read_in_force()
        else:
            world.violations.append(f"gen {gen}: {status} {answer}")
        return status

    async def read_in_force(self) -> None:
        """Read the configuration: one that may be in force, as it was sent."""
        _, read = await self._world.order("GET", "Config.Read", within=READ_WITHIN_S)
        possible = [self.in_force, *self.unclear]
        for sent in possible:
            if read == {name: value for name, value in sent.items() if name != "parent"}:
                self._note_in_force(sent)
                return
        gens = [sent.get("gen") for sent in possible]
        self._world.violations.append(f"gen {read.get('gen')} is read, of {gens} that were sent")

    def _note_in_force(self, content: dict[str, Any]) -> None:
        """Note a configuration that was acknowledged or read: older ones cannot be in force."""
        self.in_force = content
        self.unclear = [later for later in self.unclear if later["gen"] > self.gen]
