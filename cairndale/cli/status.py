"""The command `status`."""

from __future__ import annotations

import json
from typing import Any, ClassVar

from cleo.io.inputs.option import Option

from cairndale.cli.command import AT, JSON, ApiCommand, ExitCode


class StatusCommand(ApiCommand):
    """Shows the leader, control nodes, ingresses, servers and the version in force."""

    name = "status"
    description = "Shows the leader, control nodes, ingresses, servers and the version in force."
    options: ClassVar[list[Option]] = [AT, JSON]

    def run_command(self) -> ExitCode:
        """Print lines and two tables, or the answer as JSON."""
        status = self.call_api("GET", "Fleet.Show")
        if self.option("json"):
            self.line(json.dumps(status))
            return ExitCode.DONE
        self._show_configuration(status)
        self._show_members(status)
        self._show_nodes(status["nodes"])
        self._show_servers(status["servers"])
        return ExitCode.DONE

    def _show_configuration(self, status: dict[str, Any]) -> None:
        self.line(
            f"gen {status['gen']} (version {status['version']}), term {status['term']}, leader "
            f"{status['leader']}"
        )

    def _show_members(self, status: dict[str, Any]) -> None:
        evacuated = ", ".join(f"{zone} ({orders})" for zone, orders in status["evacuated"].items())
        roles = {
            role: [member[0] for member in status["members"] if member[2] == role]
            for role in ("voter", "learner")
        }
        core = "; ".join(
            f"{role}s: {', '.join(addresses) or 'none'}" for role, addresses in roles.items()
        )
        self.line(f"core: {core}; evacuated zones: {evacuated or 'none'}")

    def _show_nodes(self, nodes: list[dict[str, Any]]) -> None:
        self._show_table(
            ["ingress", "kind", "zone", "ready", "version", "lease left"],
            [
                [n["name"], n["kind"], n["zone"], n["ready"], n["version"], f"{n['lease_left']} s"]
                for n in nodes
            ],
        )

    def _show_servers(self, servers: list[dict[str, Any]]) -> None:
        self._show_table(
            ["server", "service", "zone", "state", "last heartbeat"],
            [[s["id"], s["service"], s["zone"], s["state"], f"{s['silent']} s"] for s in servers],
        )

    def _show_table(self, headers: Any, rows: list[list[Any]]) -> None:
        """Print a table. Typed loosely, because cleo annotates a row as a single cell."""
        cells: Any = [[str(cell) for cell in row] for row in rows]
        self.render_table(headers, cells)
