"""`python -m cairndale.cli`: what an operator asks and orders, at any control ingress.

Exit codes: 0 done, 1 refused, 2 wrong usage or unreadable input, 3 no ingress answered clearly.
"""

from __future__ import annotations

import http.client
import json
import random
import sys
import time
from pathlib import Path
from typing import Any, ClassVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from cairndale.configuration.validation import change_errors, content_errors
from cairndale.settings import parse_address

WITHIN = 20.0  # s for a clear answer, over all tries
ONE = 3.0  # s for one try
DONE, REFUSED, USAGE, UNCLEAR = 0, 1, 2, 3
AT = option(
    "at", "a", "address of a control ingress; may be given several times", flag=False, multiple=True
)
JSON = option("json", None, "for programs: the answer as it came", flag=True)


class Unclear(Exception):
    pass


def ask(
    addresses: list[tuple[str, int]], method: str, call: str, body: bytes = b""
) -> tuple[int, Any]:
    """The first clear answer: the same call goes to the next ingress after a failure or a 5xx."""
    until, said, pause = time.monotonic() + WITHIN, "no address", 0.1
    while addresses and time.monotonic() < until:
        for host, port in random.sample(addresses, len(addresses)):
            connection = http.client.HTTPConnection(host, port, timeout=ONE)
            try:
                connection.request(method, f"/-/{call}", body, {"Content-Type": "application/json"})
                answer = connection.getresponse()
                text = answer.read()
                if answer.status < 500 and answer.status not in (408, 429):
                    return answer.status, json.loads(text)
                said = f"{host}:{port} answers {answer.status}"
            except (OSError, ValueError, http.client.HTTPException) as error:
                said = f"{host}:{port}: {error}"
            finally:
                connection.close()
        time.sleep(pause * random.uniform(0.5, 1.5))
        pause = min(2.0, pause * 2)
    raise Unclear(said)


class Call(Command):
    """What all of them share."""

    def addresses(self) -> list[tuple[str, int]]:
        return [parse_address(text) for text in self.option("at")]

    def run_call(self, method: str, call: str, body: bytes = b"") -> tuple[int, Any]:
        try:
            addresses = self.addresses()
        except ValueError as error:
            self.line_error(f"--at: {error}")
            return USAGE, None
        if not addresses:
            self.line_error(
                "--at ADDRESS is missing: where a control ingress listens, as 10.1.0.11:8200"
            )
            return USAGE, None
        try:
            status, told = ask(addresses, method, call, body)
        except Unclear as error:
            self.line_error(f"no clear answer: {error}; what was ordered may yet come into force")
            return UNCLEAR, None
        if status >= 300:
            for line in told.get("errors", [told]) if isinstance(told, dict) else [told]:
                self.line_error(f"{status}: {line}")
            return REFUSED, None
        return DONE, told

    def load(self) -> dict[str, Any] | None:
        """The JSON object in the file that is named; None once it was told what is wrong with
        it."""
        name = self.argument("file")
        try:
            made = json.loads(Path(name).read_text())
        except (OSError, ValueError) as error:
            self.line_error(f"{name}: {error}")
            return None
        if not isinstance(made, dict):
            self.line_error(f"{name}: is no JSON object")
            return None
        return made


class Status(Call):
    name = "status"
    description = "Who holds the duty, the core, ingresses, servers, the version in force."
    options: ClassVar[list[Option]] = [AT, JSON]

    def handle(self) -> int:
        code, told = self.run_call("GET", "Fleet.Show")
        if told is None or self.option("json"):
            if told is not None:
                self.line(json.dumps(told))
            return code
        evacuated = (
            ", ".join(f"{zone} ({orders})" for zone, orders in told["evacuated"].items()) or "none"
        )
        self.line(
            f"gen {told['gen']} (version {told['version']}), term {told['term']} held at "
            f"{told['leader']}"
        )
        roles = {
            role: [m[0] for m in told["members"] if m[2] == role] for role in ("voter", "learner")
        }
        core = "; ".join(
            f"{role}s: {', '.join(addresses) or 'none'}" for role, addresses in roles.items()
        )
        self.line(f"core: {core}; evacuated zones: {evacuated}")
        self._table(
            ["ingress", "kind", "zone", "ready", "version", "lease left"],
            [
                [n["name"], n["kind"], n["zone"], n["ready"], n["version"], f"{n['lease_left']} s"]
                for n in told["nodes"]
            ],
        )
        self._table(
            ["server", "service", "zone", "state", "last heard"],
            [
                [s["id"], s["service"], s["zone"], s["state"], f"{s['silent']} s"]
                for s in told["servers"]
            ],
        )
        return code

    def _table(self, heads: Any, rows: list[list[Any]]) -> None:
        shown: list[Any] = [[str(cell) for cell in row] for row in rows]
        self.render_table(heads, shown)


class Read(Call):
    name = "config read"
    description = "The configuration in force, as JSON."
    options: ClassVar[list[Option]] = [AT]

    def handle(self) -> int:
        code, told = self.run_call("GET", "Config.Read")
        if told is not None:
            self.line(json.dumps(told, indent=2))
        return code


class Check(Call):
    name = "config check"
    description = "Whether a file holds a sound configuration; every error at once. Asks nobody."
    arguments: ClassVar[list[Argument]] = [argument("file")]

    def handle(self) -> int:
        if (made := self.load()) is None:
            return USAGE
        errors = change_errors(made, True, -1) + content_errors(made)
        for line in errors:
            self.line_error(line)
        self.line(f"{len(errors)} errors" if errors else "sound")
        return REFUSED if errors else DONE


class Apply(Call):
    name = "config apply"
    description = "Puts a file's configuration, or its changes, on top of the version in force."
    arguments: ClassVar[list[Argument]] = [argument("file")]
    options: ClassVar[list[Option]] = [AT, option("yes", "y", "do not ask", flag=True)]

    def handle(self) -> int:
        if (made := self.load()) is None:
            return USAGE
        call = "Config.Update" if "upsert" in made or "remove" in made else "Config.Replace"
        self.line(f"{call}: gen {made.get('gen')} on top of {made.get('parent')}")
        if not self.option("yes") and not self.confirm("Put it in force?", False):
            return REFUSED
        code, told = self.run_call("POST", call, json.dumps(made).encode())
        if told is not None:
            self.line(f"in force: gen {told['gen']}")
        return code


class Move(Call):
    arguments: ClassVar[list[Argument]] = [argument("zone")]
    options: ClassVar[list[Option]] = [AT, option("yes", "y", "do not ask", flag=True)]
    order, prompt = "", ""

    def handle(self) -> int:
        zone = self.argument("zone")
        if not self.option("yes") and not self.confirm(self.prompt.format(zone), False):
            return REFUSED
        code, told = self.run_call("POST", f"{self.order}/{zone}")
        if told is not None:
            self.line("done")
            if told["orders"]:
                self.line(
                    f"orders that evacuate {zone}, each of which is to be taken back: "
                    f"{told['orders']}"
                )
        return code


class Evacuate(Move):
    name = "evacuate"
    description = "Nothing more is sent to a zone's servers."
    order, prompt = "Drain.Begin", "Send nothing more to the servers in {}?"


class TakeBack(Move):
    name = "take-back"
    description = "Ends an evacuation."
    order, prompt = "Drain.Finish", "Send to the servers in {} again?"


class Look(Command):
    name = "state"
    description = "What a core machine's disk holds, and what is wrong with it. Changes nothing."
    arguments: ClassVar[list[Argument]] = [argument("folder", "the machine's stateDir")]
    options: ClassVar[list[Option]] = [
        option("config", None, "only the configuration in force", flag=True)
    ]

    def handle(self) -> int:
        from cairndale.configuration.serialization import FormatError
        from cairndale.configuration.state import State
        from cairndale.control.applier import Applier
        from cairndale.raft.storage import RaftStorage, StorageError

        folder = Path(self.argument("folder"))
        if not (folder / "promptbook").is_dir():
            self.line_error(f"{folder}: holds no promptbook")
            return USAGE
        try:
            store = RaftStorage(folder, read_only=True)
            disk, kept = store.disk_id(), store.load()
            store.close()
            state = State.decode(kept.snapshot.state)
        except (StorageError, FormatError) as error:
            self.line_error(f"{folder}: {error}")
            return REFUSED
        applier = Applier(state)
        applier.enqueue(kept.entries)
        while applier.has_backlog:
            applier.step()
        if self.option("config"):
            self.line(json.dumps(state.content, indent=2))
            return DONE
        members = kept.snapshot.members
        for entry in kept.entries:
            members = entry.members or members
        self.line(f"disk {disk}; term {kept.term}, promised to {kept.voted_for or 'nobody'}")
        for role, learner in (("voters", False), ("learners", True)):
            shown = [f"{m.address} ({m.disk_id})" for m in members if m.learner is learner]
            self.line(f"{role}: {', '.join(shown) or 'none'}")
        last = kept.entries[-1].index if kept.entries else kept.snapshot.index
        self.line(
            f"snapshot at {kept.snapshot.index}, {len(kept.entries)} entries after it, to {last}"
        )
        evacuated = list(state.evacuated)
        self.line(
            f"with all of them: gen {state.gen}, version {state.version}, evacuated {evacuated}"
        )
        self.line(
            "an entry at the end may not be decided yet: a majority of the voters has to hold it"
        )
        return DONE


def main() -> int:
    application = Application("usher", "1")
    for command in (Status, Read, Check, Apply, Evacuate, TakeBack, Look):
        application.add(command())
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
